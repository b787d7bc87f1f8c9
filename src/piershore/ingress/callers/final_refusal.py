"""The refusal of a request that no attempt has answered."""

from __future__ import annotations

from collections.abc import Sequence
from http import HTTPStatus

import trio

from piershore.core.attempts.attempt_outcome import AttemptOutcome, final_status
from piershore.ingress.callers.exchange import Exchange
from piershore.ingress.exceptions import RequestRefusedError
from piershore.ingress.gateway_state import GatewayState

RETRY_JITTER = (1.0, 1.25)
"""Bounds of a random factor on the time until the first endpoint's backoff ends, so
that callers don't all retry at that moment."""


def final_refusal(
    state: GatewayState,
    exchange: Exchange,
    outcomes: Sequence[AttemptOutcome],
    retry_after: float,
    *,
    timed_out: bool,
) -> RequestRefusedError:
    """Return the refusal that the caller gets.

    `retry_after` is in how many seconds a request that has not run may be accepted;
    `timed_out` is whether the request's deadline has passed.
    """
    status = final_status(tuple(outcomes))
    if status is HTTPStatus.SERVICE_UNAVAILABLE:
        return _unrun_refusal(state, exchange, outcomes, retry_after)
    code = "timed_out" if timed_out else "endpoint_failed"
    return RequestRefusedError(status, code, "the request may have run")


def _unrun_refusal(
    state: GatewayState,
    exchange: Exchange,
    outcomes: Sequence[AttemptOutcome],
    retry_after: float,
) -> RequestRefusedError:
    """Return the refusal of a request that has not run, with when to retry."""
    status = HTTPStatus.SERVICE_UNAVAILABLE
    service = exchange.route.service_for(exchange.identity) or ""
    now = trio.current_time()
    seconds_left = state.seconds_until_any_available(service)
    rate = state.placement.limited_rate(service)
    if seconds_left is not None and rate:
        return RequestRefusedError(
            status,
            "endpoints_limited",
            "all endpoints have got what they take",
            max(
                retry_after,
                state.retry_schedule(service).reserve(seconds_left, rate, now),
            ),
        )
    if seconds_left is not None:
        seconds = seconds_left * state.random.uniform(*RETRY_JITTER)
        return RequestRefusedError(
            status,
            "endpoints_resting",
            "all endpoints have asked for rest",
            max(retry_after, seconds),
        )
    code = "endpoints_refused" if outcomes else "no_endpoint"
    message = "no endpoint took the request"
    return RequestRefusedError(status, code, message, retry_after)
