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
from piershore.ingress.live_stream import LiveStream, LiveStreams
from piershore.ingress.moves.move_coordinator import MoveCoordinator, MoveReason
from piershore.ingress.ports import EndpointProber
from piershore.telemetry import ingress_metrics
from piershore.telemetry.events import StreamSilent

CHECK_SECONDS = 0.1
"""Interval between checks of all streams; a check takes a few microseconds a stream."""
SHORTEST_SILENCE_SECONDS = 0.3
"""Shorter pauses occur when the engine reads other prompts beside the stream."""
ANSWER_SECONDS = 0.5
"""Timeout for a report, which takes a few ms: twice the retransmission time of a lost
packet."""
ASK_AGAIN_SECONDS = 1.0
"""Interval between probes of an endpoint that answers: each probe has a cost."""
IDLE_SECONDS = 1.0
"""Maximum idle time of a pooled connection that a probe reuses."""


@dataclass
class _Inquiry:
    """The probes of one endpoint; the next one may be sent at `next_at`."""

    is_asking: bool = False
    unanswered: int = 0
    next_at: float = float("-inf")


class SilenceWatch:
    """Probes endpoints that have fallen silent, and continues streams elsewhere."""

    def __init__(
        self,
        state: GatewayState,
        live: LiveStreams,
        moves: MoveCoordinator,
        reports: EndpointProber,
    ) -> None:
        self._state = state
        self._live = live
        self._moves = moves
        self._reports = reports
        self._inquiries: dict[str, _Inquiry] = {}
        self._awake_since = float("-inf")

    async def run(self) -> None:
        """Check all streams periodically, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                due = trio.current_time() + CHECK_SECONDS
                await trio.sleep_until(due)
                now = trio.current_time()
                if was_paused(due, now):
                    self._awake_since = now
                for streams in self._silent_by_endpoint(now):
                    nursery.start_soon(self._inquire, streams[0].endpoint)

    def _silent_by_endpoint(self, now: float) -> Iterator[list[LiveStream]]:
        """Yield the silent streams of each endpoint that may be probed now."""
        silent = defaultdict(list)
        for stream in self._live:
            if self._is_silent(stream, now):
                silent[stream.endpoint.identity].append(stream)
        for identity in self._inquiries.keys() - silent.keys():
            if not self._inquiries[identity].is_asking:
                del self._inquiries[identity]
        for identity, streams in silent.items():
            inquiry = self._inquiries.setdefault(identity, _Inquiry())
            if not inquiry.is_asking and now >= inquiry.next_at:
                inquiry.is_asking = True
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
        began = max(stream.waiting_since, self._awake_since)
        return now - began > max(SHORTEST_SILENCE_SECONDS, limit)

    async def _inquire(self, endpoint: Endpoint) -> None:
        inquiry = self._inquiries[endpoint.identity]
        asked_at = trio.current_time()
        try:
            report = await self._ask(endpoint)
        finally:
            inquiry.is_asking = False
        if report is not None:
            self._state.notices.receive_report(endpoint, report)
        now = trio.current_time()
        is_alive = self._state.paces.last_chunk_at(endpoint.identity) > asked_at
        if report is not None or is_alive:
            inquiry.unanswered = 0
            inquiry.next_at = now + ASK_AGAIN_SECONDS
        else:
            inquiry.unanswered += 1
            await self._leave_out(endpoint, now)
        for stream in self._live.running_at(endpoint.identity):
            if self._is_silent(stream, now):
                await self._judge(stream, report, inquiry.unanswered)

    async def _leave_out(self, endpoint: Endpoint, now: float) -> None:
        """Eject an endpoint that doesn't answer and drop its pooled connections.

        On a pooled connection, a request would wait until its deadline; opening a new
        one shows first whether the endpoint can be reached.
        """
        if self._state.health.record_silence(endpoint.identity, now):
            log_ejection(self._state, endpoint, "silence")
        await self._state.pool.drop(endpoint.address)

    async def _ask(self, endpoint: Endpoint) -> EndpointReport | None:
        """Return the endpoint's report; None if it doesn't answer in time.

        An endpoint that refuses the connection or breaks the exchange is reachable: if
        it has lost its streams, their connections break without further action.
        """
        with trio.move_on_after(ANSWER_SECONDS):
            try:
                async with self._state.pool.borrow(
                    endpoint, IDLE_SECONDS
                ) as connection:
                    return await self._reports.probe(connection, endpoint.address)
            except NotConnectedError as error:
                return None if error.timed_out else NOTHING_TOLD
            except ExchangeBrokenError:
                return NOTHING_TOLD
        return None

    async def _judge(
        self, stream: LiveStream, report: EndpointReport | None, unanswered: int
    ) -> None:
        seen = SilentStream(
            stream.exchange.identity,
            stream.delivered.last_number or 0,
            await self._can_go_on_elsewhere(stream),
            stream.endpoint.born,
        )
        now = trio.current_time()
        if not self._is_silent(stream, now):
            return
        verdict = evaluate_silence(seen, report, unanswered)
        ingress_metrics.SILENCES.labels(verdict).inc()
        self._state.log.write(
            StreamSilent(
                seen.request,
                stream.endpoint.identity,
                now - stream.waiting_since,
                self._state.paces.longest_pause(stream.endpoint.identity),
                report is not None,
                verdict,
                seen.last_event,
            ),
            is_failure=verdict is not SilenceDecision.WAIT,
        )
        if verdict is SilenceDecision.MOVE:
            self._moves.evacuate_one(stream, MoveReason.EVENTS_LOST)
        elif verdict is SilenceDecision.GIVE_UP:
            stream.give_up_endpoint()

    async def _can_go_on_elsewhere(self, stream: LiveStream) -> bool:
        """Return whether the stream can continue at an endpoint that can be reached.

        A network partition that hides its endpoint may hide its backup too, and may
        heal.
        """
        if stream.exchange.route.is_resumable:
            return True
        if not stream.has_backup:
            return False
        return await self._state.pool.can_connect(stream.backup.address)


NOTHING_TOLD = EndpointReport(is_leaving=False, generated_events={})
"""Stands for an endpoint that is reachable but reported nothing of its generations."""
