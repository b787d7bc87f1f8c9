"""Accounting of attempts: log events, counters and the endpoint's health."""

from __future__ import annotations

import trio

from piershore.core.attempts.attempt_outcome import AttemptOutcome
from piershore.core.fleet.endpoint import Endpoint
from piershore.core.fleet.generation_work import GenerationWork
from piershore.core.fleet.placement import Candidate, PlacementDecision
from piershore.core.mechanism import Mechanism
from piershore.ingress.callers.exchange import Exchange
from piershore.ingress.exceptions import AttemptFailedError
from piershore.ingress.gateway_state import GatewayState
from piershore.telemetry import ingress_metrics
from piershore.telemetry.events import (
    AttemptEnded,
    AttemptStarted,
    EndpointEjected,
    EndpointView,
)

OUTCOMES_WITHOUT_ENDPOINT_FAULT = (
    AttemptOutcome.REJECTED,
    AttemptOutcome.HELD,
    AttemptOutcome.RESTING,
    AttemptOutcome.LIMITED,
    AttemptOutcome.RECALLED,
)
COST_DECIMAL_PLACES = 3
"""Decimal places of costs in log events; smaller differences only break ties."""
MAX_LOGGED_PARTS = 16
"""Parts of a prompt in one log event."""


def log_attempt(
    state: GatewayState,
    exchange: Exchange,
    decision: PlacementDecision,
    number: int,
    work: GenerationWork | None = None,
) -> None:
    """Log the choice of an endpoint with the values that it was based on."""
    size = work.size if work else None
    state.log.write(
        AttemptStarted(
            request=exchange.identity,
            endpoint=decision.endpoint.identity,
            route=exchange.route.name,
            account=exchange.account_name,
            content=exchange.content,
            attempt=number,
            cost=decision.best.cost,
            known_requests=decision.load.requests,
            known_tokens=decision.load.projected_tokens,
            config_version=exchange.configuration.version,
            prompt_tokens=size.prompt_tokens if size else 0,
            hinted_tokens=size.hinted_tokens if size else None,
            most_tokens=size.max_output_tokens if size else 0,
            expected_tokens=work.remaining_tokens if work else 0,
            view_age=decision.view_age,
            others=tuple(map(_endpoint_view, decision.others)),
            ejected=decision.ejected,
            resting=decision.resting,
            limited=decision.limited,
            slowness=_rounded(decision.best.slowness),
            parts=exchange.request.shared_parts[:MAX_LOGGED_PARTS],
        )
    )


def _rounded(slowness: float | None) -> float | None:
    return None if slowness is None else round(slowness, COST_DECIMAL_PLACES)


def record_failed_attempt(
    state: GatewayState,
    exchange: Exchange,
    endpoint: Endpoint,
    error: AttemptFailedError,
    seconds: float,
) -> None:
    """Log and count a failed attempt; record it against the endpoint if at fault."""
    log_failed_attempt(state, exchange, endpoint, error, seconds)
    if error.outcome not in OUTCOMES_WITHOUT_ENDPOINT_FAULT:
        record_endpoint_failure(state, endpoint)


def record_refusal(
    state: GatewayState, endpoint: Endpoint, error: AttemptFailedError
) -> None:
    """Eject an endpoint briefly if it rejected a new request."""
    if error.outcome is AttemptOutcome.REJECTED:
        now = trio.current_time()
        if state.health.record_refusal(endpoint.identity, now):
            log_ejection(state, endpoint, "refusals")


def record_endpoint_failure(state: GatewayState, endpoint: Endpoint) -> None:
    """Record a failure of an endpoint, which may eject it for a while."""
    now = trio.current_time()
    state.failures.record(endpoint.identity, now, failed=True)
    if state.health.record_failure(endpoint.identity, now):
        log_ejection(state, endpoint, "failures")
    state.announce_failure()
    eject_on_shared_failures(state, endpoint)


def eject_on_shared_failures(state: GatewayState, endpoint: Endpoint) -> None:
    """Eject an endpoint if the gateways together observe that it fails."""
    if not state.is_enabled(Mechanism.SHARED_FAILURES):
        return
    now = trio.current_time()
    if state.failures.is_failing(endpoint.identity, now) and state.health.eject(
        endpoint.identity, now
    ):
        log_ejection(state, endpoint, "failures at several gateways")


def log_failed_attempt(
    state: GatewayState,
    exchange: Exchange,
    endpoint: Endpoint,
    error: AttemptFailedError,
    seconds: float,
) -> None:
    """Log and count a failed attempt, without attributing it to the endpoint."""
    ingress_metrics.FAILED_ATTEMPTS.labels(error.outcome).inc()
    state.log.write(
        AttemptEnded(
            exchange.identity, endpoint.identity, error.outcome, error.message, seconds
        ),
        is_failure=True,
    )


def log_ejection(state: GatewayState, endpoint: Endpoint, reason: str) -> None:
    """Log that an endpoint is ejected: it gets no requests for a while."""
    rate = state.health.failure_rate(endpoint.identity)
    event = EndpointEjected(endpoint.identity, rate, reason)
    state.log.write(event, is_failure=True)


def _endpoint_view(candidate: Candidate) -> EndpointView:
    return EndpointView(
        candidate.endpoint.identity,
        round(candidate.cost, COST_DECIMAL_PLACES),
        candidate.load.requests,
        candidate.load.projected_tokens,
    )
