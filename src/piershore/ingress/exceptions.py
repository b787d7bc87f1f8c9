"""Errors of the gateway."""

from __future__ import annotations

from piershore.core.attempts.attempt_outcome import AttemptOutcome
from piershore.errors import PiershoreError


class AttemptFailedError(PiershoreError):
    """An attempt yielded no answer that can be forwarded."""

    code = "attempt_failed"

    def __init__(self, outcome: AttemptOutcome, message: str) -> None:
        super().__init__(message)
        self.outcome = outcome


class RequestRefusedError(PiershoreError):
    """The gateway refuses a request with an answer of its own."""

    def __init__(
        self, status: int, code: str, message: str, retry_after: float | None = None
    ) -> None:
        super().__init__(message)
        self.status = status
        self.code = code
        self.retry_after = retry_after
