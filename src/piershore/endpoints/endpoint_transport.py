"""Transport of httpx over the connections that gateways use to endpoints.

httpx's own transport accepts answers that must not be passed on: part of a body whose
connection was reset while the request was still being sent, folded header lines, and
statuses that don't exist. Nor does it limit the size of an answer.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import contextmanager
from functools import partial
from math import inf

import httpx
import trio

from piershore.core.fleet.endpoint import Address
from piershore.http1.client_connection import ClientConnection, MAX_BODY_BYTES
from piershore.http1.connection_pool import ConnectionPool, MAX_IDLE_SECONDS
from piershore.http1.exceptions import ExchangeBrokenError, NotConnectedError
from piershore.http1.message import RequestHead, ResponseHead

DEFAULT_PORT = 80
MAX_IDLE_CONNECTIONS = 64
MAX_LINE_BYTES = 1_024 * 1_024
"""Maximum size of a line, which is buffered until it is complete."""

Release = Callable[..., Awaitable[None]]


class EndpointTransport(httpx.AsyncBaseTransport):
    """Makes each exchange with an endpoint over a pooled connection of its own."""

    def __init__(self, connect_seconds: float) -> None:
        self._pool = ConnectionPool(connect_seconds, MAX_IDLE_CONNECTIONS)

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send a request; return the answer, whose body is read later."""
        body = await request.aread()
        address = Address(request.url.host, request.url.port or DEFAULT_PORT)
        connection = await self._connect(address)
        head: ResponseHead | None = None
        try:
            with _httpx_errors():
                head = await _exchange_heads(connection, request, body)
        finally:
            if head is None:
                await self._release(address, connection, reusable=False)
        release = partial(self._release, address, connection)
        stream = _AnswerStream(connection, _timeout(request, "read"), release)
        return httpx.Response(head.status, headers=head.headers, stream=stream)

    async def aclose(self) -> None:
        """Close the idle connections."""
        await self._pool.close()

    async def read_whole(self, response: httpx.Response) -> bytes:
        """Read a whole body; raise `httpx.ReadError` if it is too large."""
        with _httpx_errors():
            chunks = response.aiter_bytes()
            return await self._pool.body_memory.join(chunks, MAX_BODY_BYTES)

    async def _connect(self, address: Address) -> ClientConnection:
        try:
            return await self._pool.acquire_at(address, MAX_IDLE_SECONDS)
        except NotConnectedError as error:
            if error.timed_out:
                raise httpx.ConnectTimeout(error.message) from error
            raise httpx.ConnectError(error.message) from error

    async def _release(
        self, address: Address, connection: ClientConnection, *, reusable: bool
    ) -> None:
        with trio.CancelScope(shield=True):
            await self._pool.release(address, connection, reusable=reusable)


class _AnswerStream(httpx.AsyncByteStream):
    """The body of one answer."""

    def __init__(
        self, connection: ClientConnection, timeout: float, release: Release
    ) -> None:
        self._connection = connection
        self._timeout = timeout
        self._release = release
        self._is_complete = False
        self._is_released = False

    async def __aiter__(self) -> AsyncIterator[bytes]:
        chunks = self._connection.read_chunks()
        while (chunk := await self._next_chunk(chunks)) is not None:
            yield chunk
        self._is_complete = True

    async def aclose(self) -> None:
        """Give the connection back."""
        if not self._is_released:
            self._is_released = True
            await self._release(reusable=self._is_complete)

    async def _next_chunk(self, chunks: AsyncIterator[bytes]) -> bytes | None:
        with _httpx_errors(), trio.fail_after(self._timeout):
            return await anext(chunks, None)


async def bounded_lines(response: httpx.Response) -> AsyncIterator[bytes]:
    """Yield the lines of an answer; raise `httpx.ReadError` if one is too long."""
    rest = bytearray()
    async for chunk in response.aiter_bytes():
        *ends, last = chunk.split(b"\n")
        for end in ends:
            yield bytes(rest + end)
            rest.clear()
        rest += last
        if len(rest) > MAX_LINE_BYTES:
            raise httpx.ReadError(f"a line has over {MAX_LINE_BYTES} bytes")
    if rest:
        yield bytes(rest)


async def _exchange_heads(
    connection: ClientConnection, request: httpx.Request, body: bytes
) -> ResponseHead:
    headers = tuple((name.lower(), value) for name, value in request.headers.raw)
    head = RequestHead(request.method.encode(), request.url.raw_path, headers)
    try:
        with trio.fail_after(_timeout(request, "write")):
            await connection.send(head, body)
    except ExchangeBrokenError:
        # The endpoint may have answered before it had read the whole body.
        pass
    with trio.fail_after(_timeout(request, "read")):
        return await connection.read_head()


@contextmanager
def _httpx_errors() -> Iterator[None]:
    """Raise the errors of httpx in place of those of a connection."""
    try:
        yield
    except ExchangeBrokenError as error:
        raise httpx.ReadError(error.message) from error
    except trio.TooSlowError as error:
        raise httpx.ReadTimeout("nothing was received in time") from error


def _timeout(request: httpx.Request, name: str) -> float:
    """Return a timeout of a request in seconds."""
    seconds = request.extensions.get("timeout", {}).get(name)
    return inf if seconds is None else seconds
