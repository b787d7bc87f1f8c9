"""The final answer after attempts of which none gave one."""

from __future__ import annotations

from collections.abc import Sequence
from http import HTTPStatus

import trio

from piershore.core.attempts.attempt_outcome import AttemptOutcome, final_status
from piershore.ingress.callers.exchange import Exchange
from piershore.ingress.exceptions import RequestRefusedError
from piershore.ingress.gateway_state import GatewayState

RESTED_SPREAD = (1.0, 1.25)
"""Parts of the time until the first endpoint has rested after which callers come back:
not all of them at its end."""


def final_refusal(
    state: GatewayState,
    exchange: Exchange,
    outcomes: Sequence[AttemptOutcome],
    come_back: float,
    *,
    timed_out: bool,
) -> RequestRefusedError:
    """Return what the caller is told.

    `come_back` is when, in seconds, one whose request has not run may find a place;
    `timed_out` tells that the request's time is over.
    """
    status = final_status(tuple(outcomes))
    if status is HTTPStatus.SERVICE_UNAVAILABLE:
        return _unrun(state, exchange, outcomes, come_back)
    code = "timed_out" if timed_out else "endpoint_failed"
    return RequestRefusedError(status, code, "the request may have run")


def _unrun(
    state: GatewayState,
    exchange: Exchange,
    outcomes: Sequence[AttemptOutcome],
    come_back: float,
) -> RequestRefusedError:
    """Return the refusal of a request that has not run, with when to come back."""
    status = HTTPStatus.SERVICE_UNAVAILABLE
    service = exchange.route.service_for(exchange.identity) or ""
    now = trio.current_time()
    left = state.placement.service_seconds_left(service, now)
    rate = state.placement.limited_rate(service)
    if left is not None and rate:
        return RequestRefusedError(
            status,
            "endpoints_limited",
            "all endpoints have got what they take",
            max(come_back, state.returns(service).book(left, rate, now)),
        )
    if left is not None:
        seconds = left * state.random.uniform(*RESTED_SPREAD)
        return RequestRefusedError(
            status,
            "endpoints_resting",
            "all endpoints have asked for rest",
            max(come_back, seconds),
        )
    code = "endpoints_refused" if outcomes else "no_endpoint"
    message = "no endpoint took the request"
    return RequestRefusedError(status, code, message, come_back)
