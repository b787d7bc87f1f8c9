"""Continuation of a stream whose endpoint stopped it, failed or was given up."""

from __future__ import annotations

import trio

from piershore.core.attempts.attempt_outcome import AttemptOutcome
from piershore.core.fleet.endpoint import Endpoint
from piershore.ingress.attempts.attempt_log import log_attempt, record_failed_attempt
from piershore.ingress.attempts.endpoint_attempt import EndpointAttempt
from piershore.ingress.exceptions import AttemptFailedError
from piershore.ingress.gateway_state import GatewayState
from piershore.ingress.live_stream import (
    backup_handover,
    Handover,
    LiveStream,
    RunState,
)
from piershore.ingress.moves.move_coordinator import MoveCoordinator
from piershore.ingress.ports import MemoryCopy
from piershore.ingress.streams.stream_opening import MAX_IDLE_SECONDS
from piershore.ingress.streams.stream_placement import StreamPlacement
from piershore.telemetry.events import StreamContinued

MAX_RERUNS = 2
"""Maximum number of endpoints that run a resumable stream again after one break."""
MAX_WAIT_SECONDS = 1.0
"""Maximum wait for an endpoint that has asked for backoff or is rate limited: callers
give up a stream after a pause of 2 s, and the copy is stored nowhere else."""
HANDOVER_TIMEOUT_SECONDS = 3.0
"""Maximum wait for a move that was in progress when the old stream ended."""


class StreamContinuation:
    """Continues a stream at another endpoint.

    The endpoint gets a copy of the stream's memory; a resumable stream may also be run
    again from its start.
    """

    def __init__(
        self,
        state: GatewayState,
        moves: MoveCoordinator,
        placement: StreamPlacement,
        stream: LiveStream,
        run: RunState,
    ) -> None:
        self._state = state
        self._moves = moves
        self._placement = placement
        self._stream = stream
        self._run_at = stream.endpoint
        self._run = run
        self.failure = ""

    async def resume(self) -> EndpointAttempt | None:
        """Return the attempt that continues the stream.

        Return None if there is none, and set `failure`.
        """
        stream = self._stream
        if stream.handover is not None:
            attempt = await self._continue_with(stream.handover)
            if attempt is not None:
                return attempt
            self.failure = "; the move failed"
        if stream.has_backup:
            attempt = await self._continue_with(backup_handover(stream))
            if attempt is not None:
                return attempt
            self.failure += "; the backup failed"
        if stream.exchange.route.is_resumable:
            return await self._rerun()
        return None

    async def _rerun(self) -> EndpointAttempt | None:
        """Run a resumable stream again elsewhere; it resumes after its last event."""
        exchange = self._stream.exchange
        service = exchange.route.service_for(exchange.identity)
        tried = [self._stream.endpoint.identity, self._run_at.identity]
        reruns = 0
        while service is not None and reruns < MAX_RERUNS:
            decision = self._placement.choose(service, tried, trio.current_time())
            if decision is None or not self._state.spend_retry(service):
                break
            endpoint = decision.endpoint
            reruns += 1
            log_attempt(self._state, exchange, decision, reruns + 1)
            attempt = await self._resume_at(endpoint, None)
            if attempt is not None:
                return attempt
            tried.append(endpoint.identity)
        self.failure += "; no endpoint ran it again"
        return None

    async def _continue_with(self, handover: Handover) -> EndpointAttempt | None:
        """Continue at the target, or else at the source that stopped the run."""
        if handover.copy is not None:
            attempt = await self._resume_at(handover.target, handover.copy)
            if attempt is not None:
                return attempt
        if handover.stop_order is None or handover.uses_backup:
            return None
        with trio.move_on_after(HANDOVER_TIMEOUT_SECONDS):
            await handover.is_settled.wait()
        if handover.copy is None:
            # Without a copy, the endpoint would run the request a second time.
            return None
        for endpoint in handover.continuation_endpoints(trio.current_time()):
            attempt = await self._resume_at(endpoint, handover.copy)
            if attempt is not None:
                return attempt
        return None

    async def _resume_at(
        self, endpoint: Endpoint, copy: MemoryCopy | None
    ) -> EndpointAttempt | None:
        """Send the request with its last event ID and the copy to continue from."""
        if self._state.directory.is_drained(endpoint):
            return None
        await self._wait_until_available(endpoint)
        await self._stop_run(endpoint)
        exchange = self._stream.exchange
        last = self._stream.delivered.last_number
        backup = self._placement.choose_backup(endpoint, trio.current_time())
        options = exchange.forwarding_options(
            priority=exchange.priority,
            continue_from=copy,
            back_up_at=backup.address if backup else None,
            last_event_id=None if last is None else str(last),
        )
        attempt = EndpointAttempt(self._state, exchange, endpoint, MAX_IDLE_SECONDS)
        is_open = False
        try:
            answer = await attempt.start(options)
            if not answer.is_success:
                raise AttemptFailedError(
                    AttemptOutcome.FAILED_ANSWER, f"status {answer.status}"
                )
            is_open = True
        except AttemptFailedError as error:
            record_failed_attempt(self._state, exchange, endpoint, error, 0.0)
            if attempt.is_unanswered:
                self._run_at, self._run = endpoint, RunState.RUNNING
            return None
        finally:
            if not is_open:
                await attempt.close()
        self._continue_at(endpoint, backup)
        return attempt

    def _record_stopped(self) -> None:
        """Record that the source has survived the stop, if its answer is still due.

        It answers once it has copied the memory. A crash until then isn't the run's
        doing.
        """
        handover = self._stream.handover
        order = handover.stop_order if handover is not None else None
        if order is not None and order.is_told.is_set() and order.outcome is None:
            self._state.runs.end_stopped(order.endpoint.identity, order.request)

    async def _stop_run(self, next_endpoint: Endpoint) -> None:
        """Tell the endpoint that may still work on the stream to stop, once."""
        run, self._run = self._run, RunState.ENDED
        stream, target = self._stream, next_endpoint
        if target.identity == self._run_at.identity:
            target = stream.endpoint
        await self._moves.stop_run(stream, self._run_at, target, run)

    async def _wait_until_available(self, endpoint: Endpoint) -> None:
        """Wait until an endpoint accepts work, if that is soon.

        Otherwise return at once: the attempt then fails before the request is sent.
        """
        seconds_left = self._state.placement.seconds_until_available(
            endpoint, trio.current_time()
        )
        if seconds_left <= MAX_WAIT_SECONDS:
            await trio.sleep(seconds_left)

    def _continue_at(self, endpoint: Endpoint, backup: Endpoint | None) -> None:
        """Record that the stream now runs at another endpoint."""
        stream = self._stream
        self._record_stopped()
        self._placement.place(endpoint)
        self._placement.place_backup(backup)
        stream.continue_at(endpoint, backup)
        self._state.log.write(
            StreamContinued(
                stream.exchange.identity,
                endpoint.identity,
                stream.delivered.last_number or 0,
                trio.current_time() - stream.last_event_at,
            )
        )
        if self._state.directory.is_leaving(endpoint.identity):
            self._moves.evacuate_one(stream)
