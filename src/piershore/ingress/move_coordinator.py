"""Moves generations away from endpoints that leave.

All copies from one endpoint share its link, one after the other. So the memory of
all streams is copied first while they go on; only then are they stopped one by one,
and the little that is new is copied with no other copy before it.
"""

from __future__ import annotations

import trio

from piershore.core.fleet.endpoint import Address, Endpoint
from piershore.core.fleet.endpoint_load import EndpointLoad
from piershore.core.routes.service_spec import EngineSpec
from piershore.http1.exceptions import ExchangeBrokenError, NotConnectedError
from piershore.ingress.gateway_state import GatewayState
from piershore.ingress.live_stream import Handover, LiveStream, LiveStreams
from piershore.ingress.ports import GenerationMover, MoveResult
from piershore.telemetry import ingress_metrics
from piershore.telemetry.events import MoveEnded, MoveStarted

MOVE_SECONDS = 2.5
"""Longest wait for one copy; a notice is seldom longer."""
LATEST_STOP_SECONDS = 1.2
"""Streams are stopped this long after the notice at the latest: the shortest
notices seen are 1.5 s."""
QUEUE_MARGIN = 1.15
"""Part added to the estimated time of all copies on the endpoint's link."""
RETRY_SECONDS = 0.05
"""Pause before asking again for a generation that has not begun."""
FEW_TOKENS = 24
"""A generation that makes at most this many more tokens ends before it is moved."""
IDLE_SECONDS = 1.0


class _CopyReservation:
    """Memory that a move takes at its target."""

    def __init__(self, stream: LiveStream) -> None:
        self._stream = stream

    def load(self) -> EndpointLoad:
        """Return the load that the stream will be."""
        return self._stream.work.load()


class MoveCoordinator:
    """Starts the moves of this gateway's streams."""

    def __init__(
        self, state: GatewayState, live: LiveStreams, mover: GenerationMover
    ) -> None:
        self._state = state
        self._live = live
        self._mover = mover
        self._nursery: trio.Nursery | None = None

    def start(self, nursery: trio.Nursery) -> None:
        """Run moves in a nursery of the process."""
        self._nursery = nursery

    def evacuate(self, endpoint: Endpoint) -> None:
        """Move all streams away from an endpoint that leaves."""
        streams = [s for s in self._live.at(endpoint.identity) if s.handover is None]
        if streams:
            self._start(endpoint, streams)

    def evacuate_one(self, stream: LiveStream) -> None:
        """Move a stream that began at, or came to, an endpoint that leaves."""
        if stream.handover is None:
            self._start(stream.endpoint, [stream])

    def _start(self, endpoint: Endpoint, streams: list[LiveStream]) -> None:
        engine = self._engine(endpoint.service)
        if engine is None or not engine.can_move or self._nursery is None:
            return
        self._nursery.start_soon(self._evacuate, endpoint, streams, engine)

    def _engine(self, service: str) -> EngineSpec | None:
        configuration = self._state.configuration.value
        spec = configuration.services.get(service) if configuration else None
        return spec.engine if spec else None

    async def _evacuate(
        self, source: Endpoint, streams: list[LiveStream], engine: EngineSpec
    ) -> None:
        noticed = trio.current_time()
        latest = noticed + LATEST_STOP_SECONDS
        all_tokens = self._state.fleet_load.at(source.identity).held_tokens
        copies = engine.copy_seconds(all_tokens, within_hall=False)
        ready = min(noticed + copies * QUEUE_MARGIN, latest)
        pre_copied: list[LiveStream] = []
        with trio.move_on_at(latest):
            async with trio.open_nursery() as nursery:
                for stream in sorted(streams, key=_by_size):
                    nursery.start_soon(
                        self._pre_copy, stream, source, engine, pre_copied
                    )
            await trio.sleep_until(ready)
        async with trio.open_nursery() as nursery:
            for stream in streams:
                if stream.handover is not None:
                    nursery.start_soon(self._stop_and_move, stream, noticed)

    async def _pre_copy(
        self,
        stream: LiveStream,
        source: Endpoint,
        engine: EngineSpec,
        pre_copied: list[LiveStream],
    ) -> None:
        """Copy what there is while the run goes on."""
        while self._live.is_live(stream) and stream.endpoint is source:
            if stream.work.has_begun:
                if stream.work.remaining_tokens <= FEW_TOKENS:
                    return
                if await self._copy_once(stream, source, engine):
                    pre_copied.append(stream)
                    return
            await trio.sleep(RETRY_SECONDS)

    async def _copy_once(
        self, stream: LiveStream, source: Endpoint, engine: EngineSpec
    ) -> bool:
        if stream.handover is None:
            candidate = self._state.placement.for_generation(
                source.service,
                stream.work.size,
                engine,
                trio.current_time(),
                (source.identity,),
            )
            if candidate is None:
                return False
            stream.handover = Handover(source, candidate.endpoint)
            self._log_start(stream, candidate.endpoint)
        handover = stream.handover
        reservation = _CopyReservation(stream)
        target = handover.target.identity
        self._state.fleet_load.add(target, reservation)
        try:
            return await self._call(stream, handover, is_last=False) is not None
        finally:
            self._state.fleet_load.remove(target, reservation)

    async def _stop_and_move(self, stream: LiveStream, noticed: float) -> None:
        """Stop the run, copy the rest, and let the stream go on at the target."""
        handover = stream.handover
        if not self._live.is_live(stream) or handover is None:
            return
        handover.run_stopped = True
        result = await self._call(stream, handover, is_last=True)
        if result is None:
            handover.run_stopped = False
            if stream.handover is handover:
                stream.handover = None
        else:
            handover.copy = result.copy
        handover.is_settled.set()
        ended = "moved" if result else "refused"
        ingress_metrics.MOVES.labels(ended).inc()
        self._state.log.write(
            MoveEnded(
                stream.exchange.identity,
                handover.source.identity,
                handover.target.identity,
                ended,
                trio.current_time() - noticed,
            ),
            is_failure=result is None,
        )

    async def _call(
        self, stream: LiveStream, handover: Handover, *, is_last: bool
    ) -> MoveResult | None:
        address = handover.source.address
        with trio.move_on_after(MOVE_SECONDS):
            try:
                return await self._exchange(stream, address, handover, is_last)
            except (ExchangeBrokenError, NotConnectedError) as error:
                self._log_failed_call(stream, handover, error.message)
        return None

    async def _exchange(
        self, stream: LiveStream, address: Address, handover: Handover, is_last: bool
    ) -> MoveResult | None:
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

    def _log_start(self, stream: LiveStream, target: Endpoint) -> None:
        self._state.log.write(
            MoveStarted(
                stream.exchange.identity,
                stream.endpoint.identity,
                target.identity,
                stream.work.held_tokens,
                "endpoint_leaves",
            )
        )

    def _log_failed_call(
        self, stream: LiveStream, handover: Handover, reason: str
    ) -> None:
        self._state.log.write(
            MoveEnded(
                stream.exchange.identity,
                handover.source.identity,
                handover.target.identity,
                reason,
                0.0,
            ),
            is_failure=True,
        )


def _by_size(stream: LiveStream) -> int:
    return -stream.work.remaining_tokens
