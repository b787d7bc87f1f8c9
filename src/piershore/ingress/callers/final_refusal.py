"""The final answer after attempts of which none gave one."""

from __future__ import annotations

from collections.abc import Sequence
from http import HTTPStatus

from piershore.core.attempts.attempt_outcome import AttemptOutcome, final_status
from piershore.ingress.exceptions import RequestRefusedError


def final_refusal(
    outcomes: Sequence[AttemptOutcome], come_back: float, *, timed_out: bool
) -> RequestRefusedError:
    """Return what the caller is told.

    `come_back` is when, in seconds, one whose request has not run may find a place;
    `timed_out` tells that the request's time is over.
    """
    status = final_status(tuple(outcomes))
    if status is HTTPStatus.SERVICE_UNAVAILABLE:
        code = "endpoints_refused" if outcomes else "no_endpoint"
        return RequestRefusedError(
            status, code, "no endpoint took the request", come_back
        )
    code = "timed_out" if timed_out else "endpoint_failed"
    return RequestRefusedError(status, code, "the request may have run")
