"""Errors that end a caller's request."""

from __future__ import annotations

from piershore.core.outcome import Outcome
from piershore.core.refusal_reason import RefusalReason
from piershore.errors import PiershoreError


class RequestRefusedError(PiershoreError):
    """The request gets this final answer; `retry_after` is in seconds.

    `from_owner` says that the owner of the request's key decided the outcome.
    """

    def __init__(
        self,
        reason: RefusalReason,
        message: str,
        outcome: Outcome = Outcome.NOT_RUN,
        retry_after: float | None = None,
        findings: tuple[str, ...] = (),
        *,
        from_owner: bool = False,
    ) -> None:
        super().__init__(message)
        self.from_owner = from_owner
        self.reason = reason
        self.outcome = outcome
        self.retry_after = retry_after
        self.findings = findings

    @property
    def code(self) -> str:
        """The reason as the stable code."""
        return self.reason.value


class LinkLostError(PiershoreError):
    """The link to the agent is gone; `was_sent` tells if the request left."""

    code = "link_lost"

    def __init__(self, message: str, *, was_sent: bool) -> None:
        super().__init__(message)
        self.was_sent = was_sent
