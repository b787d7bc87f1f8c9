"""Forwarding of plain requests: one complete answer, after one or more attempts."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus

import trio

from piershore.core.attempts.attempt_outcome import (
    AttemptOutcome,
    MAX_UNRUN_REFUSALS,
    may_retry,
    NOT_RUN_STATUSES,
)
from piershore.core.fleet.endpoint import Endpoint
from piershore.core.fleet.fleet_load import PlainWork
from piershore.core.fleet.memory_wait import max_memory_wait_seconds
from piershore.core.fleet.placement import PlacementDecision
from piershore.core.mechanism import Mechanism
from piershore.core.routes.route import RequestKind
from piershore.http1.message import Headers
from piershore.ingress.attempts.attempt_log import (
    log_attempt,
    log_failed_attempt,
    record_endpoint_failure,
    record_failed_attempt,
    record_refusal,
)
from piershore.ingress.attempts.endpoint_attempt import EndpointAttempt
from piershore.ingress.callers.exchange import Exchange
from piershore.ingress.callers.final_refusal import final_refusal
from piershore.ingress.exceptions import AttemptFailedError, RequestRefusedError
from piershore.ingress.gateway_state import GatewayState
from piershore.telemetry import ingress_metrics
from piershore.telemetry.events import RequestAnswered

MAX_IDLE_ONCE_SECONDS = 1.0
"""Maximum idle time of a connection that is reused for a request that may run only
once: if the endpoint has closed it, whether the request ran is unknown."""
MAX_IDLE_REPEATABLE_SECONDS = 4.0
MAX_SILENCE_LATENCIES = 1.6
"""Multiple of the target latency after which an unanswered repeatable request is sent
to another endpoint. The pooled connections to the silent one are closed then, since
they may be dead too: each of up to 8 would cost another call its whole timeout."""
MIN_FAILURES_OF_REQUEST = 2
"""If this many endpoints answer a request with a failure, the request is at fault and
not the endpoints."""
RETRY_AFTER_SECONDS = 0.25
"""Sent as Retry-After: calls take a few tens of milliseconds, so endpoints have
capacity again by then."""


@dataclass(frozen=True)
class WholeAnswer:
    """An endpoint's answer with its complete body."""

    endpoint: Endpoint
    status: int
    headers: Headers
    body: bytes


class CallForwarder:
    """Serves requests whose answer is forwarded as a whole."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state

    async def serve(self, exchange: Exchange) -> None:
        """Answer one request, or raise `RequestRefusedError`."""
        call = _Call(self._state, exchange)
        answer = None
        with trio.move_on_at(exchange.deadline) as scope:
            answer = await call.find_answer()
        if answer is None:
            raise call.refusal(timed_out=scope.cancelled_caught)
        await exchange.connection.respond(answer.status, answer.headers, answer.body)
        self._state.log.write(
            RequestAnswered(
                exchange.identity,
                answer.endpoint.identity,
                answer.status,
                len(call.outcomes) + 1,
                exchange.age,
                exchange.age,
                aim=exchange.route.target_latency,
            )
        )
        ingress_metrics.ANSWER_SECONDS.labels(exchange.route.kind).observe(exchange.age)


class _Call:
    """The attempts of one request."""

    def __init__(self, state: GatewayState, exchange: Exchange) -> None:
        self._state = state
        self._exchange = exchange
        self._tried: list[str] = []
        self._possible_runs = 0
        self._failed_answer: WholeAnswer | None = None
        self._failed_endpoints: list[Endpoint] = []
        self.outcomes: list[AttemptOutcome] = []

    async def find_answer(self) -> WholeAnswer | None:
        """Try endpoints until one answers or no further attempt is allowed."""
        answer = await self._try_endpoints()
        # If two endpoints both answer with a failure, the request is at fault: of 50
        # first failures of a healthy service, 35 recurred.
        is_request_fault = (
            len(self._failed_endpoints) >= MIN_FAILURES_OF_REQUEST
            and answer is self._failed_answer
        )
        if not is_request_fault:
            for endpoint in self._failed_endpoints:
                record_endpoint_failure(self._state, endpoint)
        return answer

    async def _try_endpoints(self) -> WholeAnswer | None:
        exchange = self._exchange
        service = exchange.route.service_for(exchange.identity)
        if service is None:
            return None
        self._state.record_request(service)
        while True:
            now = trio.current_time()
            decision = self._state.placement.for_call(service, now, self._tried)
            if decision is None and self._tried and self._possible_runs == 0:
                decision = self._state.placement.for_call(service, now)
            if decision is None and await self._wait_for_endpoint(service):
                continue
            if decision is None:
                return self._failed_answer
            answer = await self._attempt(decision)
            if answer is not None:
                return answer
            await self._state.crash_detector.wait_for_check(decision.endpoint)
            if not self._may_retry(service):
                return self._failed_answer

    async def _wait_for_endpoint(self, service: str) -> bool:
        """Wait for an endpoint whose backoff or rate limit ends soon.

        Return False if there is none.
        """
        now = trio.current_time()
        seconds_left = self._state.seconds_until_any_available(service)
        exchange = self._exchange
        max_wait_until = exchange.arrived + max_memory_wait_seconds(
            exchange.route.target_latency
        )
        if seconds_left is None or now + seconds_left > max_wait_until:
            return False
        await trio.sleep(seconds_left)
        return True

    def refusal(self, *, timed_out: bool) -> RequestRefusedError:
        """Return the refusal to send when no endpoint gave an answer."""
        outcomes = list(self.outcomes)
        if self._possible_runs > sum(
            not outcome.proves_not_run for outcome in outcomes
        ):
            outcomes.append(AttemptOutcome.TIMED_OUT)
        return final_refusal(
            self._state,
            self._exchange,
            outcomes,
            RETRY_AFTER_SECONDS,
            timed_out=timed_out,
        )

    def _may_retry(self, service: str) -> bool:
        outcome = self.outcomes[-1]
        kind = self._exchange.route.kind
        if not may_retry(kind, outcome):
            return False
        if self._possible_runs >= self._exchange.route.max_attempts:
            return False
        if self._exchange.seconds_until_release(self._state.quarantine) is not None:
            return False
        unrun_count = sum(outcome.proves_not_run for outcome in self.outcomes)
        if unrun_count >= MAX_UNRUN_REFUSALS or not self._state.spend_retry(service):
            return False
        ingress_metrics.RETRIES.labels(outcome).inc()
        return True

    async def _attempt(self, decision: PlacementDecision) -> WholeAnswer | None:
        exchange = self._exchange
        endpoint = decision.endpoint
        self._tried.append(endpoint.identity)
        is_repeatable = exchange.route.kind is RequestKind.REPEATABLE
        max_idle_seconds = (
            MAX_IDLE_REPEATABLE_SECONDS if is_repeatable else MAX_IDLE_ONCE_SECONDS
        )
        attempt = EndpointAttempt(self._state, exchange, endpoint, max_idle_seconds)
        work = PlainWork()
        self._state.fleet_load.add(endpoint.identity, work)
        log_attempt(self._state, exchange, decision, len(self._tried))
        started = trio.current_time()
        try:
            with trio.move_on_after(self._attempt_timeout()):
                return await self._send_and_read(attempt)
            raise AttemptFailedError(AttemptOutcome.TIMED_OUT, "no answer in time")
        except AttemptFailedError as error:
            self._record_failure(endpoint, error, trio.current_time() - started)
            return None
        finally:
            self._possible_runs += attempt.may_have_run
            self._state.fleet_load.remove(endpoint.identity, work)
            await attempt.close()
            seconds = trio.current_time() - started
            if attempt.is_unanswered and seconds >= self._max_silence_seconds:
                with trio.CancelScope(shield=True):
                    await self._state.pool.close_connections_to(endpoint.address)

    async def _send_and_read(self, attempt: EndpointAttempt) -> WholeAnswer | None:
        answer = await attempt.start(self._exchange.forwarding_options())
        body = await attempt.read_body()
        identity = attempt.endpoint.identity
        if not answer.is_valid or answer.status in NOT_RUN_STATUSES:
            raise AttemptFailedError(
                AttemptOutcome.MAYBE_RUN, f"unusable answer, status {answer.status}"
            )
        headers = self._state.dialect.forwarded_answer_headers(attempt.head)
        complete_answer = WholeAnswer(attempt.endpoint, answer.status, headers, body)
        if answer.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            self._state.record_success(identity)
            attempt.record_served()
            return complete_answer
        self._failed_answer = complete_answer
        raise AttemptFailedError(
            AttemptOutcome.FAILED_ANSWER, f"the endpoint answered {answer.status}"
        )

    @property
    def _max_silence_seconds(self) -> float:
        return MAX_SILENCE_LATENCIES * self._exchange.route.target_latency

    def _attempt_timeout(self) -> float:
        """Return how long to wait for this attempt, in seconds."""
        exchange = self._exchange
        is_repeatable = exchange.route.kind is RequestKind.REPEATABLE
        if not is_repeatable or self._possible_runs + 1 >= exchange.route.max_attempts:
            return float("inf")
        if not self._state.is_enabled(Mechanism.PATIENCE):
            return float("inf")
        timeout = self._max_silence_seconds
        # The time left is negative if the process was suspended since the arrival.
        return max(0.0, min(timeout, exchange.time_left / 2))

    def _record_failure(
        self, endpoint: Endpoint, error: AttemptFailedError, seconds: float
    ) -> None:
        self.outcomes.append(error.outcome)
        if error.outcome is AttemptOutcome.FAILED_ANSWER:
            log_failed_attempt(self._state, self._exchange, endpoint, error, seconds)
            self._failed_endpoints.append(endpoint)
            return
        record_failed_attempt(self._state, self._exchange, endpoint, error, seconds)
        record_refusal(self._state, endpoint, error)
