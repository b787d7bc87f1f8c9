"""Coordinates moves of generations away from endpoints that leave or are too full.

All copies from one endpoint share its link, one after the other, and take most of the
time between the endpoint's notice and its end. A stream continues while its memory is
copied; then it is stopped and continues at the target, which reads the few tokens that
the copy lacks.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from enum import StrEnum
from functools import partial

import trio

from piershore.core.fleet.endpoint import Endpoint
from piershore.core.fleet.evacuation_plan import (
    choose_targets,
    MoveMethod,
    plan_evacuation,
    PlannedMove,
)
from piershore.core.fleet.fleet_load import DepartingWork, MoveTargetWork
from piershore.core.fleet.load_moves import LoadMoveCause
from piershore.core.mechanism import Mechanism
from piershore.core.routes.service_spec import EngineSpec
from piershore.ingress.gateway_state import GatewayState
from piershore.ingress.live_stream import (
    backup_handover,
    Handover,
    LiveStream,
    LiveStreams,
)
from piershore.ingress.moves.move_client import MoveClient
from piershore.ingress.peers.peer_link import PeerLink
from piershore.ingress.ports import GenerationMover, MoveResult
from piershore.telemetry import ingress_metrics
from piershore.telemetry.events import MoveStarted

REPORTS_EXCHANGE_SECONDS = 0.02
"""Wait until all gateways have reported their streams to each other: a datagram takes
about 1 ms, and a notice reaches all watches within a few ms."""
BEGIN_CHECK_INTERVAL_SECONDS = 0.04
"""Interval between checks whether a generation has begun."""
STOPPED_RUN_TIMEOUT_SECONDS = 0.25
"""Maximum wait for the end of a stopped run: it arrives within a few ms, or 0.2 s after
a lost packet. On a connection that has gone silent permanently it never arrives:
without this limit, the stream was lost although its memory had been moved."""
MAX_TARGETS_IN_A_ROW = 3
"""Maximum number of targets tried for one stream in a row; a refusal takes a few ms."""
NO_MEMORY_PAUSE_SECONDS = 0.15
"""Pause after as many refusals: where memory is short, engines have capacity again
several times a second. Of 19 streams that broke in a simulated day, 4 had been refused
three times within a few ms, with 1.8 s of the notice left."""
MAX_NOTICE_SECONDS = 2.5
"""How long targets are tried; an endpoint is removed 1.5 to 2.1 s after its notice."""


class MoveReason(StrEnum):
    """Why generations are moved."""

    ENDPOINT_LEAVES = "endpoint_leaves"
    EVENTS_LOST = "events_lost"
    LOAD = "load"


@dataclass(frozen=True)
class Evacuation:
    """The move of generations away from `source`.

    `noticed_at` is when its cause was noticed, by trio's clock.
    """

    source: Endpoint
    engine: EngineSpec
    noticed_at: float
    reason: MoveReason

    def handover_to(self, target: Endpoint) -> Handover:
        """Return a move to one target."""
        stays = self.reason is MoveReason.LOAD
        noticed_at = float("inf") if stays else self.noticed_at
        return Handover(self.source, target, noticed_at=noticed_at)


class MoveCoordinator:
    """Moves this gateway's streams by the plan that all gateways compute alike."""

    def __init__(
        self, state: GatewayState, live: LiveStreams, mover: GenerationMover
    ) -> None:
        self._state = state
        self._live = live
        self._client = MoveClient(state, mover)
        self._nursery: trio.Nursery | None = None
        self._peers: PeerLink | None = None

    def start(self, nursery: trio.Nursery, peers: PeerLink) -> None:
        """Set the nursery that moves run in, and the link to peers."""
        self._nursery = nursery
        self._peers = peers

    def evacuate(self, source: Endpoint) -> None:
        """Move all streams away from an endpoint that leaves."""
        now = trio.current_time()
        running = self._live.running_at(source.identity)
        for stream in running:
            if stream.handover is not None:
                stream.handover.noticed_at = min(stream.handover.noticed_at, now)
        streams = [s for s in running if s.handover is None]
        if streams:
            self._start(source, streams, MoveReason.ENDPOINT_LEAVES)

    def evacuate_one(
        self, stream: LiveStream, reason: MoveReason = MoveReason.ENDPOINT_LEAVES
    ) -> None:
        """Move one stream, for example one that was opened at a leaving endpoint."""
        if stream.handover is None:
            self._start(stream.endpoint, [stream], reason)

    def move_for_load(
        self, stream: LiveStream, target: Endpoint, cause: LoadMoveCause
    ) -> None:
        """Move one stream to `target`; if that fails, it stays where it is."""
        if not self._state.is_enabled(Mechanism.FIRST_COPIES):
            return
        evacuation = self._evacuation(stream.endpoint, MoveReason.LOAD)
        if evacuation is not None and stream.handover is None:
            self._nursery.start_soon(
                self._run, self._relieve, stream, evacuation, target, cause
            )

    def _start(
        self, source: Endpoint, streams: list[LiveStream], reason: MoveReason
    ) -> None:
        evacuation = self._evacuation(source, reason)
        if evacuation is not None:
            self._nursery.start_soon(self._run, self._evacuate, evacuation, streams)

    def _evacuation(self, source: Endpoint, reason: MoveReason) -> Evacuation | None:
        """Return the move away from an endpoint, or None if its streams can't move."""
        engine = self._engine_of(source.service)
        if engine is None or not engine.can_move or self._nursery is None:
            return None
        if not self._state.is_enabled(Mechanism.MOVES):
            return None
        return Evacuation(source, engine, trio.current_time(), reason)

    async def _run(self, move: Callable[..., Awaitable[None]], *arguments) -> None:
        """Run a move; log an exception instead of letting it end the process."""
        try:
            await move(*arguments)
        except Exception as error:
            self._state.log.write_internal_error("MoveCoordinator", error)

    def _engine_of(self, service: str) -> EngineSpec | None:
        spec = self._state.configuration.service(service)
        return spec.engine if spec else None

    async def _evacuate(
        self, evacuation: Evacuation, streams: list[LiveStream]
    ) -> None:
        await self._peers.send_now()
        await trio.sleep(REPORTS_EXCHANGE_SECONDS)
        plan = {move.request: move for move in self._plan(evacuation)}
        async with trio.open_nursery() as nursery:
            for stream in streams:
                planned = plan.get(stream.exchange.identity)
                nursery.start_soon(self._move, stream, evacuation, planned)

    def _plan(self, evacuation: Evacuation) -> tuple[PlannedMove, ...]:
        source = evacuation.source
        reports = {r.request: r for r in self._live.reports(source.identity)}
        reports.update(
            (r.request, r) for r in self._peers.reported_streams_at(source.identity)
        )
        # A crashed endpoint stays listed for seconds, but is ejected sooner.
        now = trio.current_time()
        available = self._state.placement.available_endpoints(source.service, now)
        targets = choose_targets(source, available)
        loads = {t.identity: self._state.fleet_load.at(t.identity) for t in targets}
        return plan_evacuation(
            source, reports.values(), targets, loads, evacuation.engine
        )

    async def _move(
        self, stream: LiveStream, evacuation: Evacuation, planned: PlannedMove | None
    ) -> None:
        """Copy the stream's memory, then continue it at the target."""
        if (
            planned is not None
            and planned.method is MoveMethod.BACKUP
            and stream.has_backup
        ):
            self._switch_to_backup(stream, evacuation)
            return
        if planned is not None:
            await trio.sleep_until(evacuation.noticed_at + planned.start)
        if not await self._wait_for_first_event(stream, evacuation.source):
            return
        target = planned.target if planned else None
        deadline = evacuation.noticed_at + MAX_NOTICE_SECONDS
        while not await self._try_targets(stream, evacuation, target):
            target = None
            await trio.sleep(NO_MEMORY_PAUSE_SECONDS)
            if trio.current_time() > deadline:
                return

    async def _try_targets(
        self, stream: LiveStream, evacuation: Evacuation, target: Endpoint | None
    ) -> bool:
        """Try several targets, `target` first; return False if a retry makes sense."""
        tried: list[str] = []
        target = target or self._choose_target(stream, evacuation, tried)
        while target is not None and len(tried) < MAX_TARGETS_IN_A_ROW:
            if not self._is_at(stream, evacuation.source):
                return True
            tried.append(target.identity)
            if await self._move_to(stream, evacuation, target):
                return True
            target = self._choose_target(stream, evacuation, tried)
        return not self._is_at(stream, evacuation.source)

    async def _relieve(
        self,
        stream: LiveStream,
        evacuation: Evacuation,
        target: Endpoint,
        cause: LoadMoveCause,
    ) -> None:
        """Move one stream to `target` and let peers count it there from the start."""
        source = evacuation.source
        departure = DepartingWork(stream.work, partial(self._is_at, stream, source))
        self._state.fleet_load.add(source.identity, departure)
        self._state.announce_load(source)
        is_copied = False
        try:
            is_copied = await self._move_to(stream, evacuation, target)
        finally:
            self._state.fleet_load.remove(source.identity, departure)
            self._state.announce_load(source)
        result = "copied" if is_copied else "refused"
        ingress_metrics.LOAD_MOVES.labels(cause, result).inc()
        is_left = self._is_at(stream, source) and not is_copied
        if is_left and self._state.directory.is_leaving(source.identity):
            self.evacuate_one(stream)

    async def _move_to(
        self, stream: LiveStream, evacuation: Evacuation, target: Endpoint
    ) -> bool:
        """Move the stream to one target; return False if another may be tried."""
        handover = stream.handover = evacuation.handover_to(target)
        self._log_start(stream, evacuation, target)
        reservation = MoveTargetWork(stream.work)
        self._state.fleet_load.add(target.identity, reservation)
        self._state.announce_load(target)
        try:
            if not self._state.is_enabled(Mechanism.FIRST_COPIES):
                return await self._stop_and_copy(stream, evacuation, handover)
            copied = await self._copy(stream, handover)
            if copied is None:
                return False
            handover.copy = copied.copy
            request = stream.exchange.identity
            if self._is_at(stream, handover.source):
                await self._client.stop(request, handover, evacuation.noticed_at)
                self._nursery.start_soon(self._stop_reading, stream, handover)
            elif not self._live.is_live(stream):
                await self._client.release(request, handover, copied.copy)
            return True
        finally:
            self._state.fleet_load.remove(target.identity, reservation)
            handover.is_settled.set()
            if handover.copy is None and stream.handover is handover:
                stream.handover = None

    async def _stop_reading(self, stream: LiveStream, handover: Handover) -> None:
        """Stop waiting for the end of a stopped run whose connection is silent.

        The target generates again the events that were not received.
        """
        await trio.sleep(STOPPED_RUN_TIMEOUT_SECONDS)
        is_waiting = self._is_at(stream, handover.source)
        if is_waiting and stream.handover is handover and not stream.is_given_up:
            stream.give_up_endpoint()

    async def _stop_and_copy(
        self, stream: LiveStream, evacuation: Evacuation, handover: Handover
    ) -> bool:
        """Move without a copy before the stop; used when `FIRST_COPIES` is disabled."""
        result = await self._client.stop(
            stream.exchange.identity, handover, evacuation.noticed_at
        )
        handover.copy = result.copy if result else None
        return True

    def _switch_to_backup(self, stream: LiveStream, evacuation: Evacuation) -> None:
        """Continue the stream at its backup, which already has its memory."""
        stream.handover = backup_handover(stream)
        self._log_start(stream, evacuation, stream.backup)
        ingress_metrics.MOVES.labels("backup").inc()
        stream.give_up_endpoint()

    async def _copy(self, stream: LiveStream, handover: Handover) -> MoveResult | None:
        """Copy the present memory while the stream continues."""
        self._live.begin_copy(stream, handover.source.identity)
        try:
            return await self._client.copy(stream.exchange.identity, handover)
        finally:
            self._live.end_copy(stream)
            await self._peers.send_now()

    async def _wait_for_first_event(self, stream: LiveStream, source: Endpoint) -> bool:
        """Wait for the first event; return False if the stream needn't move."""
        while self._is_at(stream, source):
            if not stream.work.is_long:
                return False
            if stream.work.has_begun:
                return True
            await trio.sleep(BEGIN_CHECK_INTERVAL_SECONDS)
        return False

    def _is_at(self, stream: LiveStream, source: Endpoint) -> bool:
        is_there = stream.endpoint.identity == source.identity
        return is_there and self._live.is_live(stream)

    def _choose_target(
        self, stream: LiveStream, evacuation: Evacuation, tried: Sequence[str]
    ) -> Endpoint | None:
        decision = self._state.placement.for_generation(
            evacuation.source.service,
            stream.work,
            evacuation.engine,
            trio.current_time(),
            (evacuation.source.identity, *tried),
        )
        return decision.endpoint if decision else None

    def _log_start(
        self, stream: LiveStream, evacuation: Evacuation, target: Endpoint
    ) -> None:
        self._state.log.write(
            MoveStarted(
                stream.exchange.identity,
                evacuation.source.identity,
                target.identity,
                stream.work.held_tokens,
                evacuation.reason,
            )
        )
