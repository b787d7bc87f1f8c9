"""Errors of HTTP exchanges."""

from __future__ import annotations

from http import HTTPStatus

from piershore.errors import PiershoreError


class BadRequestError(PiershoreError):
    """The caller sent a malformed request, or exceeded a limit."""

    code = "malformed_request"

    def __init__(self, status: HTTPStatus, code: str, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.code = code


class NotConnectedError(PiershoreError):
    """No connection could be opened, so nothing was sent.

    `timed_out` is true if the peer didn't respond at all, not even with a refusal.
    """

    code = "not_connected"

    def __init__(self, message: str, *, timed_out: bool = False) -> None:
        super().__init__(message)
        self.timed_out = timed_out


class ExchangeBrokenError(PiershoreError):
    """The exchange failed after at least part of the request may have been sent."""

    code = "exchange_broken"


class AnswerTooLargeError(ExchangeBrokenError):
    """The body of an answer is too large to be read as a whole."""

    code = "answer_too_large"
