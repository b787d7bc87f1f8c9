"""Endpoints as the users publish them: plain services and engines, with faults."""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum
from math import inf

import h11
import orjson
import trio

TOKENS_AN_EVENT = 4
SEND_BUFFER = 16_384
"""Bytes of an answer that the kernel holds for an endpoint, and doubles: few, so that
what has left an endpoint is held by others."""
PACE_SECONDS = 0.01
SLOW_SECONDS = 1.2
"""How long a slow answer takes."""
BODY = b'{"from":"%s","request":"%s"}'
CRASHING_BODY = b"crash whoever runs this"
"""What the body of a request under which endpoints crash begins with."""
CRASH_SECONDS = 0.02
"""From the begin of such a run to the crash; 0.07 to 0.2 s were seen at engines."""
PART_CRASH_SECONDS = 0.1
"""From the begin of a run with a crashing part to the crash."""


class CrashPoint(Enum):
    """How much of its answer an engine has sent when a part crashes it."""

    BEFORE_HEAD = "before the head"
    AFTER_HEAD = "after the head"
    INSIDE_EVENT = "inside an event"
    AFTER_EVENT = "after an event"


class Silence(Enum):
    """Why no event comes from an engine, though its connections stay open.

    `PAUSED`: it makes none for now. `EVENTS_LOST`: it makes them and doesn't send
    them. `GONE`: it doesn't answer anything any more.
    """

    PAUSED = "paused"
    EVENTS_LOST = "events lost"
    GONE = "gone"


Fault = Callable[["PublishedEndpoint", "Arrival"], Awaitable[bool]]
FAULTS: dict[str, Fault] = {}
EARLY_FAULTS: set[str] = set()


def fault(name: str, *, is_early: bool = False) -> Callable[[Fault], Fault]:
    """Register what an endpoint does instead of answering well.

    If it `is_early`, the endpoint does it before it reads the request's body.
    """

    def register(function: Fault) -> Fault:
        FAULTS[name] = function
        if is_early:
            EARLY_FAULTS.add(name)
        return function

    return register


class Arrival:
    """A request that reached an endpoint, and its connection."""

    def __init__(self, stream, connection, request: h11.Request, body: bytes) -> None:
        self.stream = stream
        self.connection = connection
        self.request = request
        self.headers = {k.decode(): v.decode() for k, v in request.headers}
        self.body = body
        self.at = trio.current_time()

    @property
    def identity(self) -> str:
        """The caller's id of the request."""
        return self.headers.get("attempt-id", "")


@dataclass(frozen=True)
class AskedRest:
    """A request that was turned away, and for how many seconds of rest with it."""

    identity: str
    at: float
    seconds: float


@dataclass(frozen=True)
class NamedRate:
    """The answer to a request named a rate."""

    identity: str
    at: float
    rate: str


@dataclass(eq=False)
class EngineRun:
    """One generation at an engine.

    Times are of trio's clock; `ended_at` is infinite while it runs. `is_continued` is
    whether it goes on from a copy or after an event.
    """

    identity: str
    began_at: float
    is_continued: bool
    ended_at: float = inf

    def is_running_at(self, moment: float) -> bool:
        """Whether the engine worked on it then."""
        return self.began_at <= moment < self.ended_at


class EngineMemory:
    """Copies of generations by `HOST:PORT/NAME`: where each lies."""

    def __init__(self) -> None:
        self.copies: dict[str, str] = {}
        self.used: set[str] = set()


class PublishedEndpoint:
    """One endpoint; `runs` counts what it executed, by request.

    One that `tells_leaving` says in all its answers that it leaves, whatever its entry
    says. Until `sheds_until` it turns requests away, and asks for `rest` seconds with
    it if that is given; `rests` are those that it asked for. `rate_limit` is the value
    that all its answers name as its rate; `named` are the times of those. After a crash
    its port takes connections for `lingers_seconds`, or closes them. It cuts off a
    stream that remains unread for `unread_seconds`. Unless it `reads_bodies`, it reads
    no more of a request than its head. A stream whose prompt has one of the
    `crashing_parts`, other than as its last part, crashes it at `crash_point`. If it
    `ends_with_connection`, its streams have neither length nor chunks. Unless it
    `drops_closed`, it works on a stream whose connection has closed. If it
    `resets_continued`, it closes the connection of a stream that goes on here, and runs
    it. The first `busy_stops` moves that stop a run are answered 409, and one takes
    effect after `stop_delay_seconds`.
    """

    def __init__(
        self, identity: str, service: str, memory: EngineMemory, faults=()
    ) -> None:
        self.identity = identity
        self.service = service
        self.faults = list(faults)
        self.runs: Counter[str] = Counter()
        self.continued: Counter[str] = Counter()
        self.arrivals: list[Arrival] = []
        self.crashing_body: bytes | None = CRASHING_BODY
        self.crashed_at: float | None = None
        self.closes_new = False
        self.lingers_seconds = 0.0
        self.closes_lingering = False
        self.connections = 0
        self.open_streams = 0
        self.reports = 0
        self.state = "ready"
        self.data_hall = "ikeja"
        self.born: int | None = None
        self.tells_leaving = False
        self.rate_limit: str | None = None
        self.named: list[NamedRate] = []
        self.sheds_until = 0.0
        self.rest: float | None = None
        self.rests: list[AskedRest] = []
        self.cold_milliseconds = 0
        self.move_seconds = 0.02
        self.move_answer: bytes | None = None
        self.moves_refused_until = 0.0
        self.stop_answer_seconds = 0.0
        self.pace = PACE_SECONDS
        self.padding = b""
        self.answer_bytes = 0
        self.unread_seconds = float("inf")
        self.reads_bodies = True
        self.silence: Silence | None = None
        self.crashing_parts: frozenset[str] = frozenset()
        self.crash_point = CrashPoint.BEFORE_HEAD
        self.ends_with_connection = False
        self.drops_closed = True
        self.resets_continued = False
        self.busy_stops = 0
        self.stop_delay_seconds = 0.0
        self.made: dict[str, int] = {}
        self.engine_runs: list[EngineRun] = []
        self._memory = memory
        self._running: dict[str, trio.CancelScope] = {}
        self._open: dict[str, trio.SocketStream] = {}
        self._skipped: set[str] = set()
        self._scope = trio.CancelScope()
        self.port = 0
        self.listed_as = lambda: self.address

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"127.0.0.1:{self.port}"

    def entry(self, state: str = "ready") -> dict:
        """Return what it writes of itself into the store."""
        entry = {
            "service": self.service,
            "address": self.listed_as(),
            "zone": self.data_hall,
            "version": "v1",
            "slots": 6,
            "state": state,
            "cold_remaining_ms": self.cold_milliseconds,
            "sequence": 1,
        }
        return entry if self.born is None else {**entry, "born": self.born}

    def start_anew(self, born: int) -> None:
        """Begin a new incarnation that knows nothing of the one before.

        Streams under way fall silent: their ends are lost behind a cut.
        """
        self.born = born
        self.made.clear()
        self.silence = Silence.PAUSED

    async def reset_streams(self) -> None:
        """Close the connections of all streams, as a reset does."""
        for stream in list(self._open.values()):
            await trio.aclose_forcefully(stream)

    def skip_event(self) -> None:
        """Leave out the next event of each stream."""
        self._skipped.update(self._open)

    def crash(self) -> None:
        """Close all connections and stop listening."""
        self._scope.cancel()

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled or crashed."""
        with self._scope:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            self.port = listeners[0].socket.getsockname()[1]
            task_status.started()
            await trio.serve_listeners(self._serve_one, listeners)

    async def _serve_one(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        stream.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_SNDBUF, SEND_BUFFER)
        if self.closes_new:
            await trio.aclose_forcefully(stream)
            return
        connection = h11.Connection(h11.SERVER)
        try:
            while await self._exchange(stream, connection):
                connection.start_next_cycle()
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
            pass
        finally:
            await trio.aclose_forcefully(stream)

    async def _exchange(self, stream, connection) -> bool:
        arrival = await self._read(stream, connection)
        if arrival is None:
            return False
        target = arrival.request.target
        if target == b"/kv-move":
            await self._move(arrival)
        elif target == b"/report":
            await self._report(arrival)
        elif target.startswith(b"/kv-handle/"):
            await self.respond(arrival, 200, b"{}")
        else:
            self.arrivals.append(arrival)
            if not await self._serve_request(arrival):
                return False
        return connection.our_state is h11.DONE and not self.ends_with_connection

    async def _read(self, stream, connection) -> Arrival | None:
        request, body = None, b""
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await stream.receive_some(65_536))
            elif isinstance(event, h11.Request):
                request = event
                if not self.reads_bodies:
                    await trio.sleep_forever()
                if self.faults and self.faults[0] in EARLY_FAULTS:
                    return Arrival(stream, connection, request, b"")
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                return Arrival(stream, connection, request, body)
            else:
                return None

    async def _serve_request(self, arrival: Arrival) -> bool:
        if arrival.headers.get("expected-instance") != self.identity:
            await self.respond(arrival, 421, b"", seal=False)
            return True
        if trio.current_time() < self.sheds_until:
            await self._shed(arrival)
            return True
        name = self.faults.pop(0) if self.faults else ""
        if name:
            return await FAULTS[name](self, arrival)
        if self.resets_continued and "kv-from" in arrival.headers:
            await self._reset_and_run(arrival)
            return False
        if self.crashing_body and arrival.body.startswith(self.crashing_body):
            await self._crash_under(arrival)
            return False
        if self.crashing_parts.intersection(shared_parts(arrival)):
            await self._crash_under_part(arrival)
            return False
        if "token-usage" in arrival.headers:
            await self._stream(arrival)
            return True
        self.note_run(arrival)
        await self.respond(arrival, 200, self.body(arrival))
        return True

    async def _shed(self, arrival: Arrival) -> None:
        """Turn a request away."""
        extra = [("Not-Executed", "1")]
        if self.rest is not None:
            extra.append(("Retry-After", f"{self.rest:g}"))
            now = trio.current_time()
            self.rests.append(AskedRest(arrival.identity, now, self.rest))
        await self.respond(arrival, 503, b"", *extra, seal=False)

    async def _crash_under(self, arrival: Arrival) -> None:
        """Begin to run a request, and crash with all else that runs here."""
        self.note_run(arrival)
        await trio.sleep(CRASH_SECONDS)
        self.crashed_at = trio.current_time()
        if self.lingers_seconds:
            self.closes_new = self.closes_lingering
            await trio.aclose_forcefully(arrival.stream)
            await trio.sleep(self.lingers_seconds)
        self.crash()

    async def _crash_under_part(self, arrival: Arrival) -> None:
        """Begin to answer a request, and crash with all else that runs here."""
        self.note_run(arrival)
        if self.crash_point is not CrashPoint.BEFORE_HEAD:
            await arrival.stream.send_all(self._stream_head(arrival))
            data = _CRASHED_EVENTS[self.crash_point]
            if data and not self.ends_with_connection:
                data = arrival.connection.send(h11.Data(data))
            await arrival.stream.send_all(data)
        await trio.sleep(PART_CRASH_SECONDS)
        self.crashed_at = trio.current_time()
        self.crash()

    def _stream_head(self, arrival: Arrival) -> bytes:
        """Return the head of a stream, chunked or ended by its connection."""
        headers = self.head(arrival, ("Content-Type", "text/event-stream"))
        if self.ends_with_connection:
            return encode_plain_head(headers)
        headers.append(("Transfer-Encoding", "chunked"))
        return arrival.connection.send(h11.Response(status_code=200, headers=headers))

    def note_run(self, arrival: Arrival) -> None:
        """Count a run; one that goes on from a copy is the same run."""
        counter = self.continued if "kv-from" in arrival.headers else self.runs
        counter[arrival.identity] += 1

    def body(self, arrival: Arrival) -> bytes:
        """Return the answer's body."""
        body = BODY % (self.identity.encode(), arrival.identity.encode())
        return body.ljust(self.answer_bytes)

    def head(self, arrival: Arrival, *extra, seal: bool = True) -> list:
        """Return the headers of an answer."""
        headers = [("Attempt-Id", arrival.identity), ("Instance-Id", self.identity)]
        if seal:
            headers.append(("Response-Seal", f"seal.{arrival.identity}"))
        if self.tells_leaving:
            headers.append(("Server-Leaving", "1"))
        if self.rate_limit is not None:
            headers.append(("Server-Limit", self.rate_limit))
            named = NamedRate(arrival.identity, trio.current_time(), self.rate_limit)
            self.named.append(named)
        return [*headers, *extra]

    async def respond(
        self, arrival: Arrival, status: int, body: bytes, *extra, seal: bool = True
    ) -> None:
        """Send a whole answer."""
        length = ("Content-Length", str(len(body)))
        headers = self.head(arrival, length, *extra, seal=seal)
        response = h11.Response(status_code=status, headers=headers)
        data = arrival.connection.send(response)
        data += arrival.connection.send(h11.Data(body))
        data += arrival.connection.send(h11.EndOfMessage())
        await arrival.stream.send_all(data)

    async def _stream(self, arrival: Arrival) -> None:
        most = int(arrival.headers["token-usage"].split(",")[1]) // TOKENS_AN_EVENT
        first = int(arrival.headers.get("last-event-id", "0")) + 1
        came_from = arrival.headers.get("kv-from")
        if came_from is not None and not self._take_copy(came_from):
            await self.respond(arrival, 503, b"", ("Not-Executed", "1"))
            return
        self.note_run(arrival)
        if (backup := arrival.headers.get("kv-backup")) is not None:
            self._memory.copies[f"{backup}/{arrival.identity}"] = backup
        await self._run_engine(arrival, first, most)

    async def _run_engine(self, arrival: Arrival, first: int, most: int) -> None:
        """Run a generation until it is complete, stopped or dropped."""
        identity = arrival.identity
        is_continued = not {"kv-from", "last-event-id"}.isdisjoint(arrival.headers)
        run = EngineRun(identity, trio.current_time(), is_continued)
        self.engine_runs.append(run)
        self.open_streams += 1
        self._open[identity] = arrival.stream
        try:
            with trio.CancelScope() as scope:
                self._running[identity] = scope
                await self._send_events(arrival, first, most)
        finally:
            run.ended_at = trio.current_time()
            self.open_streams -= 1
            self._running.pop(identity, None)
            self._open.pop(identity, None)
            self.made.pop(identity, None)
        if scope.cancelled_caught:
            raise trio.BrokenResourceError("stopped for a move")

    async def _send_events(self, arrival: Arrival, first: int, most: int) -> None:
        connection, stream = arrival.connection, arrival.stream
        data = self._stream_head(arrival)
        for number in range(first, most + 1):
            text = b"token-%d%s" % (number, self.padding)
            event = b"id: %d\ndata: %s\n\n" % (number, text)
            while self.silence in (Silence.PAUSED, Silence.GONE):
                await trio.sleep(self.pace)
            self.made[arrival.identity] = number
            if arrival.identity in self._skipped:
                self._skipped.discard(arrival.identity)
            elif self.ends_with_connection:
                data += event
            else:
                data += connection.send(h11.Data(event))
            if self.silence is not Silence.EVENTS_LOST:
                if not await self._send_event(stream, data):
                    await trio.sleep(self.pace * (most - number))
                    return
                data = b""
            await trio.sleep(self.pace)
        if not self.ends_with_connection:
            data += connection.send(h11.EndOfMessage())
        await stream.send_all(data)
        if self.ends_with_connection:
            await stream.send_eof()

    async def _send_event(self, stream, data: bytes) -> bool:
        """Send data; return False if the connection is closed and the run works on.

        Cut the connection if the data remain unread for too long.
        """
        try:
            with trio.move_on_after(self.unread_seconds) as scope:
                await stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            if self.drops_closed:
                raise
            return False
        if scope.cancelled_caught:
            raise trio.BrokenResourceError("the answer remains unread")
        return True

    async def _reset_and_run(self, arrival: Arrival) -> None:
        """Close the connection of a stream that goes on here, and run it."""
        self._take_copy(arrival.headers["kv-from"])
        self.note_run(arrival)
        await trio.aclose_forcefully(arrival.stream)
        most = int(arrival.headers["token-usage"].split(",")[1]) // TOKENS_AN_EVENT
        first = int(arrival.headers.get("last-event-id", "0")) + 1
        await self._run_engine(arrival, first, most)

    def _take_copy(self, name: str) -> bool:
        holder = self._memory.copies.get(name)
        if holder != self.listed_as() or name in self._memory.used:
            return False
        self._memory.used.add(name)
        return True

    async def _report(self, arrival: Arrival) -> None:
        self.reports += 1
        if self.silence is Silence.GONE:
            await trio.sleep_forever()
        runs = [[identity, 0, made, 5] for identity, made in self.made.items()]
        report = {"state": self.state, "runs": runs, "born": self.born or 0}
        await self.respond(arrival, 200, orjson.dumps(report), seal=False)

    async def _move(self, arrival: Arrival) -> None:
        order = orjson.loads(arrival.body)
        if order["last"]:
            await trio.sleep(self.stop_delay_seconds)
        scope = self._running.get(order["id"])
        if scope is None:
            await self.respond(arrival, 404, b"{}")
            return
        if trio.current_time() < self.moves_refused_until:
            await self.respond(arrival, 503, b"{}")
            return
        if order["last"] and self.busy_stops:
            self.busy_stops -= 1
            await self.respond(arrival, 409, b"{}")
            return
        if order["last"]:
            scope.cancel()
            await trio.sleep(self.stop_answer_seconds)
        await trio.sleep(self.move_seconds)
        handle = f"h-{order['id']}"
        self._memory.copies[f"{self.listed_as()}/{handle}"] = order["target_version"]
        answer = orjson.dumps({"handle": handle, "made": 1})
        await self.respond(arrival, 200, self.move_answer or answer)


@fault("fails")
async def _fails(endpoint: PublishedEndpoint, arrival: Arrival) -> bool:
    endpoint.note_run(arrival)
    await endpoint.respond(arrival, 500, b"failed")
    return True


@fault("not run")
async def _not_run(endpoint: PublishedEndpoint, arrival: Arrival) -> bool:
    await endpoint.respond(arrival, 503, b"", ("Not-Executed", "1"), seal=False)
    return True


@fault("503 without proof")
async def _unproven(endpoint: PublishedEndpoint, arrival: Arrival) -> bool:
    endpoint.note_run(arrival)
    await endpoint.respond(arrival, 503, b"", seal=False)
    return True


@fault("reset")
async def _reset(endpoint: PublishedEndpoint, arrival: Arrival) -> bool:
    endpoint.note_run(arrival)
    return False


@fault("silent")
async def _silent(endpoint: PublishedEndpoint, arrival: Arrival) -> bool:
    endpoint.note_run(arrival)
    await trio.sleep(30)
    return False


@fault("garbage")
async def _garbage(endpoint: PublishedEndpoint, arrival: Arrival) -> bool:
    endpoint.note_run(arrival)
    await arrival.stream.send_all(b"\x00\x01 not an answer\r\n\r\n")
    return False


@fault("no seal")
async def _no_seal(endpoint: PublishedEndpoint, arrival: Arrival) -> bool:
    endpoint.note_run(arrival)
    await endpoint.respond(arrival, 200, endpoint.body(arrival), seal=False)
    return True


@fault("encoded")
async def _encoded(endpoint: PublishedEndpoint, arrival: Arrival) -> bool:
    endpoint.note_run(arrival)
    encoding = ("Content-Encoding", "gzip")
    await endpoint.respond(arrival, 200, b"zipped", encoding)
    return True


@fault("short body")
async def _short(endpoint: PublishedEndpoint, arrival: Arrival) -> bool:
    endpoint.note_run(arrival)
    headers = endpoint.head(arrival, ("Content-Length", "100"))
    data = arrival.connection.send(h11.Response(status_code=200, headers=headers))
    await arrival.stream.send_all(data + b"only this")
    return False


@fault("surplus answer")
async def _surplus(endpoint: PublishedEndpoint, arrival: Arrival) -> bool:
    endpoint.note_run(arrival)
    await endpoint.respond(arrival, 200, endpoint.body(arrival))
    await arrival.stream.send_all(_foreign(endpoint))
    return True


@fault("late foreign answer")
async def _foreign_first(endpoint: PublishedEndpoint, arrival: Arrival) -> bool:
    endpoint.note_run(arrival)
    await arrival.stream.send_all(_foreign(endpoint))
    await endpoint.respond(arrival, 200, endpoint.body(arrival))
    return True


@fault("unframed")
async def _unframed(endpoint: PublishedEndpoint, arrival: Arrival) -> bool:
    endpoint.note_run(arrival)
    await arrival.stream.send_all(_plain_head(endpoint, arrival))
    await arrival.stream.send_all(endpoint.body(arrival))
    await arrival.stream.send_eof()
    return False


@fault("unframed as it ends")
async def _unframed_end(endpoint: PublishedEndpoint, arrival: Arrival) -> bool:
    endpoint.note_run(arrival)
    await arrival.stream.send_all(_plain_head(endpoint, arrival))
    await arrival.stream.send_all(endpoint.body(arrival)[:10])
    await trio.sleep(SLOW_SECONDS)
    endpoint.crash()
    return False


@fault("unframed and reset")
async def _unframed_reset(endpoint: PublishedEndpoint, arrival: Arrival) -> bool:
    endpoint.note_run(arrival)
    await arrival.stream.send_all(_plain_head(endpoint, arrival) + b"half")
    linger_none = b"\x01\x00\x00\x00\x00\x00\x00\x00"
    option = trio.socket.SO_LINGER
    arrival.stream.socket.setsockopt(trio.socket.SOL_SOCKET, option, linger_none)
    return False


@fault("early", is_early=True)
async def _early(endpoint: PublishedEndpoint, arrival: Arrival) -> bool:
    data = b"HTTP/1.1 413 Too Large\r\nAttempt-Id: %s\r\nContent-Length: 0\r\n\r\n"
    await arrival.stream.send_all(data % arrival.identity.encode())
    await trio.sleep(0.2)
    return False


@fault("breaks inside an event")
async def _half_event(endpoint: PublishedEndpoint, arrival: Arrival) -> bool:
    endpoint.note_run(arrival)
    headers = endpoint.head(arrival, ("Transfer-Encoding", "chunked"))
    data = arrival.connection.send(h11.Response(status_code=200, headers=headers))
    whole = b"id: 1\ndata: token-1\n\nid: 2\ndata: tok"
    await arrival.stream.send_all(data + arrival.connection.send(h11.Data(whole)))
    await trio.sleep(0.05)
    return False


def _foreign(endpoint: PublishedEndpoint) -> bytes:
    return (
        b"HTTP/1.1 200 OK\r\nAttempt-Id: of-another\r\nResponse-Seal: s\r\n"
        b"Content-Length: 5\r\n\r\nwrong"
    )


def _plain_head(endpoint: PublishedEndpoint, arrival: Arrival) -> bytes:
    return encode_plain_head(endpoint.head(arrival))


def encode_plain_head(headers: list[tuple[str, str]]) -> bytes:
    """Return the head of an answer that ends with its connection."""
    lines = [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""]).encode()


def shared_parts(arrival: Arrival) -> list[str]:
    """Return the ids of the parts of a prompt, without the last one."""
    parts = arrival.headers.get("prompt-prefix", "").split(",")
    return [part.partition(":")[0] for part in parts[:-1]]


_CRASHED_EVENTS = {
    CrashPoint.AFTER_HEAD: b"",
    CrashPoint.INSIDE_EVENT: b"id: 1\ndata: tok",
    CrashPoint.AFTER_EVENT: b"id: 1\ndata: token-1\n\n",
}
