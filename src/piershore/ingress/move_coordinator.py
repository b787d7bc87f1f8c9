"""Moves generations away from endpoints that leave.

All copies from one endpoint share its link, one after the other, and take most of
the notice. A stream goes on while its memory is copied; then it is stopped and goes
on at the target, which reads the few tokens that the copy lacks.
"""

from __future__ import annotations

import trio

from piershore.core.fleet.endpoint import Endpoint
from piershore.core.fleet.endpoint_load import EndpointLoad
from piershore.core.fleet.evacuation_plan import (
    MoveWay,
    plan_evacuation,
    PlannedMove,
)
from piershore.core.routes.service_spec import EngineSpec
from piershore.http1.exceptions import ExchangeBrokenError, NotConnectedError
from piershore.ingress.gateway_state import GatewayState
from piershore.ingress.live_stream import (
    backup_handover,
    Handover,
    LiveStream,
    LiveStreams,
)
from piershore.ingress.peer_link import PeerLink
from piershore.ingress.ports import GenerationMover, MoveResult
from piershore.telemetry import ingress_metrics
from piershore.telemetry.events import MoveEnded, MoveStarted

NOTES_SECONDS = 0.02
"""Time for all gateways to tell each other of their streams: a datagram takes
about 1 ms, a notice reaches all watches within some ms."""
MOVE_SECONDS = 2.5
"""Longest wait for one copy; a notice is seldom longer."""
RETRY_SECONDS = 0.04
"""Pause before asking again for a generation that has not begun."""
ENDS_SOON_TOKENS = 100
"""A generation that can make at most this many more tokens ends within the
notice by itself, at some 10 ms a token."""
COPY_ATTEMPTS = 3
"""Targets that are tried for one stream; each refusal takes a few ms."""
IDLE_SECONDS = 1.0
"""Longest rest of a connection that a move takes over."""


class _CopyReservation:
    """Memory that a move takes at its target."""

    def __init__(self, stream: LiveStream) -> None:
        self._stream = stream

    def load(self) -> EndpointLoad:
        """Return the load that the stream will be."""
        return self._stream.work.load()


class MoveCoordinator:
    """Moves this gateway's streams by the plan that all gateways make."""

    def __init__(
        self, state: GatewayState, live: LiveStreams, mover: GenerationMover
    ) -> None:
        self._state = state
        self._live = live
        self._mover = mover
        self._nursery: trio.Nursery | None = None
        self._peers: PeerLink | None = None

    def start(self, nursery: trio.Nursery, peers: PeerLink) -> None:
        """Run moves in a nursery of the process."""
        self._nursery = nursery
        self._peers = peers

    def evacuate(self, source: Endpoint) -> None:
        """Move all streams away from an endpoint that leaves."""
        streams = [s for s in self._live.at(source.identity) if s.handover is None]
        if streams:
            self._start(source, streams)

    def evacuate_one(self, stream: LiveStream) -> None:
        """Move a stream that began at, or came to, an endpoint that leaves."""
        if stream.handover is None:
            self._start(stream.endpoint, [stream])

    def _start(self, source: Endpoint, streams: list[LiveStream]) -> None:
        engine = self._engine(source.service)
        if engine is None or not engine.can_move or self._nursery is None:
            return
        self._nursery.start_soon(self._guard, source, streams, engine)

    async def _guard(
        self, source: Endpoint, streams: list[LiveStream], engine: EngineSpec
    ) -> None:
        """Keep a fault in one evacuation from ending the process."""
        try:
            await self._evacuate(source, streams, engine)
        except Exception as error:
            self._state.log.write_fault("MoveCoordinator", error)

    def _engine(self, service: str) -> EngineSpec | None:
        configuration = self._state.configuration.value
        spec = configuration.services.get(service) if configuration else None
        return spec.engine if spec else None

    async def _evacuate(
        self, source: Endpoint, streams: list[LiveStream], engine: EngineSpec
    ) -> None:
        noticed = trio.current_time()
        await self._peers.send_now()
        await trio.sleep(NOTES_SECONDS)
        plan = {move.request: move for move in self._plan(source, engine)}
        async with trio.open_nursery() as nursery:
            for stream in streams:
                planned = plan.get(stream.exchange.identity)
                nursery.start_soon(self._move, stream, source, engine, planned, noticed)

    def _plan(self, source: Endpoint, engine: EngineSpec) -> tuple[PlannedMove, ...]:
        notes = {note.request: note for note in self._live.notes(source.identity)}
        notes.update((n.request, n) for n in self._peers.notes_at(source.identity))
        targets = tuple(self._state.directory.of_service(source.service))
        loads = {t.identity: self._state.fleet_load.at(t.identity) for t in targets}
        return plan_evacuation(source, notes.values(), targets, loads, engine)

    async def _move(
        self,
        stream: LiveStream,
        source: Endpoint,
        engine: EngineSpec,
        planned: PlannedMove | None,
        noticed: float,
    ) -> None:
        """Copy the stream's memory, then let it go on at the target."""
        if planned is not None and planned.way is MoveWay.BACKUP and stream.has_backup:
            self._switch_to_backup(stream, source)
            return
        if planned is not None:
            await trio.sleep_until(noticed + planned.start)
        if not await self._wait_for_begin(stream, source):
            return
        target = planned.target if planned else self._choose(stream, source, engine, ())
        tried: list[str] = []
        while target is not None and self._is_at(stream, source):
            tried.append(target.identity)
            if await self._move_to(stream, source, target, noticed):
                return
            if len(tried) >= COPY_ATTEMPTS:
                return
            target = self._choose(stream, source, engine, tried)

    async def _move_to(
        self, stream: LiveStream, source: Endpoint, target: Endpoint, noticed: float
    ) -> bool:
        """Move to one target; False if another may be tried."""
        handover = stream.handover = Handover(source, target, noticed=noticed)
        self._log_start(stream, source, target)
        reservation = _CopyReservation(stream)
        self._state.fleet_load.add(target.identity, reservation)
        try:
            copied = await self._copy(stream, source)
            if copied is None:
                return False
            handover.copy = copied.copy
            if self._is_at(stream, source):
                await self._stop_and_move(stream, handover, noticed)
            elif not self._live.is_live(stream):
                await self._release(stream, copied)
            return True
        finally:
            self._state.fleet_load.remove(target.identity, reservation)
            handover.is_settled.set()
            if handover.copy is None and stream.handover is handover:
                stream.handover = None

    def _switch_to_backup(self, stream: LiveStream, source: Endpoint) -> None:
        """Let the stream go on where its memory already is."""
        stream.handover = backup_handover(stream)
        self._log_start(stream, source, stream.backup)
        ingress_metrics.MOVES.labels("backup").inc()
        stream.give_up_endpoint()

    async def _copy(self, stream: LiveStream, source: Endpoint) -> MoveResult | None:
        """Copy what there is while the stream goes on."""
        self._live.begin_copy(stream, source.identity)
        try:
            return await self._call(stream, stream.handover, is_last=False)
        finally:
            self._live.end_copy(stream)
            await self._peers.send_now()

    async def _release(self, stream: LiveStream, copied: MoveResult) -> None:
        """Free the copy of a stream that ended meanwhile."""
        address = copied.copy.holder
        try:
            connection = await self._state.pool.take(address, IDLE_SECONDS)
            await self._mover.release(connection, copied.copy)
            await self._state.pool.give_back(address, connection, reusable=True)
        except (ExchangeBrokenError, NotConnectedError) as error:
            self._log_end(stream, stream.handover, error.message, 0.0)

    async def _wait_for_begin(self, stream: LiveStream, source: Endpoint) -> bool:
        """Wait for the first event; False if the stream needn't move."""
        while self._is_at(stream, source):
            if stream.work.most_remaining_tokens <= ENDS_SOON_TOKENS:
                return False
            if stream.work.has_begun:
                return True
            await trio.sleep(RETRY_SECONDS)
        return False

    def _is_at(self, stream: LiveStream, source: Endpoint) -> bool:
        is_there = stream.endpoint.identity == source.identity
        return is_there and self._live.is_live(stream)

    def _choose(
        self, stream: LiveStream, source: Endpoint, engine: EngineSpec, tried
    ) -> Endpoint | None:
        choice = self._state.placement.for_generation(
            source.service,
            stream.work,
            engine,
            trio.current_time(),
            (source.identity, *tried),
        )
        return choice.endpoint if choice else None

    async def _stop_and_move(
        self, stream: LiveStream, handover: Handover, noticed: float
    ) -> None:
        """Stop the run, so that its stream ends and goes on at the target.

        The target reads again what the copy lacks, some tens of tokens: that is
        faster than waiting until the endpoint's link has copied them as well.
        """
        handover.run_stopped = True
        result = await self._call(stream, handover, is_last=True)
        ended = "moved" if result else "refused"
        ingress_metrics.MOVES.labels(ended).inc()
        self._log_end(stream, handover, ended, trio.current_time() - noticed)

    async def _call(
        self, stream: LiveStream, handover: Handover, *, is_last: bool
    ) -> MoveResult | None:
        with trio.move_on_after(MOVE_SECONDS):
            try:
                return await self._exchange(stream, handover, is_last)
            except (ExchangeBrokenError, NotConnectedError) as error:
                self._log_end(stream, handover, error.message, 0.0)
        return None

    async def _exchange(
        self, stream: LiveStream, handover: Handover, is_last: bool
    ) -> MoveResult | None:
        address = handover.source.address
        connection = await self._state.pool.take(address, IDLE_SECONDS)
        is_done = False
        try:
            result = await self._mover.move(
                connection,
                address,
                stream.exchange.identity,
                handover.target.address,
                is_last=is_last,
            )
            is_done = True
            return result
        finally:
            with trio.CancelScope(shield=True):
                await self._state.pool.give_back(address, connection, reusable=is_done)

    def _log_start(
        self, stream: LiveStream, source: Endpoint, target: Endpoint
    ) -> None:
        self._state.log.write(
            MoveStarted(
                stream.exchange.identity,
                source.identity,
                target.identity,
                stream.work.held_tokens,
                "endpoint_leaves",
            )
        )

    def _log_end(
        self, stream: LiveStream, handover: Handover, result: str, seconds: float
    ) -> None:
        self._state.log.write(
            MoveEnded(
                stream.exchange.identity,
                handover.source.identity,
                handover.target.identity,
                result,
                seconds,
            ),
            is_failure=result != "moved",
        )
