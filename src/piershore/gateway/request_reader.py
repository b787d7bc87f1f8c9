"""Reading and validation of HTTP requests, and authentication by bearer key."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TypeVar

import orjson
from quart import request

from piershore.core.configuration.codec import structure
from piershore.core.configuration.effective_account import EffectiveAccount
from piershore.core.configuration.exceptions import InvalidObjectError
from piershore.core.refusal_reason import RefusalReason
from piershore.gateway.account_directory import AccountDirectory, bearer_key
from piershore.gateway.exceptions import RequestRefusedError
from piershore.settings.process_settings import RequestSizeLimits

JSON_TYPE = "application/json"
MAX_DISCARDED_BODIES = 8

Body = TypeVar("Body")


class RequestReader:
    """Read and validate the current HTTP request, within size limits."""

    def __init__(self, caps: RequestSizeLimits, accounts: AccountDirectory) -> None:
        self._caps = caps
        self._accounts = accounts

    def check_headers(self) -> None:
        """Refuse the request if its headers exceed the size limit."""
        size = sum(len(name) + len(value) for name, value in request.headers)
        if size > self._caps.header_bytes:
            raise RequestRefusedError(
                RefusalReason.HEADER_TOO_LARGE,
                f"headers are larger than {self._caps.header_bytes} bytes",
            )

    def authenticate(self) -> EffectiveAccount:
        """Return the client account of the bearer key."""
        key = bearer_key(request.headers.get("Authorization"))
        account = self._accounts.authenticate(key) if key else None
        if account is None:
            raise RequestRefusedError(
                RefusalReason.UNAUTHENTICATED, "the bearer key is missing or unknown"
            )
        return account

    async def read_bytes(self) -> bytes:
        """Return the raw body; refuse the request if it is too large."""
        body = bytearray()
        async for chunk in request.body:
            body += chunk
            if len(body) > self._caps.body_bytes:
                raise RequestRefusedError(
                    RefusalReason.BODY_TOO_LARGE,
                    f"the body is larger than {self._caps.body_bytes} bytes",
                )
        return bytes(body)

    async def discard(self) -> bool:
        """Discard the rest of the body; return False if it is too large to be read.

        Unread data would keep the server from reading the connection's next request.
        """
        remaining_bytes = self._caps.body_bytes * MAX_DISCARDED_BODIES
        async for chunk in request.body:
            remaining_bytes -= len(chunk)
            if remaining_bytes < 0:
                return False
        return True

    async def read_json(self) -> object:
        """Return the parsed JSON body; refuse the request if it isn't valid JSON."""
        if request.mimetype != JSON_TYPE:
            raise RequestRefusedError(
                RefusalReason.WRONG_CONTENT_TYPE, f"the body must be {JSON_TYPE}"
            )
        try:
            data = orjson.loads(await self.read_bytes())
        except orjson.JSONDecodeError as error:
            raise RequestRefusedError(
                RefusalReason.MALFORMED_BODY, f"the body is not JSON: {error}"
            ) from error
        if any(size > self._caps.field_bytes for size in _text_sizes(data)):
            raise RequestRefusedError(
                RefusalReason.FIELD_TOO_LARGE,
                f"a field is larger than {self._caps.field_bytes} bytes",
            )
        return data

    async def read(self, target: type[Body]) -> Body:
        """Return the body as a `target`; refuse it with all validation errors."""
        data = await self.read_json()
        try:
            return structure(target, data)
        except InvalidObjectError as error:
            raise RequestRefusedError(
                RefusalReason.INVALID_FIELD, error.message, findings=error.findings
            ) from error


def _text_sizes(data: object) -> Iterator[int]:
    stack = [data]
    while stack:
        node = stack.pop()
        if isinstance(node, str):
            yield len(node)
        elif isinstance(node, dict):
            stack.extend(node.keys())
            stack.extend(node.values())
        elif isinstance(node, list):
            stack.extend(node)
