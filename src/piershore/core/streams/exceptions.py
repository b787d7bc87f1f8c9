"""Errors of token streams."""

from __future__ import annotations

from piershore.errors import PiershoreError


class TokenGapError(PiershoreError):
    """The engine skipped tokens, so the stream can't continue in order."""

    code = "token_gap"


class WindowPassedError(PiershoreError):
    """The requested tokens are no longer kept."""

    code = "resume_window_passed"


class InvalidEventIdError(PiershoreError):
    """The event id wasn't created by this system."""

    code = "invalid_event_id"
