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
    """No connection came up, so nothing was sent."""

    code = "not_connected"


class ExchangeBrokenError(PiershoreError):
    """The exchange broke after at least a part of the request was sent."""

    code = "exchange_broken"
