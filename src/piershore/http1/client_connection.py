"""One connection to an endpoint or to another process."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from math import inf

import h11
import trio

from piershore.http1.exceptions import ExchangeBrokenError, NotConnectedError
from piershore.http1.message import RequestHead, ResponseHead

RECEIVE_BYTES = 65_536
LARGEST_HEAD_BYTES = 65_536
MOST_FOREIGN_ANSWERS = 4
"""Answers of earlier requests that are passed over before an answer."""

PROBE_SECONDS = 1
"""Idle time before a probe, and the wait for its answer: a connection that has gone
silent for good breaks after 2 s, when new ones may long work again. A call that was to
wait 4 s would otherwise wait 5.4 s; a lost probe costs one more connection."""
UNANSWERED_PROBES = 1

IsOwnAnswer = Callable[[ResponseHead], bool]
OnHead = Callable[[ResponseHead], None]


def any_answer(head: ResponseHead) -> bool:
    """Take the first answer that comes."""
    return True


def _ignore(head: ResponseHead) -> None:
    """Take no note of a head."""


class ClientConnection:
    """Sends a request at a time and reads its answer.

    `last_used` is the time of the last exchange's end, by trio's clock; `on_head` gets
    the head of each answer that was taken.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._connection = self._codec()
        self._head: RequestHead | None = None
        self._body = b""
        self._has_trailing = False
        self.last_used = trio.current_time()
        self.keep_alive: float | None = None
        self.on_head: OnHead = _ignore

    @classmethod
    async def open(
        cls, host: str, port: int, timeout: float, *, is_probed: bool = False
    ) -> ClientConnection:
        """Connect; raise `NotConnectedError` if that fails or takes too long.

        An idle connection that `is_probed` breaks when its peer can't be reached for
        `PROBE_SECONDS` and some more.
        """
        try:
            with trio.fail_after(timeout):
                connection = trio.socket.socket()
                try:
                    if is_probed:
                        _probe(connection)
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
        """Whether nothing came since the last answer, the peer's close included."""
        return not self._has_trailing and not self._stream.socket.is_readable()

    async def closes_within(self, seconds: float) -> bool:
        """Wait for the peer's close of a connection on which nothing was sent."""
        with trio.move_on_after(seconds):
            try:
                return not await self._receive()
            except ExchangeBrokenError:
                return True
        return False

    async def send(self, head: RequestHead, body: bytes) -> None:
        """Send a whole request; raise `ExchangeBrokenError` if that fails."""
        self._head, self._body = head, body
        try:
            await self._stream.send_all(self._encode())
        except (trio.BrokenResourceError, OSError) as error:
            raise ExchangeBrokenError("the connection broke while sending") from error

    async def read_head(self, is_own: IsOwnAnswer = any_answer) -> ResponseHead:
        """Read the head of the answer, passing over those of earlier requests."""
        for _ in range(MOST_FOREIGN_ANSWERS):
            head = await self._read_any_head()
            if is_own(head):
                self.on_head(head)
                return head
            await self._skip_answer()
        raise ExchangeBrokenError("only answers to other requests came")

    async def read_chunks(self, patience: float = inf) -> AsyncIterator[bytes]:
        """Yield the parts of the body; end only if it is whole.

        Raise `ExchangeBrokenError` if nothing comes for `patience` seconds.
        """
        while True:
            event = await self._next_event_within(patience)
            if isinstance(event, h11.EndOfMessage):
                return
            if isinstance(event, h11.ConnectionClosed):
                raise ExchangeBrokenError("the answer was cut short")
            yield bytes(event.data)

    async def read_body(self, patience: float = inf) -> bytes:
        """Read the whole body, with `patience` as for its parts."""
        return b"".join([part async for part in self.read_chunks(patience)])

    def end_exchange(self) -> bool:
        """Get ready for another request; False if the connection must close."""
        trailing, closed = self._connection.trailing_data
        self._has_trailing = bool(trailing) or closed
        if self._has_trailing or self._connection.states != {
            h11.CLIENT: h11.DONE,
            h11.SERVER: h11.DONE,
        }:
            return False
        self._connection.start_next_cycle()
        self.last_used = trio.current_time()
        return True

    async def close(self) -> None:
        """Close at once."""
        await trio.aclose_forcefully(self._stream)

    @staticmethod
    def _codec() -> h11.Connection:
        return h11.Connection(h11.CLIENT, max_incomplete_event_size=LARGEST_HEAD_BYTES)

    def _encode(self) -> bytes:
        head = self._head
        data = self._connection.send(
            h11.Request(method=head.method, target=head.target, headers=head.headers)
        )
        if self._body:
            data += self._connection.send(h11.Data(self._body))
        return data + self._connection.send(h11.EndOfMessage())

    async def _read_any_head(self) -> ResponseHead:
        while True:
            event = await self._next_event()
            if isinstance(event, h11.ConnectionClosed):
                raise ExchangeBrokenError("the connection was closed unanswered")
            if isinstance(event, h11.Response):
                break
        headers = tuple((bytes(k), bytes(v)) for k, v in event.headers)
        head = ResponseHead(event.status_code, headers)
        self._note_keep_alive(head)
        return head

    def _note_keep_alive(self, head: ResponseHead) -> None:
        value = head.header(b"keep-alive")
        if value is None:
            return
        for part in value.split(b","):
            name, _, seconds = part.strip().partition(b"=")
            if name.lower() == b"timeout" and seconds.isdigit():
                self.keep_alive = float(seconds)

    async def _skip_answer(self) -> None:
        """Read an answer to an earlier request; ours is still to come."""
        await self.read_body()
        trailing, closed = self._connection.trailing_data
        self._connection = self._codec()
        self._encode()
        if trailing:
            self._connection.receive_data(trailing)
        if closed:
            self._connection.receive_data(b"")

    async def _next_event_within(self, patience: float) -> h11.Event:
        if patience == inf:
            return await self._next_event()
        with trio.move_on_after(patience):
            return await self._next_event()
        raise ExchangeBrokenError(f"nothing came for {patience:g} s")

    async def _next_event(self) -> h11.Event:
        while True:
            try:
                event = self._connection.next_event()
            except h11.RemoteProtocolError as error:
                raise ExchangeBrokenError(f"no proper answer: {error}") from error
            if event is not h11.NEED_DATA:
                return event
            self._connection.receive_data(await self._receive())

    async def _receive(self) -> bytes:
        try:
            return bytes(await self._stream.receive_some(RECEIVE_BYTES))
        except (trio.BrokenResourceError, OSError) as error:
            raise ExchangeBrokenError("the connection was reset") from error


def _probe(connection: trio.socket.SocketType) -> None:
    """Let the kernel ask an idle peer whether it is there."""
    connection.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_KEEPALIVE, 1)
    for option, value in (
        (trio.socket.TCP_KEEPIDLE, PROBE_SECONDS),
        (trio.socket.TCP_KEEPINTVL, PROBE_SECONDS),
        (trio.socket.TCP_KEEPCNT, UNANSWERED_PROBES),
    ):
        connection.setsockopt(trio.socket.IPPROTO_TCP, option, value)
