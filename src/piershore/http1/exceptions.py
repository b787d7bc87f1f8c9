"""Errors of HTTP exchanges."""

from __future__ import annotations

from http import HTTPStatus

from piershore.errors import PiershoreError


class BadRequestError(PiershoreError):
    """What the caller sent can't be taken as a request."""

    code = "malformed_request"

    def __init__(self, status: HTTPStatus, code: str, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.code = code


class NotConnectedError(PiershoreError):
    """No connection came up, so nothing was sent.

    `timed_out` when the other side said nothing, not even that it refuses.
    """

    code = "not_connected"

    def __init__(self, message: str, *, timed_out: bool = False) -> None:
        super().__init__(message)
        self.timed_out = timed_out


class ExchangeBrokenError(PiershoreError):
    """The exchange broke after at least a part of the request was sent."""

    code = "exchange_broken"
