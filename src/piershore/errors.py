"""Base class of all errors with a code."""

from __future__ import annotations


class PiershoreError(Exception):
    """An error with a stable code that callers and operators can rely on.

    ``code`` is lower-case words joined by underscores.
    """

    code = "internal_error"

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.message = message
