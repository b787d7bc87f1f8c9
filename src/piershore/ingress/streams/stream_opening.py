"""Opening of a stream: attempts at endpoints until one answers."""

from __future__ import annotations

from http import HTTPStatus

import trio

from piershore.core.attempts.attempt_outcome import (
    AttemptOutcome,
    MAX_UNRUN_REFUSALS,
    may_retry,
    NOT_RUN_STATUSES,
)
from piershore.core.fleet.generation_admission import retry_after_seconds
from piershore.core.fleet.memory_wait import max_memory_wait_seconds, MemoryWait
from piershore.core.fleet.placement import PlacementDecision
from piershore.core.mechanism import Mechanism
from piershore.ingress.attempts.attempt_log import (
    log_attempt,
    record_failed_attempt,
    record_refusal,
)
from piershore.ingress.attempts.endpoint_attempt import EndpointAttempt
from piershore.ingress.callers.exchange import Exchange
from piershore.ingress.callers.final_refusal import final_refusal
from piershore.ingress.exceptions import AttemptFailedError, RequestRefusedError
from piershore.ingress.gateway_state import GatewayState
from piershore.ingress.streams.stream_placement import StreamPlacement
from piershore.telemetry import ingress_metrics

MAX_IDLE_SECONDS = 1.0
"""Maximum idle time of a pooled connection that a stream reuses; the same as for calls
that must run at most once."""
RETRY_AFTER_JITTER = (0.75, 1.25)
"""Jitter for `Retry-After` when engines are overloaded: factors of the projected
time."""
MIN_RETRY_AFTER_SECONDS = 0.4
"""Minimum `Retry-After` of other refusals: the duration of a short generation."""


class StreamOpening:
    """Sends a stream's request until one endpoint answers."""

    def __init__(
        self, state: GatewayState, exchange: Exchange, placement: StreamPlacement
    ) -> None:
        self._state = state
        self._exchange = exchange
        self._placement = placement
        self._outcomes: list[AttemptOutcome] = []
        self._last_attempt: EndpointAttempt | None = None

    @property
    def attempts(self) -> int:
        """Number of attempts so far, including the one that was answered."""
        return len(self._outcomes) + 1

    async def open(self) -> EndpointAttempt:
        """Return the attempt that was answered, or raise `RequestRefusedError`."""
        exchange = self._exchange
        service = exchange.route.service_for(exchange.identity)
        if service is None:
            raise self.refusal()
        self._state.record_request(service)
        tried: list[str] = []
        while True:
            decision = await self._choose_with_memory(service, tried)
            if decision is None:
                raise self.refusal()
            if not self._placement.fits(decision):
                raise self._overload_refusal(decision)
            tried.append(decision.endpoint.identity)
            attempt = await self._attempt(decision, len(tried))
            if attempt is not None:
                return attempt
            self._check_can_retry(service)

    async def _choose_with_memory(
        self, service: str, tried: list[str]
    ) -> PlacementDecision | None:
        """Return a choice that has memory; without one in time, the last choice.

        None means that there is no endpoint, or that none accepts work in time.
        """
        wait = MemoryWait(self._state.random)
        deadline = self._exchange.arrived
        if self._state.is_enabled(Mechanism.WAITING):
            deadline += max_memory_wait_seconds(self._exchange.route.target_latency)
        while True:
            decision = self._placement.choose(service, tried, trio.current_time())
            if decision is None:
                pause = self._state.seconds_until_any_available(service)
            else:
                pause = wait.next_pause(has_memory=self._placement.fits(decision))
            if pause is None or trio.current_time() + pause > deadline:
                return decision
            await trio.sleep(pause)

    def refusal(self, *, timed_out: bool = False) -> RequestRefusedError:
        """Return the refusal to answer with when no endpoint answered."""
        outcomes = list(self._outcomes)
        last = self._last_attempt
        if timed_out and last is not None and last.may_have_run:
            outcomes.append(AttemptOutcome.TIMED_OUT)
        return final_refusal(
            self._state,
            self._exchange,
            outcomes,
            MIN_RETRY_AFTER_SECONDS,
            timed_out=timed_out,
        )

    def _overload_refusal(self, decision: PlacementDecision) -> RequestRefusedError:
        """Return the refusal when not even the best engine has enough memory.

        Jitter spreads the retries of callers that are refused together.
        """
        if any(not outcome.proves_not_run for outcome in self._outcomes):
            return self.refusal()
        jitter = self._state.random.uniform(*RETRY_AFTER_JITTER)
        return RequestRefusedError(
            HTTPStatus.SERVICE_UNAVAILABLE,
            "engines_crowded",
            "no engine has memory for the request now",
            jitter * retry_after_seconds(decision.load),
        )

    def _check_can_retry(self, service: str) -> None:
        outcome = self._outcomes[-1]
        is_last = len(self._outcomes) >= MAX_UNRUN_REFUSALS
        can_retry = may_retry(self._exchange.route.kind, outcome) and not is_last
        if not can_retry or not self._state.spend_retry(service):
            raise self.refusal()
        ingress_metrics.RETRIES.labels(outcome).inc()

    async def _attempt(
        self, decision: PlacementDecision, number: int
    ) -> EndpointAttempt | None:
        endpoint = decision.endpoint
        log_attempt(self._state, self._exchange, decision, number, self._placement.work)
        started = trio.current_time()
        backup = self._placement.choose_backup(endpoint, started)
        attempt = EndpointAttempt(
            self._state, self._exchange, endpoint, MAX_IDLE_SECONDS
        )
        self._placement.place(endpoint)
        self._placement.place_backup(backup)
        self._last_attempt = attempt
        is_open = False
        try:
            await self._start(attempt)
            self._state.failures.record(
                endpoint.identity, trio.current_time(), failed=False
            )
            is_open = True
            return attempt
        except AttemptFailedError as error:
            self._outcomes.append(error.outcome)
            seconds = trio.current_time() - started
            record_failed_attempt(self._state, self._exchange, endpoint, error, seconds)
            record_refusal(self._state, endpoint, error)
            return None
        finally:
            if not is_open:
                self._placement.release()
                await attempt.close()

    async def _start(self, attempt: EndpointAttempt) -> None:
        backup = self._placement.backup
        answer = await attempt.start(
            self._exchange.forwarding_options(
                priority=self._exchange.priority,
                back_up_at=backup.address if backup else None,
            )
        )
        if not answer.is_valid or answer.status in NOT_RUN_STATUSES:
            raise AttemptFailedError(
                AttemptOutcome.MAYBE_RUN, f"unusable answer, status {answer.status}"
            )
