"""Detection of streams that pause for longer than is usual at their endpoint."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

import trio

from piershore.core.fleet.endpoint import Endpoint
from piershore.core.process_pause import was_paused
from piershore.core.streams.silence import (
    EndpointReport,
    evaluate_silence,
    SilenceDecision,
    SilentStream,
)
from piershore.http1.exceptions import ExchangeBrokenError, NotConnectedError
from piershore.ingress.attempts.attempt_log import log_ejection
from piershore.ingress.gateway_state import GatewayState
from piershore.ingress.live_stream import LiveStream, LiveStreams, RunState
from piershore.ingress.moves.move_coordinator import MoveCoordinator, MoveReason
from piershore.ingress.ports import EndpointProber
from piershore.telemetry import ingress_metrics
from piershore.telemetry.events import StreamSilent

CHECK_INTERVAL_SECONDS = 0.1
"""Interval between checks of all streams; a check takes a few microseconds a stream."""
MIN_SILENCE_SECONDS = 0.3
"""Shorter pauses occur when the engine reads other prompts beside the stream."""
REPORT_TIMEOUT_SECONDS = 0.5
"""Timeout for a report, which takes a few ms: twice the retransmission time of a lost
packet."""
PROBE_INTERVAL_SECONDS = 1.0
"""Interval between probes of an endpoint that answers: each probe has a cost."""
MAX_IDLE_SECONDS = 1.0
"""Maximum idle time of a pooled connection that a probe reuses."""


@dataclass
class _EndpointProbes:
    """The probes of one endpoint; the next one may be sent at `next_at`."""

    is_running: bool = False
    unanswered_count: int = 0
    next_at: float = float("-inf")


class SilenceWatch:
    """Probes endpoints that have fallen silent, and continues streams elsewhere."""

    def __init__(
        self,
        state: GatewayState,
        live: LiveStreams,
        moves: MoveCoordinator,
        prober: EndpointProber,
    ) -> None:
        self._state = state
        self._live = live
        self._moves = moves
        self._prober = prober
        self._probes: dict[str, _EndpointProbes] = {}
        self._resumed_at = float("-inf")

    async def run(self) -> None:
        """Check all streams periodically, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                due = trio.current_time() + CHECK_INTERVAL_SECONDS
                await trio.sleep_until(due)
                now = trio.current_time()
                if was_paused(due, now):
                    self._resumed_at = now
                for streams in self._silent_by_endpoint(now):
                    nursery.start_soon(self._probe, streams[0].endpoint)

    def _silent_by_endpoint(self, now: float) -> Iterator[list[LiveStream]]:
        """Yield the silent streams of each endpoint that may be probed now."""
        silent = defaultdict(list)
        for stream in self._live:
            if self._is_silent(stream, now):
                silent[stream.endpoint.identity].append(stream)
        for identity in self._probes.keys() - silent.keys():
            if not self._probes[identity].is_running:
                del self._probes[identity]
        for identity, streams in silent.items():
            probes = self._probes.setdefault(identity, _EndpointProbes())
            if not probes.is_running and now >= probes.next_at:
                probes.is_running = True
                yield streams

    def _is_silent(self, stream: LiveStream, now: float) -> bool:
        if stream.waiting_since is None or not stream.work.has_begun:
            return False
        if stream.handover is not None or stream.is_given_up:
            return False
        identity = stream.endpoint.identity
        directory = self._state.directory
        if directory.is_leaving(identity) or directory.is_drained(stream.endpoint):
            return False
        limit = self._state.paces.longest_pause(identity)
        silent_since = max(stream.waiting_since, self._resumed_at)
        return now - silent_since > max(MIN_SILENCE_SECONDS, limit)

    async def _probe(self, endpoint: Endpoint) -> None:
        probes = self._probes[endpoint.identity]
        probed_at = trio.current_time()
        try:
            report = await self._fetch_report(endpoint)
        finally:
            probes.is_running = False
        if report is not None:
            self._state.notices.receive_report(endpoint, report)
        now = trio.current_time()
        is_alive = self._state.paces.last_chunk_at(endpoint.identity) > probed_at
        if report is not None or is_alive:
            probes.unanswered_count = 0
            probes.next_at = now + PROBE_INTERVAL_SECONDS
        else:
            probes.unanswered_count += 1
            await self._eject(endpoint, now)
        for stream in self._live.running_at(endpoint.identity):
            if self._is_silent(stream, now):
                await self._handle_silence(stream, report, probes.unanswered_count)

    async def _eject(self, endpoint: Endpoint, now: float) -> None:
        """Eject an endpoint that doesn't answer and drop its pooled connections.

        On a pooled connection, a request would wait until its deadline; opening a new
        one shows first whether the endpoint can be reached.
        """
        if self._state.health.record_silence(endpoint.identity, now):
            log_ejection(self._state, endpoint, "silence")
        await self._state.pool.close_connections_to(endpoint.address)

    async def _fetch_report(self, endpoint: Endpoint) -> EndpointReport | None:
        """Return the endpoint's report; None if it doesn't answer in time.

        An endpoint that refuses the connection or breaks the exchange is reachable: if
        it has lost its streams, their connections break without further action.
        """
        with trio.move_on_after(REPORT_TIMEOUT_SECONDS):
            try:
                async with self._state.pool.borrow(
                    endpoint, MAX_IDLE_SECONDS
                ) as connection:
                    return await self._prober.probe(connection, endpoint.address)
            except NotConnectedError as error:
                return None if error.timed_out else EMPTY_REPORT
            except ExchangeBrokenError:
                return EMPTY_REPORT
        return None

    async def _handle_silence(
        self, stream: LiveStream, report: EndpointReport | None, unanswered: int
    ) -> None:
        silent = SilentStream(
            stream.exchange.identity,
            stream.delivered.last_number or 0,
            await self._can_continue_elsewhere(stream),
            stream.endpoint.born,
        )
        now = trio.current_time()
        if not self._is_silent(stream, now):
            return
        decision = evaluate_silence(silent, report, unanswered)
        ingress_metrics.SILENCES.labels(decision).inc()
        self._state.log.write(
            StreamSilent(
                silent.request,
                stream.endpoint.identity,
                now - stream.waiting_since,
                self._state.paces.longest_pause(stream.endpoint.identity),
                report is not None,
                decision,
                silent.last_event,
            ),
            is_failure=decision is not SilenceDecision.WAIT,
        )
        if decision is SilenceDecision.MOVE:
            self._moves.evacuate_one(stream, MoveReason.EVENTS_LOST)
        elif decision is SilenceDecision.GIVE_UP:
            # An endpoint that answers has restarted without the run.
            run = RunState.UNREACHABLE if report is None else RunState.ENDED
            stream.give_up_endpoint(run)

    async def _can_continue_elsewhere(self, stream: LiveStream) -> bool:
        """Return whether the stream can continue at an endpoint that can be reached.

        A network partition that hides its endpoint may hide its backup too, and may
        heal.
        """
        if stream.exchange.route.is_resumable:
            return True
        if not stream.has_backup:
            return False
        return await self._state.pool.can_connect(stream.backup.address)


EMPTY_REPORT = EndpointReport(is_leaving=False, generated_events={})
"""Stands for an endpoint that is reachable but reported nothing of its generations."""
