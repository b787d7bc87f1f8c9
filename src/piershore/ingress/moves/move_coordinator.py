"""Coordinates moves of generations away from endpoints that leave.

All copies from one endpoint share its link, one after the other, and take most of the
time between the endpoint's notice and its end. A stream continues while its memory is
copied; then it is stopped and continues at the target, which reads the few tokens that
the copy lacks.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from math import inf

import trio

from piershore.core.fleet.endpoint import Endpoint
from piershore.core.fleet.evacuation_plan import (
    choose_targets,
    MoveMethod,
    plan_evacuation,
    PlannedMove,
)
from piershore.core.fleet.fleet_load import MoveTargetWork
from piershore.core.mechanism import Mechanism
from piershore.core.routes.service_spec import EngineSpec
from piershore.ingress.gateway_state import GatewayState
from piershore.ingress.live_stream import (
    backup_handover,
    Handover,
    LiveStream,
    LiveStreams,
    RunState,
)
from piershore.ingress.moves.move_client import MoveClient
from piershore.ingress.moves.run_stopper import RunStopper
from piershore.ingress.moves.stop_order import StopOrder
from piershore.ingress.peers.peer_link import PeerLink
from piershore.ingress.ports import (
    GenerationMover,
    MoveResult,
    StopOutcome,
    StopResult,
)
from piershore.telemetry import ingress_metrics
from piershore.telemetry.events import MoveEnded, MoveStarted

REPORTS_EXCHANGE_SECONDS = 0.02
"""Wait until all gateways have reported their streams to each other: a datagram takes
about 1 ms, and a notice reaches all watches within a few ms."""
END_CHECK_INTERVAL_SECONDS = 0.02
"""Interval between checks whether a stopped run has ended."""
BEGIN_CHECK_INTERVAL_SECONDS = 0.04
"""Interval between checks whether a generation has begun."""
STOPPED_RUN_TIMEOUT_SECONDS = 0.25
"""Maximum wait for the end of a stopped run: it arrives within a few ms, or 0.2 s after
a lost packet. On a connection that has gone silent permanently it never arrives:
without this limit, the stream was lost although its memory had been moved."""
STOP_WAIT_SECONDS = 0.05
"""Maximum wait until an order to stop is on its way, before a broken stream continues
elsewhere; connecting within a region takes a few ms."""
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
        return Handover(self.source, target, noticed_at=self.noticed_at)


class MoveCoordinator:
    """Moves this gateway's streams by the plan that all gateways compute alike."""

    def __init__(
        self, state: GatewayState, live: LiveStreams, mover: GenerationMover
    ) -> None:
        self._state = state
        self._live = live
        self._client = MoveClient(state, mover)
        self._stopper = RunStopper(state, mover)
        self._nursery: trio.Nursery | None = None
        self._peers: PeerLink | None = None

    def start(self, nursery: trio.Nursery, peers: PeerLink) -> None:
        """Set the nursery that moves run in, and the link to peers."""
        self._nursery = nursery
        self._peers = peers

    def evacuate(self, source: Endpoint) -> None:
        """Move all streams away from an endpoint that leaves."""
        streams = [
            s for s in self._live.running_at(source.identity) if s.handover is None
        ]
        if streams:
            self._start(source, streams, MoveReason.ENDPOINT_LEAVES)

    def evacuate_one(
        self, stream: LiveStream, reason: MoveReason = MoveReason.ENDPOINT_LEAVES
    ) -> None:
        """Move one stream, for example one that was opened at a leaving endpoint."""
        if stream.handover is None:
            self._start(stream.endpoint, [stream], reason)

    async def stop_run(
        self, stream: LiveStream, endpoint: Endpoint, target: Endpoint, run: RunState
    ) -> None:
        """Tell an endpoint to stop a run before the stream continues at `target`.

        Return once the order is on its way, or after `STOP_WAIT_SECONDS`; the order is
        repeated until the run is over. An endpoint that isn't reachable isn't waited
        for.
        """
        engine = self._engine_of(endpoint.service)
        if run is RunState.ENDED or engine is None or not engine.can_move:
            return
        order = StopOrder(stream.exchange.identity, endpoint)
        stream.stop_orders.append(order)
        self._nursery.start_soon(self._stop_and_release, order, target)
        if run is RunState.RUNNING:
            with trio.move_on_after(STOP_WAIT_SECONDS):
                await order.is_told.wait()

    async def _stop_and_release(self, order: StopOrder, target: Endpoint) -> None:
        """Stop a run; free the copy that was made of its memory, which isn't used."""
        try:
            result = await self._stopper.stop(order, target.address)
            if result.copy is not None:
                await self._client.release(order.request, order.endpoint, result.copy)
        except Exception as error:
            self._state.log.write_internal_error("MoveCoordinator", error)

    def _start(
        self, source: Endpoint, streams: list[LiveStream], reason: MoveReason
    ) -> None:
        engine = self._engine_of(source.service)
        if engine is None or not engine.can_move or self._nursery is None:
            return
        if not self._state.is_enabled(Mechanism.MOVES):
            return
        evacuation = Evacuation(source, engine, trio.current_time(), reason)
        self._nursery.start_soon(self._run_evacuation, evacuation, streams)

    async def _run_evacuation(
        self, evacuation: Evacuation, streams: list[LiveStream]
    ) -> None:
        """Run an evacuation; log an exception instead of letting it end the process."""
        try:
            await self._evacuate(evacuation, streams)
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
        if planned is not None:
            await trio.sleep_until(evacuation.noticed_at + planned.start)
            uses_backup = planned.method is MoveMethod.BACKUP and stream.has_backup
            if uses_backup and self._is_at(stream, evacuation.source):
                await self._switch_to_backup(stream, evacuation, planned.target)
                return
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
                await self._stop_source(stream, evacuation, handover, target)
            elif not self._live.is_live(stream):
                await self._client.release(request, handover.source, copied.copy)
            return True
        finally:
            self._state.fleet_load.remove(target.identity, reservation)
            handover.is_settled.set()
            if handover.copy is None and stream.handover is handover:
                stream.handover = None

    async def _stop_source(
        self,
        stream: LiveStream,
        evacuation: Evacuation,
        handover: Handover,
        target: Endpoint,
    ) -> StopResult:
        """Stop the run, so that its stream ends and continues elsewhere.

        Its memory is copied to `target`. The endpoint that continues reads again the
        tokens that its own copy lacks, a few tens: that is faster than waiting until
        the source's link has copied them as well.
        """
        order = StopOrder(stream.exchange.identity, handover.source)
        handover.stop_order = order
        stream.stop_orders.append(order)
        self._nursery.start_soon(self._stop_reading, stream, handover, order)
        result = await self._stopper.stop(order, target.address)
        outcome = "moved" if result.outcome is StopOutcome.STOPPED else "refused"
        ingress_metrics.MOVES.labels(outcome).inc()
        seconds = trio.current_time() - evacuation.noticed_at
        event = MoveEnded(
            order.request,
            order.endpoint.identity,
            handover.target.identity,
            outcome,
            seconds,
        )
        self._state.log.write(event, is_failure=outcome != "moved")
        return result

    async def _stop_reading(
        self, stream: LiveStream, handover: Handover, order: StopOrder
    ) -> None:
        """Stop waiting for the end of a stopped run whose connection is silent.

        The target generates again the events that were not received.
        """
        await order.is_told.wait()
        told_at = trio.current_time()
        while self._is_at(stream, handover.source) and not stream.is_given_up:
            await trio.sleep(END_CHECK_INTERVAL_SECONDS)
            if stream.handover is not handover:
                return
            silent_since = max(stream.waiting_since or inf, told_at)
            if trio.current_time() - silent_since <= STOPPED_RUN_TIMEOUT_SECONDS:
                continue
            if order.is_presumed_over:
                stream.give_up_endpoint(RunState.ENDED)
            elif order.outcome is StopOutcome.UNANSWERED:
                stream.give_up_endpoint(RunState.UNREACHABLE)

    async def _stop_and_copy(
        self, stream: LiveStream, evacuation: Evacuation, handover: Handover
    ) -> bool:
        """Move without a copy before the stop; used when `FIRST_COPIES` is disabled."""
        result = await self._stop_source(stream, evacuation, handover, handover.target)
        handover.copy = result.copy
        return True

    async def _switch_to_backup(
        self, stream: LiveStream, evacuation: Evacuation, target: Endpoint
    ) -> None:
        """Continue the stream at its backup, which already has its memory.

        Stopping its run copies the memory to `target` as well; that copy is freed.
        """
        handover = stream.handover = backup_handover(stream)
        self._log_start(stream, evacuation, stream.backup)
        ingress_metrics.MOVES.labels("backup").inc()
        result = await self._stop_source(stream, evacuation, handover, target)
        if result.copy is not None:
            request = stream.exchange.identity
            await self._client.release(request, handover.source, result.copy)

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
