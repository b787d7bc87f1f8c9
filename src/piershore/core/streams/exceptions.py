"""Errors of token streams."""

from __future__ import annotations

from piershore.errors import PiershoreError


class TokenGapError(PiershoreError):
    """The engine skipped tokens, so the stream can't go on in order."""

    code = "token_gap"


class WindowPassedError(PiershoreError):
    """The tokens asked for aren't kept any more."""

    code = "resume_window_passed"


class InvalidEventIdError(PiershoreError):
    """The event id wasn't made by this system."""

    code = "invalid_event_id"
