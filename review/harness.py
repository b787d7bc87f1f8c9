"""Stand-ins and tools of the review's scripts: store, model runners, callers, gateways.

They speak what the users' pages publish (HTTP/1.1, on loopback addresses), and use only
the standard library. The gateways are the project's own, started with the command of
the deploy file.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[1]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
MAX_SECONDS = 110.0
"""A script ends by then, whatever happens."""
TOKENS_AN_EVENT = 4
KV_TOKEN_BYTES = 327_680
KV_LINK_MBPS = 47_000.0
KV_TOKENS = 34_322
HEARTBEAT_SECONDS = 1.2


class CannotRunError(Exception):
    """The case could not be set up, so it shows nothing."""


class Record:
    """What was sent, answered and run, a line each, with seconds since the start."""

    def __init__(self, folder: Path, name: str = "record.txt") -> None:
        self._file = (folder / name).open("w", encoding="utf-8")
        self._started = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self._started

    def note(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{self.now:8.3f} {text}\n")
        self._file.flush()


@dataclass
class Message:
    """Start line, headers (names in lower case) and body of a request or an answer."""

    start: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.start.split(" ")[1])

    @property
    def method(self) -> str:
        """The method of a request."""
        return self.start.split(" ")[0]

    @property
    def target(self) -> str:
        """The target of a request."""
        return self.start.split(" ")[1]


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a start line and headers; None if the connection ends before."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    return Message(lines[0], {k.strip().lower(): v.strip() for k, _, v in pairs})


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message whose body has a length."""
    message = await read_head(reader)
    if message is not None:
        length = int(message.headers.get("content-length", "0"))
        message.body = await reader.readexactly(length) if length else b""
    return message


def encode(start: str, headers: list[tuple[str, str]], body: bytes | None) -> bytes:
    """Return a message; with its length unless the body is None."""
    if body is not None:
        headers = [*headers, ("Content-Length", str(len(body)))]
    lines = [start, *(f"{name}: {value}" for name, value in headers), "", ""]
    return "\r\n".join(lines).encode("latin-1") + (body or b"")


def encode_chunk(data: bytes) -> bytes:
    """Return one chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def free_host() -> str:
    """Return a loopback address at which the deploy file's metrics port is free."""
    for _ in range(50):
        host = f"127.{random.randint(20, 220)}.{random.randint(1, 250)}.1"
        with socket.socket() as probe, suppress(OSError):
            probe.bind((host, 7215))
            return host
    raise CannotRunError("no loopback address is free")


def free_peer_port(hosts: list[str]) -> int:
    """Return a port that is free for TCP and UDP at all addresses."""
    for _ in range(50):
        port = random.randint(20_000, 30_000)
        with suppress(OSError):
            for host in hosts:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(type=kind) as probe:
                        probe.bind((host, port))
            return port
    raise CannotRunError("no port is free at all addresses")


def free_port(host: str) -> int:
    """Return a port that is free at an address."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Store:
    """The platform's metadata store, sound: objects by kind and name, and watches.

    `page` is the number of items in one part of a list; `after_list_page` is called
    when a part that isn't the last was answered.
    """

    def __init__(self, record: Record, page: int = 500) -> None:
        self._record = record
        self._objects: dict[str, dict[str, dict]] = {}
        self._events: list[tuple[int, str, dict]] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self.page = page
        self.revision = 100
        self.address = ""
        self.after_list_page: Callable[[str], None] | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        host = "127.0.0.1"
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def put(self, kind: str, name: str, spec: dict) -> None:
        """Make or replace an object; what changes nothing raises no revision."""
        known = self._objects.setdefault(kind, {}).get(name)
        if known is not None and _without_beat(known["spec"]) == _without_beat(spec):
            known["spec"] = spec
            return
        self.revision += 1
        metadata = {
            "name": name,
            "revision": self.revision,
            "made": 1,
            "finalizers": [],
            "deleting": False,
        }
        item = {"metadata": metadata, "spec": spec, "status": None}
        self._objects[kind][name] = item
        self._announce(kind, {"gone": False, "object": item})
        self._record.note(f"store {kind}/{name} written, revision {self.revision}")

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        item = self._objects.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            self._announce(kind, {"gone": True, "object": item})
            self._record.note(f"store {kind}/{name} gone, revision {self.revision}")

    def _announce(self, kind: str, event: dict) -> None:
        self._events.append((self.revision, kind, event))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        ends = (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError)
        with suppress(*ends):
            while (call := await read_message(reader)) is not None:
                await asyncio.sleep(0.004)
                status, body = await self._answer(call)
                headers = [("Content-Type", "application/json"), ("Store-Era", "1")]
                data = json.dumps(body).encode()
                writer.write(encode(f"HTTP/1.1 {status} Answer", headers, data))
                await writer.drain()
                self._note_page(call, body)
        writer.close()

    def _note_page(self, call: Message, body: dict) -> None:
        kind = urlsplit(call.target).path.rpartition("/")[2]
        if body.get("more") and self.after_list_page is not None:
            self.after_list_page(kind)

    async def _answer(self, call: Message) -> tuple[int, dict]:
        url = urlsplit(call.target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        parts = [unquote(part) for part in url.path.split("/") if part]
        if call.method != "GET" or parts[0] != "objects":
            return 404, {}
        kind, *name = parts[1:]
        if name:
            item = self._objects.get(kind, {}).get(name[0])
            return (200, item) if item else (404, {})
        if "watch" in query:
            return await self._watch(kind, query)
        after = query.get("since_revision", "")
        objects = self._objects.get(kind, {})
        names = [found for found in sorted(objects) if found > after]
        items = [objects[found] for found in names[: self.page]]
        more = len(names) > self.page
        return 200, {"items": items, "more": more, "at": self.revision}

    async def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, dict]:
        since = int(query["watch"])
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1_000
        if since > self.revision:
            return 410, {}
        while True:
            events = [e for r, k, e in self._events if k == kind and r > since]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            with suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)


def _without_beat(spec: dict) -> dict:
    return {key: value for key, value in spec.items() if key != "sequence"}


class Gateway:
    """A gateway of the project, as a process of its own."""

    def __init__(self, record: Record, name: str, zone: str, folder: Path) -> None:
        self._record = record
        self._folder = folder
        self._process: subprocess.Popen | None = None
        self.name = name
        self.zone = zone
        self.host = free_host()
        self.port = free_port(self.host)
        self.ready_port = free_port(self.host)
        self.control_port = free_port(self.host)
        self.peer_port = 0

    @property
    def seed(self) -> str:
        """Its address among the seeds."""
        return f"{self.host}:{self.control_port}"

    @property
    def is_running(self) -> bool:
        """Whether its process has not ended."""
        return self._process is not None and self._process.poll() is None

    def start(self, store: Store, seeds: list[str], **bounds: object) -> None:
        """Start the process with the deploy file's command."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = deploy["roles"]["gateway"]["run"].split()
        settings = self._folder / f"{self.name}.conf"
        settings.write_text(self._settings(store, seeds, bounds))
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        path = str(ROOT / "target" / "deps")
        environment = {**kept, "PIERSHORE_BOOT": str(settings), "PYTHONPATH": path}
        with (self._folder / f"{self.name}.log").open("ab") as output:
            self._process = subprocess.Popen(
                words,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self._record.note(f"gateway {self.name} started: {' '.join(words)}")

    async def wait_ready(self, seconds: float = 20.0) -> None:
        """Wait until it says that it is ready."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if not self.is_running:
                raise CannotRunError(f"{self.name} ended while it started")
            if await self.is_ready():
                self._record.note(f"gateway {self.name} is ready")
                return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self.name} didn't become ready")

    async def is_ready(self) -> bool:
        """Ask it as the platform does."""
        try:
            reader, writer = await asyncio.open_connection(self.host, self.ready_port)
        except OSError:
            return False
        headers = [("Host", "ready"), ("Connection", "close")]
        writer.write(encode("GET /readyz HTTP/1.1", headers, None))
        answer = await read_head(reader)
        writer.close()
        return answer is not None and answer.status == 200

    def signal(self, number: signal.Signals) -> None:
        """Send a signal."""
        if self.is_running:
            self._record.note(f"gateway {self.name} gets {number.name}")
            self._process.send_signal(number)

    def close(self) -> None:
        """End the process."""
        if self.is_running:
            self._process.kill()
        if self._process is not None:
            self._process.wait()

    def _settings(self, store: Store, seeds: list[str], bounds: dict) -> str:
        lines = {
            "node_name": self.name,
            "role": "gateway",
            "machine_class": "front",
            "serves": "front,control",
            "ip": self.host,
            "zone": self.zone,
            "region": "guj-west",
            "listen.front": f"{self.host}:{self.port}",
            "listen.ready": f"{self.host}:{self.ready_port}",
            "listen.control": self.seed,
            "internal_port_range": f"{self.peer_port},{self.peer_port + 15}",
            "seed_nodes": ",".join(seeds),
            "bootstrap": "true",
            "limits.cpu_share": 0.817,
            "limits.cpu_cores": 1,
            "limits.memory_mb": 300,
            "limits.max_fds": 4100,
            "limits.link_mbps": 1000.0,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "bounds.seed_lag_s": 3,
            "bounds.addr_reuse_s": 2,
            "bounds.contact_ms": 3000,
            "bounds.drain_ms": 2000,
            "bounds.grace_s": 8,
            "bounds.loss_slack_ms": 200,
            "bounds.config_apply_ms": 2000,
            "bounds.retry_budget_ratio": 0.2,
            "bounds.retry_window_s": 10,
            "bounds.retry_budget_slack": 52,
            "platform.address": store.address,
            "platform.form": "objects",
            "platform.history_s": 20,
        }
        lines.update({f"bounds.{key}": value for key, value in bounds.items()})
        return "".join(f"{key}={value}\n" for key, value in lines.items())


@dataclass(eq=False)
class Run:
    """What a runner did for one request, by the record's clock."""

    runner: str
    request: str
    began_at: float
    is_continued: bool
    made: int = 0
    ended_at: float | None = None
    how: str = ""
    backup: str | None = None
    prompt_tokens: int = 0
    stop: asyncio.Event = field(default_factory=asyncio.Event)

    def worked_at(self, moment: float) -> bool:
        """Whether the runner worked on it then."""
        return self.began_at <= moment and (
            self.ended_at is None or moment < self.ended_at
        )


@dataclass
class Memory:
    """Copies of generations: by holder and name, at which address each lies.

    `zones` has the zone of each address.
    """

    copies: dict[str, str] = field(default_factory=dict)
    zones: dict[str, str] = field(default_factory=dict)
    handles: int = 0


class Engine:
    """A model runner as the pages describe it.

    It makes an event each `pace` seconds, the first one `first_seconds` after the
    request's arrival. If it `drops_closed`, it ends a run whose connection closes.
    If `unframed`, its streams have neither length nor chunks. If it `notes_events`, the
    record has a line for each event.
    """

    def __init__(
        self,
        record: Record,
        store: Store,
        memory: Memory,
        name: str,
        zone: str,
        service: str,
    ) -> None:
        self._record = record
        self._store = store
        self._memory = memory
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self._link = asyncio.Lock()
        self._running: dict[str, Run] = {}
        self._sequence = 0
        self.name = name
        self.zone = zone
        self.service = service
        self.state = "ready"
        self.born = int(time.time() * 1_000)
        self.pace = 0.05
        self.first_seconds = 0.2
        self.drops_closed = True
        self.unframed = False
        self.notes_events = False
        self.runs: list[Run] = []
        self.arrivals: list[tuple[float, str]] = []
        self.host = "127.0.0.1"
        self.port = 0

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Listen, at the same port as before, and enter itself into the store."""
        self._server = await asyncio.start_server(self._serve, self.host, self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        self._memory.zones[self.address] = self.zone
        self.enter()
        self._record.note(f"runner {self.name} listens at {self.address}")

    def enter(self) -> None:
        """Write its entry."""
        self._sequence += 1
        models = [{"name": "m", "version": 1, "adapters": []}]
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 24,
            "state": self.state,
            "cold_remaining_ms": 0,
            "stage": "both",
            "models": models,
            "born": self.born,
            "sequence": self._sequence,
        }
        self._store.put("servers", self.name, entry)

    def running(self) -> list[Run]:
        """Return what it runs now."""
        return list(self._running.values())

    def drain(self) -> None:
        """Say that it leaves; it serves on."""
        self.state = "draining"
        self._record.note(f"runner {self.name} says draining")
        self.enter()

    async def leave(self) -> None:
        """End as planned: the entry goes, and the process ends."""
        self._store.remove("servers", self.name)
        self.stop("left")

    def stop(self, how: str) -> None:
        """End the process: listener and connections close, all runs end."""
        self._record.note(f"runner {self.name} ends: {how}")
        if self._server is not None:
            self._server.close()
            self._server = None
        for run in list(self._running.values()):
            self._end(run, how)
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            writer.close()

    def _end(self, run: Run, how: str) -> None:
        if run.ended_at is None:
            run.ended_at, run.how = self._record.now, how
            run.stop.set()
            self._running.pop(run.request, None)
            self._record.note(
                f"runner {self.name} run {run.request} ended after event {run.made}: "
                f"{how}"
            )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            with suppress(ConnectionError, asyncio.IncompleteReadError):
                while (request := await read_message(reader)) is not None:
                    if not await self._exchange(request, reader, writer):
                        break
        except asyncio.CancelledError:
            pass  # The process ends.
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.close()

    async def _exchange(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if request.target == "/report":
            await self._report(writer)
        elif request.target == "/kv-move":
            await self._move(request, writer)
        elif request.target.startswith("/kv-handle/"):
            writer.write(encode("HTTP/1.1 200 OK", [], b"{}"))
        else:
            return await self._request(request, reader, writer)
        await writer.drain()
        return True

    def _headers(self, request: Message) -> list[tuple[str, str]]:
        identity = request.headers.get("attempt-id", "")
        headers = [("Attempt-Id", identity), ("Instance-Id", self.name)]
        if self.state == "draining":
            headers.append(("Server-Leaving", "1"))
        return headers

    async def _request(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        identity = request.headers.get("attempt-id", "")
        self.arrivals.append((self._record.now, identity))
        extra = "".join(
            f" {name}={request.headers[name]}"
            for name in ("kv-from", "kv-backup", "last-event-id", "deadline-ms")
            if name in request.headers
        )
        self._record.note(f"runner {self.name} gets {identity}{extra}")
        headers = self._headers(request)
        if request.headers.get("expected-instance") != self.name:
            writer.write(encode("HTTP/1.1 421 Misdirected Request", headers, b""))
            await writer.drain()
            return True
        copy = request.headers.get("kv-from")
        if copy is not None and self._memory.copies.pop(copy, None) != self.address:
            headers.append(("Not-Executed", "1"))
            writer.write(encode("HTTP/1.1 503 Service Unavailable", headers, b""))
            await writer.drain()
            return True
        run = Run(self.name, identity, self._record.now, copy is not None)
        usage = request.headers.get("token-usage", "0,0")
        run.prompt_tokens = int(usage.partition(",")[0])
        self.runs.append(run)
        self._running[identity] = run
        if "kv-backup" in request.headers:
            backup = run.backup = request.headers["kv-backup"]
            self._memory.copies[f"{backup}/{identity}"] = backup
        return await self._stream(request, run, reader, writer)

    async def _stream(
        self,
        request: Message,
        run: Run,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Make the events, and send them as long as the connection lasts."""
        last = int(json.loads(request.body)["events"])
        run.made = int(request.headers.get("last-event-id", "0"))
        closed = asyncio.create_task(self._wait_closed(reader, run))
        headers = self._headers(request)
        headers.append(("Response-Seal", f"seal.{run.request}"))
        headers.append(("Content-Type", "text/event-stream"))
        headers.append(
            ("Connection", "close")
            if self.unframed
            else ("Transfer-Encoding", "chunked")
        )
        data = encode("HTTP/1.1 200 OK", headers, None)
        pause = 0.02 if run.is_continued else self.first_seconds
        while run.made < last:
            with suppress(TimeoutError):
                await asyncio.wait_for(run.stop.wait(), pause)
            if run.stop.is_set():
                break
            pause = self.pace
            run.made += 1
            event = f"id: {run.made}\ndata: {run.request}-{run.made}\n\n".encode()
            data += event if self.unframed else encode_chunk(event)
            self._send(writer, data)
            data = b""
            if self.notes_events:
                self._record.note(f"made {run.request} {run.made}")
        if not run.stop.is_set():
            self._end(run, "complete")
            if not self.unframed:
                self._send(writer, b"0\r\n\r\n")
            with suppress(ConnectionError):
                await writer.drain()
        is_open = run.how == "complete" and not self.unframed and not closed.done()
        closed.cancel()
        return is_open

    @staticmethod
    def _send(writer: asyncio.StreamWriter, data: bytes) -> None:
        if not writer.is_closing():
            writer.write(data)

    async def _wait_closed(self, reader: asyncio.StreamReader, run: Run) -> None:
        """Note that the connection of a run closes; end the run if that is the way."""
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.005)
        if run.ended_at is None:
            self._record.note(f"runner {self.name} sees {run.request} closed")
            if self.drops_closed:
                self._end(run, "connection closed")

    async def _report(self, writer: asyncio.StreamWriter) -> None:
        runs = [[run.request, 0, run.made, 5] for run in self._running.values()]
        report = {
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "utilization": False,
            "sequence": self._sequence,
            "num_waiting": 0,
            "num_running": len(runs),
            "kv_used": 0,
            "kv_total": KV_TOKENS,
            "handles": 0,
            "state": self.state,
            "born": self.born,
            "runs": runs,
        }
        headers = [("Content-Type", "application/json")]
        writer.write(encode("HTTP/1.1 200 OK", headers, json.dumps(report).encode()))

    async def _move(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Copy a run's memory, one copy after the other; with `last` stop it first."""
        order = json.loads(request.body)
        run = self._running.get(order["id"])
        self._record.note(
            f"runner {self.name} is told to move {order['id']} to "
            f"{order['target_version']}, last {bool(order.get('last'))}: "
            f"{'running' if run else 'no such run'}"
        )
        if run is None:
            writer.write(encode("HTTP/1.1 404 Not Found", [], b"{}"))
            return
        if order.get("last"):
            self._end(run, "stopped by a last copy")
        else:
            tokens = run.prompt_tokens + run.made * TOKENS_AN_EVENT
            bits = tokens * KV_TOKEN_BYTES * 8
            is_near = self._memory.zones.get(order["target_version"]) == self.zone
            seconds = (1 if is_near else 2) * bits / (KV_LINK_MBPS * 1e6)
            async with self._link:
                await asyncio.sleep(seconds)
        self._memory.handles += 1
        handle = f"h{self._memory.handles}"
        self._memory.copies[f"{self.address}/{handle}"] = order["target_version"]
        answer = json.dumps({"handle": handle, "made": run.made}).encode()
        headers = [("Content-Type", "application/json")]
        writer.write(encode("HTTP/1.1 200 OK", headers, answer))


class EngineProcess:
    """A model runner as a process of its own; the parent enters it into the store."""

    def __init__(
        self, record: Record, store: Store, name: str, zone: str, service: str
    ) -> None:
        self._record = record
        self._store = store
        self._process: asyncio.subprocess.Process | None = None
        self._reading: asyncio.Task | None = None
        self.name = name
        self.zone = zone
        self.service = service
        self.address = ""
        self.made: dict[str, int] = {}
        self.ended: set[str] = set()

    async def start(self, pace: float) -> None:
        """Start the process, and enter the runner into the store."""
        self.address = ""
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-SB",
            str(ROOT / "review" / "runner_process.py"),
            self.name,
            self.zone,
            self.service,
            str(pace),
            stdout=asyncio.subprocess.PIPE,
            env={**os.environ, "PYTHONPATH": str(ROOT / "review")},
        )
        self._reading = asyncio.create_task(self._read())
        until = time.monotonic() + 10
        while not self.address:
            if time.monotonic() > until:
                raise CannotRunError(f"runner {self.name} didn't start")
            await asyncio.sleep(0.02)
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 24,
            "state": "ready",
            "cold_remaining_ms": 0,
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "born": int(time.time() * 1_000),
            "sequence": 1,
        }
        self._store.put("servers", self.name, entry)

    async def crash(self, seconds: float, pace: float) -> None:
        """Kill it, and start it again under its name so many seconds later.

        Its entry goes after three heartbeats of silence.
        """
        self._record.note(f"runner {self.name} is killed")
        self._process.kill()
        lapse = 3 * HEARTBEAT_SECONDS
        if seconds > lapse:
            await asyncio.sleep(lapse)
            self._store.remove("servers", self.name)
        await asyncio.sleep(max(0.0, seconds - lapse))
        await self.start(pace)

    def close(self) -> None:
        """End the process if it runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()

    async def _read(self) -> None:
        while line := await self._process.stdout.readline():
            words = line.decode().split()
            if words[0] == "address":
                self.address = words[1]
            if words[0] == "made":
                self.made[words[1]] = int(words[2])
            if words[2:3] == ["run"] and words[4] == "ended":
                self.ended.add(words[3])
            self._record.note(f"{self.name}: {line.decode().strip()}")


@dataclass
class Answer:
    """What a caller got for one request.

    `is_complete` is whether the answer ended as the protocol says it does.
    """

    request: str
    sent_at: float
    status: int | None = None
    headers: dict[str, str] = field(default_factory=dict)
    events: list[int] = field(default_factory=list)
    body: bytes = b""
    is_complete: bool = False
    ended_at: float = 0.0

    @property
    def is_stream(self) -> bool:
        """Whether it is a stream that began."""
        return self.status == 200


class Caller:
    """A client with one connection, kept for later requests while that is allowed."""

    def __init__(self, record: Record, gateway: Gateway, key: str) -> None:
        self._record = record
        self._gateway = gateway
        self._key = key
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    @property
    def is_connected(self) -> bool:
        """Whether its connection may be used for another request."""
        return self._writer is not None and not self._reader.at_eof()

    async def stream(
        self, request: str, path: str, events: int, **headers: object
    ) -> Answer:
        """Send one request for a stream, and read the answer to its end."""
        answer = Answer(request, self._record.now)
        named = {
            "Host": "ficu95.example",
            "Attempt-Id": request,
            "Model": "m",
            "Deadline-Ms": "39000",
            "Authorization": f"Token {self._key}",
            "Content-Type": "application/json",
        }
        named.update({k.replace("_", "-").title(): str(v) for k, v in headers.items()})
        body = json.dumps({"events": events, "note": request}).encode()
        try:
            if not self.is_connected:
                self._reader, self._writer = await asyncio.open_connection(
                    self._gateway.host, self._gateway.port
                )
            self._writer.write(
                encode(f"POST {path} HTTP/1.1", list(named.items()), body)
            )
            answer.sent_at = self._record.now
            self._record.note(f"caller sends {request} to {self._gateway.name}")
            await self._read(answer)
        except (OSError, asyncio.IncompleteReadError) as error:
            self._record.note(f"caller's connection for {request} breaks: {error!r}")
        answer.ended_at = self._record.now
        self._record.note(
            f"caller's {request}: status {answer.status}, {len(answer.events)} events, "
            f"{'complete' if answer.is_complete else 'INCOMPLETE'}"
        )
        if not answer.is_complete or "close" in answer.headers.get("connection", ""):
            self.close()
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def _read(self, answer: Answer) -> None:
        head = await read_head(self._reader)
        if head is None:
            return
        answer.status, answer.headers = head.status, head.headers
        if not head.headers.keys() & {"transfer-encoding", "content-length"}:
            answer.body = await self._reader.read()
            answer.is_complete = not self._reader.exception()
            answer.events = _event_ids(answer.body)
            return
        if head.headers.get("transfer-encoding") != "chunked":
            length = int(head.headers.get("content-length", "0"))
            answer.body = await self._reader.readexactly(length)
            answer.is_complete = True
            return
        async for data in self._chunks():
            answer.body += data
            answer.events = _event_ids(answer.body)
        answer.is_complete = True

    async def _chunks(self) -> AsyncIterator[bytes]:
        while True:
            size = int(await self._reader.readuntil(b"\r\n"), 16)
            data = (await self._reader.readexactly(size + 2))[:-2]
            if not size:
                return
            yield data


def _event_ids(body: bytes) -> list[int]:
    lines = body.split(b"\n")
    return [int(line[3:]) for line in lines if line.startswith(b"id:")]


def new_request_id() -> str:
    """Return the id of one attempt of a caller."""
    return f"{random.getrandbits(64):016x}"


def streaming_route(name: str, path: str, service: str, **fields: object) -> dict:
    """Return a streaming route."""
    route = {
        "name": name,
        "host": "ficu95.example",
        "path_prefix": path,
        "kind": "streaming",
        "timeout_ms": 39_000,
        "target_latency_ms": 1_800,
        "priority": 1,
        "service": service,
        "max_attempts": 1,
        "public": False,
        "session_affinity": True,
        "stream_resume": False,
        "gap_aim_ms": 180,
    }
    return {**route, **fields}


def engine_service(name: str) -> dict:
    """Return a service of model runners."""
    engine = {
        "slots": 24,
        "kv_capacity_tokens": KV_TOKENS,
        "kv_token_bytes": KV_TOKEN_BYTES,
        "link_mbps": KV_LINK_MBPS,
        "moves": True,
        "backups": True,
        "stride": TOKENS_AN_EVENT,
        "most": 12,
        "pin_ms": 4_000.0,
        "hold_ms": 2_000.0,
        "handle_ttl_s": 5.0,
        "models": [{"name": "m"}],
    }
    return {
        "name": name,
        "health_path": "/healthz",
        "max_connections": 242,
        "protocol": "h1",
        "tls": False,
        "engine": engine,
    }


def configuration(version: int, routes: list[dict], services: list[dict]) -> dict:
    """Return the operator's configuration."""
    limits = {
        "max_header_bytes": 16_384,
        "max_body_bytes": 4_194_304,
        "header_timeout_ms": 3_000,
        "idle_timeout_ms": 15_000,
    }
    tenants = [{"name": "huka270", "api_keys": ["key-a"], "priority": 1}]
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": limits,
        "tenants": tenants,
    }


class World:
    """Everything of one run: record, store, runners and gateways."""

    def __init__(self, folder: Path, files: Path) -> None:
        self.folder = folder
        self.files = files
        self.record = Record(folder)
        self.store = Store(self.record)
        self.memory = Memory()
        self.engines: list[Engine] = []
        self.processes: list[EngineProcess] = []
        self.gateways: list[Gateway] = []
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def add_engines(self, zones: list[str], service: str) -> list[Engine]:
        """Start a model runner in each of the zones given."""
        for number, zone in enumerate(zones, 1):
            engine = Engine(
                self.record, self.store, self.memory, f"i-{number}", zone, service
            )
            await engine.start()
            self.engines.append(engine)
        return self.engines

    async def start_gateways(self, zones: list[str], **bounds: object) -> None:
        """Start a gateway in each of the zones given, and wait until they are ready."""
        for number, zone in enumerate(zones, 1):
            gateway = Gateway(self.record, f"front-{number}", zone, self.files)
            self.gateways.append(gateway)
        peer_port = free_peer_port([gateway.host for gateway in self.gateways])
        for gateway in self.gateways:
            gateway.peer_port = peer_port
        seeds = [gateway.seed for gateway in self.gateways[:3]]
        for gateway in self.gateways:
            gateway.start(self.store, seeds, **bounds)
        for gateway in self.gateways:
            await gateway.wait_ready()

    def seeds(self) -> list[str]:
        """Return the seeds of all gateways."""
        return [gateway.seed for gateway in self.gateways[:3]]

    def caller(self, gateway: Gateway) -> Caller:
        """Return a new caller at a gateway."""
        return Caller(self.record, gateway, "key-a")

    def runs(self) -> list[Run]:
        """Return all runs at all runners."""
        return [run for engine in self.engines for run in engine.runs]

    def close(self) -> None:
        """End all processes that were started."""
        for gateway in self.gateways:
            gateway.close()
        for process in self.processes:
            process.close()


Case = Callable[[World], Awaitable[bool]]


def main(case: Case, file: str) -> None:
    """Play a case; exit with 1 if the rule was broken, 0 if it held, 2 if unplayed."""
    sys.exit(asyncio.run(_play(case, Path(file).resolve().parent)))


async def _play(case: Case, folder: Path) -> int:
    with tempfile.TemporaryDirectory(prefix="piershore-review-") as files:
        world = World(folder, Path(files))
        world.record.note(f"TROUBLE={1 if world.has_trouble else 0}")
        code = COULD_NOT_RUN
        try:
            await world.store.start()
            async with asyncio.timeout(MAX_SECONDS):
                code = BROKEN if await case(world) else HELD
        except (CannotRunError, TimeoutError, OSError) as error:
            world.record.note(f"the case couldn't run: {error!r}")
        finally:
            world.close()
            for log in sorted(Path(files).glob("*.log")):
                _note_log(world.record, log)
        verdict = {HELD: "held", BROKEN: "BROKEN", COULD_NOT_RUN: "not played"}[code]
        world.record.note(f"exit {code}: the rule was {verdict}")
        print(f"exit {code}: the rule was {verdict}")
        return code


def _note_log(record: Record, log: Path) -> None:
    """Copy the last lines of a gateway's log into the record."""
    for line in log.read_text(errors="replace").splitlines()[-60:]:
        record.note(f"log of {log.stem}: {line[:300]}")
