"""The gateway's side of a connection from a caller."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

import h11
import trio

from piershore.core.routes.client_limits import ClientLimits
from piershore.http1.exceptions import BadRequestError
from piershore.http1.message import Headers, RequestHead

RECEIVE_BYTES = 16_384
MAX_PIPELINED_BYTES = 65_536
"""Maximum bytes of later requests that are read while one is served."""
PIECE_BYTES = 65_536
"""Bytes of an answer that a caller must accept within the idle timeout."""
HEADER_SLACK_BYTES = 1_024
"""Added to the codec's limit, so that a head of exactly the limit is accepted."""

FramedHeaders = list[tuple[bytes, bytes]]


class ServerConnection:
    """Reads requests and writes answers, one request at a time.

    `limits` is called for each request, since the limits may change.
    """

    def __init__(
        self, stream: trio.SocketStream, limits: Callable[[], ClientLimits]
    ) -> None:
        self._stream = stream
        self._limits = limits
        self._connection = self._new_codec()
        self._pipelined_bytes = 0
        self._response_started = False
        self._has_request_bytes = False
        self.must_close = False

    @property
    def response_started(self) -> bool:
        """Whether sending the current answer has begun."""
        return self._response_started

    def has_unread_bytes(self) -> bool:
        """Return whether bytes of another request, or a close, have arrived."""
        data, closed = self._connection.trailing_data
        return bool(data) or closed or self._stream.socket.is_readable()

    async def next_request(self) -> RequestHead | None:
        """Read the next request's head; None if the caller closes or stays idle.

        Raise `BadRequestError` if the head is malformed, too large or too slow.
        """
        if not await self.wait_for_bytes():
            return None
        with trio.move_on_after(self._limits().header_timeout):
            return await self._read_head()
        raise BadRequestError(
            HTTPStatus.REQUEST_TIMEOUT, "header_timeout", "the head came too slowly"
        )

    async def wait_for_bytes(self) -> bool:
        """Wait for a request's first bytes; False if the caller closes or stays idle.

        If it is cancelled, no bytes have been consumed.
        """
        if self._has_request_bytes:
            return True
        with trio.move_on_after(self._limits().idle_timeout):
            self._has_request_bytes = await self._receive_first_bytes()
        return self._has_request_bytes

    async def read_body(self) -> bytes:
        """Read the whole body; raise `BadRequestError` if too large or too slow."""
        limits = self._limits()
        chunks: list[bytes] = []
        size = 0
        with trio.move_on_after(limits.idle_timeout):
            while True:
                if self._connection.they_are_waiting_for_100_continue:
                    await self._send(
                        h11.InformationalResponse(status_code=100, headers=[])
                    )
                event = await self._next_event()
                if isinstance(event, h11.EndOfMessage):
                    return b"".join(chunks)
                if isinstance(event, h11.ConnectionClosed):
                    raise trio.BrokenResourceError(
                        "the caller disconnected during its request"
                    )
                size += len(event.data)
                if size > limits.body_bytes:
                    raise self._body_too_large()
                chunks.append(bytes(event.data))
        raise BadRequestError(
            HTTPStatus.REQUEST_TIMEOUT, "body_timeout", "the body came too slowly"
        )

    async def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer.

        Raise `trio.BrokenResourceError` if the caller has closed the connection, or
        reads none of `PIECE_BYTES` within the idle timeout.
        """
        framed = [*headers, (b"content-length", str(len(body)).encode())]
        data = self._encode_head(status, framed)
        if body and self._connection.our_state is h11.SEND_BODY:
            data += self._connection.send(h11.Data(body))
        data += self._connection.send(h11.EndOfMessage())
        await self._send_in_pieces(data)

    async def start_stream(self, status: int, headers: Headers, data: bytes) -> None:
        """Send the head and the first chunk of an answer whose length isn't known."""
        framed = [*headers, (b"transfer-encoding", b"chunked")]
        encoded = self._encode_head(status, framed)
        if data:
            encoded += self._connection.send(h11.Data(data))
        await self._stream.send_all(encoded)

    async def send_chunk(self, data: bytes) -> None:
        """Send a chunk of an answer."""
        await self._send(h11.Data(data))

    async def finish(self) -> None:
        """Send the end of a chunked answer."""
        await self._send(h11.EndOfMessage())

    async def wait_closed(self) -> None:
        """Wait until the caller closes the connection; keep bytes of later requests.

        After `MAX_PIPELINED_BYTES`, nothing more is read and a close goes undetected.
        """
        while self._pipelined_bytes < MAX_PIPELINED_BYTES:
            data = await self._receive()
            if not data:
                return
            self._pipelined_bytes += len(data)
            self._connection.receive_data(data)
        await trio.sleep_forever()

    def prepare_next_request(self) -> bool:
        """Prepare for the next request; return False if the connection must close."""
        done = self._connection.our_state is h11.DONE
        if self.must_close or not done or self._connection.their_state is not h11.DONE:
            return False
        self._connection.start_next_cycle()
        self._pipelined_bytes = 0
        self._response_started = False
        self._has_request_bytes = False
        return True

    async def close(self) -> None:
        """Close immediately; bytes that were sent are still delivered."""
        await trio.aclose_forcefully(self._stream)

    async def close_gracefully(self) -> None:
        """Close for writing, then read until the caller closes.

        Closing with unread bytes would reset the connection and lose the answer.
        """
        with trio.move_on_after(0.5):
            try:
                await self._stream.send_eof()
                while await self._stream.receive_some(RECEIVE_BYTES):
                    continue
            except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
                pass  # The caller has closed the connection already.
        await self.close()

    def _new_codec(self) -> h11.Connection:
        size = self._limits().header_bytes + HEADER_SLACK_BYTES
        return h11.Connection(h11.SERVER, max_incomplete_event_size=size)

    async def _receive_first_bytes(self) -> bool:
        data, closed = self._connection.trailing_data
        if data:
            return True
        if closed:
            return False
        received = await self._receive()
        self._connection.receive_data(received)
        return bool(received)

    async def _read_head(self) -> RequestHead | None:
        event = await self._next_event()
        if isinstance(event, h11.ConnectionClosed):
            return None
        head = RequestHead(
            bytes(event.method),
            bytes(event.target),
            tuple((bytes(k), bytes(v)) for k, v in event.headers),
        )
        self._check(head)
        return head

    def _check(self, head: RequestHead) -> None:
        limits = self._limits()
        size = len(head.target) + sum(len(k) + len(v) + 4 for k, v in head.headers)
        if size > limits.header_bytes:
            raise BadRequestError(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                "header_too_large",
                f"the head may have {limits.header_bytes} bytes",
            )
        length = head.header(b"content-length")
        if length is not None and head.header(b"transfer-encoding") is not None:
            raise BadRequestError(
                HTTPStatus.BAD_REQUEST,
                "ambiguous_length",
                "a body has either a length or chunks",
            )
        if length is not None and int(length) > limits.body_bytes:
            raise self._body_too_large()

    def _body_too_large(self) -> BadRequestError:
        return BadRequestError(
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            "body_too_large",
            f"the body may have {self._limits().body_bytes} bytes",
        )

    async def _next_event(self) -> h11.Event:
        while True:
            try:
                event = self._connection.next_event()
            except h11.RemoteProtocolError as error:
                status = HTTPStatus(error.error_status_hint)
                raise BadRequestError(
                    status, "malformed_request", str(error)
                ) from error
            if event is not h11.NEED_DATA:
                return event
            self._connection.receive_data(await self._receive())

    async def _receive(self) -> bytes:
        try:
            return bytes(await self._stream.receive_some(RECEIVE_BYTES))
        except trio.BrokenResourceError:
            return b""

    def _encode_head(self, status: int, headers: FramedHeaders) -> bytes:
        if self.must_close:
            headers.append((b"connection", b"close"))
        self._response_started = True
        return self._connection.send(
            h11.Response(status_code=status, headers=headers, reason=_reason(status))
        )

    async def _send_in_pieces(self, data: bytes) -> None:
        for start in range(0, len(data), PIECE_BYTES):
            with trio.move_on_after(self._limits().idle_timeout) as scope:
                await self._stream.send_all(data[start : start + PIECE_BYTES])
            if scope.cancelled_caught:
                raise trio.BrokenResourceError("the caller doesn't read its answer")

    async def _send(self, event: h11.Event) -> None:
        await self._stream.send_all(self._connection.send(event))


def _reason(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b""
