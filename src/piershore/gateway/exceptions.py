"""Errors that end a request."""

from __future__ import annotations

from piershore.core.outcome import Outcome
from piershore.core.refusal_reason import RefusalReason
from piershore.errors import PiershoreError


class RequestRefusedError(PiershoreError):
    """The request is refused with this final answer.

    `retry_after` is in seconds. `findings` lists the problems found in an edit or a
    body. `from_owner` means that the owner of the request's key has determined the
    outcome.
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
        """The reason as a stable error code."""
        return self.reason.value


class LinkLostError(PiershoreError):
    """The link to the agent was lost.

    `was_sent` is true if the request may have been sent before.
    """

    code = "link_lost"

    def __init__(self, message: str, *, was_sent: bool) -> None:
        super().__init__(message)
        self.was_sent = was_sent
