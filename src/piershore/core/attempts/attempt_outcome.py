"""How an attempt at an endpoint ended, and what that allows."""

from __future__ import annotations

from enum import StrEnum
from http import HTTPStatus

from piershore.core.routes.route import RequestKind

NOT_RUN_STATUSES = frozenset(
    {
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    }
)
"""Statuses that tell a caller that nothing ran; an endpoint that gives one without
saying so itself proves nothing."""

MOST_PROVEN_UNRUN = 3
"""Endpoints that may refuse a request unrun before its caller is told to come back."""


class AttemptOutcome(StrEnum):
    """What is known of one attempt.

    Only `NOT_SENT`, `REJECTED`, `HELD`, `RESTING` and `LIMITED` prove that the endpoint
    has not executed the request and never will. `HELD`: it goes to no endpoint, since
    some have crashed under it. `RESTING`: it was not sent, since its endpoint had asked
    for rest meanwhile; `LIMITED`: since this gateway has sent its part of what the
    endpoint takes.
    """

    NOT_SENT = "not_sent"
    REJECTED = "rejected"
    HELD = "held"
    RESTING = "resting"
    LIMITED = "limited"
    MAYBE_RUN = "maybe_run"
    ANSWERED = "answered"
    FAILED_ANSWER = "failed_answer"
    BROKEN_OFF = "broken_off"
    TIMED_OUT = "timed_out"

    @property
    def proves_not_run(self) -> bool:
        """Whether the request has certainly not been executed."""
        return self in PROOFS_OF_NO_RUN


PROOFS_OF_NO_RUN = frozenset(
    {
        AttemptOutcome.NOT_SENT,
        AttemptOutcome.REJECTED,
        AttemptOutcome.HELD,
        AttemptOutcome.RESTING,
        AttemptOutcome.LIMITED,
    }
)


def may_try_again(kind: RequestKind, outcome: AttemptOutcome) -> bool:
    """Tell whether another endpoint may get the request after this outcome."""
    if outcome in (AttemptOutcome.ANSWERED, AttemptOutcome.HELD):
        return False
    if outcome.proves_not_run:
        return True
    return kind is RequestKind.REPEATABLE


def final_status(outcomes: tuple[AttemptOutcome, ...]) -> HTTPStatus:
    """Return the status that is true after all attempts, when none answered.

    503 promises that the request has not run; it is given only if all attempts
    prove that.
    """
    if all(outcome.proves_not_run for outcome in outcomes):
        return HTTPStatus.SERVICE_UNAVAILABLE
    if AttemptOutcome.TIMED_OUT in outcomes:
        return HTTPStatus.GATEWAY_TIMEOUT
    return HTTPStatus.BAD_GATEWAY
