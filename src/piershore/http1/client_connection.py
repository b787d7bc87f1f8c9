"""A client's connection to an endpoint or to another process."""

from __future__ import annotations

import re
from collections.abc import AsyncIterator, Callable
from math import inf

import h11
import trio

from piershore.http1.body_memory import BodyMemory
from piershore.http1.exceptions import ExchangeBrokenError, NotConnectedError
from piershore.http1.message import RequestHead, ResponseHead

RECEIVE_BYTES = 65_536
MAX_HEAD_BYTES = 65_536
MAX_BODY_BYTES = 16 * 1_024 * 1_024
"""Maximum size of an answer that is read as a whole. Without a limit, one endless
answer would take all the memory of a box, and with it all other requests."""
MAX_INTERIM_ANSWERS = 8
"""Number of interim answers (1xx) before the final one. Endless ones would take the
time of all other requests."""
VALID_STATUSES = range(200, 600)
"""Statuses of final answers (RFC 9110, 15)."""
SEND_RESULT_SECONDS = 0.1
"""Maximum wait for the result of a send that is under way when the peer closes: after a
reset it fails at once."""
FOLDED_LINE = re.compile(rb"\n[ \t]")
"""A header that goes on in a second line. A proxy must not forward it (RFC 9112, 5.2):
the line may belong to no header at all."""
MAX_FOREIGN_ANSWERS = 4
"""Number of answers to earlier requests after which the exchange fails."""

KEEPALIVE_PROBE_SECONDS = 1
"""Idle time before a TCP keepalive probe, and the wait for its answer. A dead
connection breaks after 2 s; by then new ones may have worked for a while. Without
probes, a call that should wait for 4 s would wait for 5.4 s. A lost probe only costs
one more connection."""
MAX_UNANSWERED_PROBES = 1

AnswerFilter = Callable[[ResponseHead], bool]
OnHead = Callable[[ResponseHead], None]


def accept_any_answer(head: ResponseHead) -> bool:
    """Accept the first answer that is received."""
    return True


def _ignore_head(head: ResponseHead) -> None:
    """Do nothing with a head."""


class ClientConnection:
    """Sends one request at a time and reads its answer.

    `last_used` is when the last exchange ended, by trio's clock. `keep_alive_seconds`
    is how long the server keeps an idle connection open; None if it doesn't say.
    `on_head` is called with the head of each accepted answer. `body_memory` is shared
    with other connections.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._connection = self._new_codec()
        self._head: RequestHead | None = None
        self._body = b""
        self._has_trailing_data = False
        self._head_bytes: bytearray | None = None
        self._send_ended = _ended_event()
        self._has_send_failed = False
        self.body_memory = BodyMemory()
        self.last_used = trio.current_time()
        self.keep_alive_seconds: float | None = None
        self.on_head: OnHead = _ignore_head

    @classmethod
    async def open(
        cls, host: str, port: int, timeout: float, *, with_keepalive: bool = False
    ) -> ClientConnection:
        """Connect; raise `NotConnectedError` if that fails or takes over `timeout` s.

        If `with_keepalive`, TCP keepalive breaks an idle connection whose peer has
        become unreachable (`KEEPALIVE_PROBE_SECONDS`).
        """
        try:
            with trio.fail_after(timeout):
                connection = trio.socket.socket()
                try:
                    if with_keepalive:
                        _enable_keepalive(connection)
                    await connection.connect((host, port))
                except BaseException:
                    connection.close()
                    raise
        except (OSError, trio.TooSlowError) as error:
            message = f"no connection to {host}:{port}"
            timed_out = isinstance(error, trio.TooSlowError)
            raise NotConnectedError(message, timed_out=timed_out) from error
        return cls(trio.SocketStream(connection))

    def is_clean(self) -> bool:
        """Return whether nothing, not even a close, followed the last answer."""
        return not self._has_trailing_data and not self.has_unread_bytes()

    def has_unread_bytes(self) -> bool:
        """Return whether bytes, or a close, have arrived that weren't read."""
        return self._stream.socket.is_readable()

    async def closes_within(self, seconds: float) -> bool:
        """Return whether the peer closes the connection within some seconds.

        Nothing may have been sent on the connection.
        """
        with trio.move_on_after(seconds):
            try:
                return not await self._receive()
            except ExchangeBrokenError:
                return True
        return False

    async def send(self, head: RequestHead, body: bytes) -> None:
        """Send a complete request; raise `ExchangeBrokenError` if that fails."""
        self._head, self._body = head, body
        self._send_ended = trio.Event()
        try:
            await self._stream.send_all(self._encode())
        except (trio.BrokenResourceError, OSError) as error:
            self._has_send_failed = True
            raise ExchangeBrokenError("the connection broke while sending") from error
        finally:
            self._send_ended.set()

    async def read_head(self, is_own: AnswerFilter = accept_any_answer) -> ResponseHead:
        """Read the head of the answer for which `is_own` is true, skipping others.

        The others are answers to earlier requests. Raise `ExchangeBrokenError` if the
        connection breaks or only such answers are received.
        """
        for _ in range(MAX_FOREIGN_ANSWERS):
            head = await self._read_any_head()
            if is_own(head):
                self.on_head(head)
                return head
            await self._skip_answer()
        raise ExchangeBrokenError("only answers to other requests were received")

    async def read_chunks(self, stall_timeout: float = inf) -> AsyncIterator[bytes]:
        """Yield the chunks of the body; return only once it is complete.

        Raise `ExchangeBrokenError` if the body is cut short, or nothing is received
        for `stall_timeout` seconds.
        """
        while True:
            event = await self._next_event_within(stall_timeout)
            if isinstance(event, h11.EndOfMessage):
                return
            if isinstance(event, h11.ConnectionClosed):
                raise ExchangeBrokenError("the answer was cut short")
            yield bytes(event.data)

    async def read_body(self) -> bytes:
        """Read the whole body.

        Raise `ExchangeBrokenError` if it is cut short, has over `MAX_BODY_BYTES`, or
        needs more memory than others leave.
        """
        return await self.body_memory.join(self.read_chunks(), MAX_BODY_BYTES)

    def end_exchange(self) -> bool:
        """Prepare for another request; return False if the connection must close."""
        trailing, closed = self._connection.trailing_data
        self._has_trailing_data = bool(trailing) or closed
        if self._has_trailing_data or self._connection.states != {
            h11.CLIENT: h11.DONE,
            h11.SERVER: h11.DONE,
        }:
            return False
        self._connection.start_next_cycle()
        self.last_used = trio.current_time()
        return True

    async def close(self) -> None:
        """Close the connection immediately."""
        await trio.aclose_forcefully(self._stream)

    @staticmethod
    def _new_codec() -> h11.Connection:
        return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)

    def _encode(self) -> bytes:
        head = self._head
        data = self._connection.send(
            h11.Request(method=head.method, target=head.target, headers=head.headers)
        )
        if self._body:
            data += self._connection.send(h11.Data(self._body))
        return data + self._connection.send(h11.EndOfMessage())

    async def _read_any_head(self) -> ResponseHead:
        self._head_bytes = bytearray(self._connection.trailing_data[0])
        try:
            for _ in range(MAX_INTERIM_ANSWERS + 1):
                event = await self._next_event()
                if isinstance(event, h11.ConnectionClosed):
                    message = "the connection was closed without an answer"
                    raise ExchangeBrokenError(message)
                self._check_lines()
                if isinstance(event, h11.Response):
                    return self._decode_head(event)
        finally:
            self._head_bytes = None
        raise ExchangeBrokenError("only interim answers were received")

    def _check_lines(self) -> None:
        """Check the head that was just read; the codec joins folded lines silently."""
        following = self._connection.trailing_data[0]
        end = len(self._head_bytes) - len(following)
        if FOLDED_LINE.search(self._head_bytes, 0, end):
            raise ExchangeBrokenError("no proper answer: a header has a folded line")
        self._head_bytes = bytearray(following)

    def _decode_head(self, event: h11.Response) -> ResponseHead:
        if event.status_code not in VALID_STATUSES:
            message = f"no proper answer: status {event.status_code}"
            raise ExchangeBrokenError(message)
        headers = tuple((bytes(k), bytes(v)) for k, v in event.headers)
        head = ResponseHead(event.status_code, headers)
        self._record_keep_alive(head)
        return head

    def _record_keep_alive(self, head: ResponseHead) -> None:
        value = head.header(b"keep-alive")
        if value is None:
            return
        for part in value.split(b","):
            name, _, seconds = part.strip().partition(b"=")
            if name.lower() == b"timeout" and seconds.isdigit():
                self.keep_alive_seconds = float(seconds)

    async def _skip_answer(self) -> None:
        """Read the rest of an answer to an earlier request, and start over."""
        await self.read_body()
        trailing, closed = self._connection.trailing_data
        self._connection = self._new_codec()
        self._encode()
        if trailing:
            self._connection.receive_data(trailing)
        if closed:
            self._connection.receive_data(b"")

    async def _next_event_within(self, stall_timeout: float) -> h11.Event:
        if stall_timeout == inf:
            return await self._next_event()
        with trio.move_on_after(stall_timeout):
            return await self._next_event()
        raise ExchangeBrokenError(f"nothing came for {stall_timeout:g} s")

    async def _next_event(self) -> h11.Event:
        while True:
            try:
                event = self._connection.next_event()
            except h11.RemoteProtocolError as error:
                raise ExchangeBrokenError(f"no proper answer: {error}") from error
            if event is not h11.NEED_DATA:
                return event
            data = await self._receive()
            if self._head_bytes is not None:
                self._head_bytes += data
            self._connection.receive_data(data)

    async def _receive(self) -> bytes:
        try:
            data = bytes(await self._stream.receive_some(RECEIVE_BYTES))
        except (trio.BrokenResourceError, OSError) as error:
            raise ExchangeBrokenError("the connection was reset") from error
        if not data:
            await self._check_close()
        return data

    async def _check_close(self) -> None:
        """Raise `ExchangeBrokenError` if the connection was reset and not closed.

        The kernel reports a reset once: if a send gets the error, the connection looks
        closed to whoever reads from it, and an answer without a length complete.
        """
        with trio.move_on_after(SEND_RESULT_SECONDS):
            await self._send_ended.wait()
        if self._has_send_failed:
            raise ExchangeBrokenError("the connection was reset")


def _ended_event() -> trio.Event:
    """Return the event of a send that has ended."""
    event = trio.Event()
    event.set()
    return event


def _enable_keepalive(connection: trio.socket.SocketType) -> None:
    """Let the kernel probe the peer of an idle connection (TCP keepalive)."""
    connection.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_KEEPALIVE, 1)
    for option, value in (
        (trio.socket.TCP_KEEPIDLE, KEEPALIVE_PROBE_SECONDS),
        (trio.socket.TCP_KEEPINTVL, KEEPALIVE_PROBE_SECONDS),
        (trio.socket.TCP_KEEPCNT, MAX_UNANSWERED_PROBES),
    ):
        connection.setsockopt(trio.socket.IPPROTO_TCP, option, value)
