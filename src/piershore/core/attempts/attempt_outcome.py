"""Outcomes of attempts at endpoints, and whether a retry may follow."""

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
"""Statuses that tell a caller that the request has not run. From an endpoint such a
status alone proves nothing: it must also say so explicitly."""

MAX_UNRUN_REFUSALS = 3
"""Endpoints that may refuse a request without running it before its caller is told to
retry later."""


class AttemptOutcome(StrEnum):
    """The outcome of one attempt, as far as the gateway knows.

    Only `NOT_SENT`, `REJECTED`, `HELD`, `RESTING` and `LIMITED` prove that the endpoint
    has not executed the request and never will. `HELD`: the request is quarantined and
    goes to no endpoint. `RESTING`: it was not sent, since the endpoint had meanwhile
    requested a backoff. `LIMITED`: it was not sent, since this gateway's quota of the
    endpoint's rate is used up. `RECALLED`: its connection was closed before an answer,
    since the request came into quarantine.
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
    RECALLED = "recalled"

    @property
    def proves_not_run(self) -> bool:
        """Whether the request has certainly not been executed."""
        return self in NOT_RUN_OUTCOMES


NOT_RUN_OUTCOMES = frozenset(
    {
        AttemptOutcome.NOT_SENT,
        AttemptOutcome.REJECTED,
        AttemptOutcome.HELD,
        AttemptOutcome.RESTING,
        AttemptOutcome.LIMITED,
    }
)


NOT_RETRIED_OUTCOMES = frozenset(
    {AttemptOutcome.ANSWERED, AttemptOutcome.HELD, AttemptOutcome.RECALLED}
)


def may_retry(kind: RequestKind, outcome: AttemptOutcome) -> bool:
    """Return whether the request may be sent to another endpoint afterwards."""
    if outcome in NOT_RETRIED_OUTCOMES:
        return False
    if outcome.proves_not_run:
        return True
    return kind is RequestKind.REPEATABLE


def final_status(outcomes: tuple[AttemptOutcome, ...]) -> HTTPStatus:
    """Return the status for the caller after all attempts, when none was answered.

    503 promises that the request has not run, so it is returned only if all attempts
    prove that.
    """
    if all(outcome.proves_not_run for outcome in outcomes):
        return HTTPStatus.SERVICE_UNAVAILABLE
    if AttemptOutcome.TIMED_OUT in outcomes:
        return HTTPStatus.GATEWAY_TIMEOUT
    return HTTPStatus.BAD_GATEWAY
