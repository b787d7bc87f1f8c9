"""Where a stream goes on after its endpoint stopped, was given up or broke."""

from __future__ import annotations

import trio

from piershore.core.attempts.attempt_outcome import AttemptOutcome
from piershore.core.fleet.endpoint import Endpoint
from piershore.ingress.attempts.attempt_log import note_attempt, note_failure
from piershore.ingress.attempts.endpoint_attempt import EndpointAttempt
from piershore.ingress.exceptions import AttemptFailedError
from piershore.ingress.gateway_state import GatewayState
from piershore.ingress.live_stream import backup_handover, Handover, LiveStream
from piershore.ingress.moves.move_coordinator import MoveCoordinator
from piershore.ingress.ports import MemoryCopy
from piershore.ingress.streams.stream_memory import StreamMemory
from piershore.ingress.streams.stream_opening import IDLE_OF_STREAM_SECONDS
from piershore.telemetry.events import StreamContinued

MOST_RUNS_ANEW = 2
"""Endpoints that may run a resumable stream anew after one break."""
LONGEST_WAIT_SECONDS = 1.0
"""Longest wait for an endpoint that rests or is limited: callers give a stream up after
a pause of 2 s, and the copy lies nowhere else."""
HANDOVER_SECONDS = 3.0
"""Longest wait for a move that was under way when the old stream ended."""


class StreamContinuation:
    """Continues a stream from a copy of its memory."""

    def __init__(
        self,
        state: GatewayState,
        moves: MoveCoordinator,
        memory: StreamMemory,
        stream: LiveStream,
    ) -> None:
        self._state = state
        self._moves = moves
        self._memory = memory
        self._stream = stream
        self.failure = ""

    async def find(self) -> EndpointAttempt | None:
        """Return the attempt that goes on; None (and `failure`) if there is none."""
        stream = self._stream
        if stream.handover is not None:
            attempt = await self._go_on(stream.handover)
            if attempt is not None:
                return attempt
            self.failure = "; the move failed"
        if stream.has_backup:
            attempt = await self._go_on(backup_handover(stream))
            if attempt is not None:
                return attempt
            self.failure += "; the backup failed"
        if stream.exchange.route.is_resumable:
            return await self._run_anew()
        return None

    async def _run_anew(self) -> EndpointAttempt | None:
        """Run a resumable stream again elsewhere, from its last event on."""
        exchange = self._stream.exchange
        service = exchange.route.service_for(exchange.identity)
        tried = [self._stream.endpoint.identity]
        while service is not None and len(tried) <= MOST_RUNS_ANEW:
            choice = self._memory.choose(service, tried, trio.current_time())
            if choice is None or not self._state.may_retry(service):
                break
            endpoint = choice.endpoint
            note_attempt(self._state, exchange, choice, len(tried) + 1)
            attempt = await self._resume_at(endpoint, None)
            if attempt is not None:
                return attempt
            tried.append(endpoint.identity)
        self.failure += "; no endpoint ran it anew"
        return None

    async def _go_on(self, handover: Handover) -> EndpointAttempt | None:
        """Continue at the target, or else at the source that stopped."""
        if handover.copy is not None:
            attempt = await self._resume_at(handover.target, handover.copy)
            if attempt is not None:
                return attempt
        if not handover.run_stopped:
            return None
        with trio.move_on_after(HANDOVER_SECONDS):
            await handover.is_settled.wait()
        if handover.copy is None:
            # Sent without a copy the request would run a second time.
            return None
        for endpoint in handover.places(trio.current_time()):
            attempt = await self._resume_at(endpoint, handover.copy)
            if attempt is not None:
                return attempt
        return None

    async def _resume_at(
        self, endpoint: Endpoint, copy: MemoryCopy | None
    ) -> EndpointAttempt | None:
        """Send the request with its last event, and the copy to go on from."""
        if self._state.directory.is_drained(endpoint):
            return None
        await self._wait_for(endpoint)
        exchange = self._stream.exchange
        last = self._stream.delivered.last_number
        backup = self._memory.choose_backup(endpoint, trio.current_time())
        order = exchange.order(
            priority=exchange.priority,
            continue_from=copy,
            back_up_at=backup.address if backup else None,
            last_event_id=None if last is None else str(last),
        )
        attempt = EndpointAttempt(
            self._state, exchange, endpoint, IDLE_OF_STREAM_SECONDS
        )
        is_open = False
        try:
            answer = await attempt.start(order)
            if not answer.is_success:
                raise AttemptFailedError(
                    AttemptOutcome.FAILED_ANSWER, f"status {answer.status}"
                )
            is_open = True
        except AttemptFailedError as error:
            note_failure(self._state, exchange, endpoint, error, 0.0)
            return None
        finally:
            if not is_open:
                await attempt.close()
        self._settle_at(endpoint, backup)
        return attempt

    async def _wait_for(self, endpoint: Endpoint) -> None:
        """Wait until an endpoint takes work, if that is soon; else nothing is sent."""
        left = self._state.placement.seconds_left(endpoint, trio.current_time())
        if left <= LONGEST_WAIT_SECONDS:
            await trio.sleep(left)

    def _settle_at(self, endpoint: Endpoint, backup: Endpoint | None) -> None:
        """Note that the stream runs at another endpoint now."""
        stream = self._stream
        self._memory.place(endpoint)
        self._memory.back_up(backup)
        stream.settle_at(endpoint, backup)
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
