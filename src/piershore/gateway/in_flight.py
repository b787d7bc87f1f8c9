"""Count of the requests in progress, for a graceful shutdown."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

AsgiCallable = Callable[..., Awaitable[None]]


class InFlightRequests:
    """ASGI middleware that counts a request until its whole response is sent.

    Waiting for the server to close its connections would include idle ones, which
    callers may keep open for a long time.
    """

    def __init__(self, app: AsgiCallable) -> None:
        self._app = app
        self._count = 0
        self._changed = trio.Event()

    @property
    def count(self) -> int:
        """Number of requests in progress."""
        return self._count

    async def wait_until_idle(self) -> None:
        """Wait until no request is in progress."""
        while self._count:
            await self._changed.wait()

    async def __call__(
        self, scope: dict, receive: AsgiCallable, send: AsgiCallable
    ) -> None:
        """Serve one ASGI connection; count it if it is an HTTP request."""
        if scope["type"] != "http":
            await self._app(scope, receive, send)
            return
        self._count += 1
        try:
            await self._app(scope, receive, send)
        finally:
            self._count -= 1
            self._changed.set()
            self._changed = trio.Event()
