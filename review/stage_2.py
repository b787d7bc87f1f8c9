"""What the scripts of the second review share: processes, callers and a record.

A script runs from the root of the checkout and starts the gateways with the command of
the deploy file. Everything listens on loopback addresses; settings lie in a temporary
folder.
"""

from __future__ import annotations

import os
import random
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import h11
import orjson
import trio

ROOT = Path(__file__).resolve().parent.parent
COMMAND = ["python3", "-S", "deploy/run.py", "ingress", "--metrics_port=7215"]
"""The command of the deploy file."""
RUNNER = Path(__file__).resolve().parent / "runner_2.py"
HOST = "api.example"
KEY = "key-of-surulere"
TENANT = "surulere"
PEER_PORTS = (7200, 7215)
CONTACT_SECONDS = 3.0
DRAIN_SECONDS = 2.0
READY_SECONDS = 20.0
BROKEN = 10
"""Exit code of a case that broke its rule; that of an error is another one."""
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRunError(Exception):
    """The case couldn't run; says nothing about the rule."""


class Record:
    """The lines of `record.txt`: what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started = time.monotonic()
        self.write(f"trouble {'on' if TROUBLE else 'off'}")

    def write(self, text: str) -> None:
        """Add a line with the seconds since the start."""
        self._file.write(f"{time.monotonic() - self._started:8.3f} {text}\n")
        self._file.flush()


def free_port(host: str = "127.0.0.1") -> int:
    """Return a port that was free."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def free_host() -> str:
    """Return a loopback address at which the fixed ports of a gateway are free."""
    for _ in range(100):
        host = ".".join(["127", *(str(random.randint(10, 250)) for _ in range(3))])
        try:
            for port in PEER_PORTS:
                with socket.socket() as probe:
                    probe.bind((host, port))
        except OSError:
            continue
        return host
    raise CannotRunError("no loopback address has the ports free")


def clean_environment() -> dict[str, str]:
    """Return the variables that the platform passes on."""
    return {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}


class Gateway:
    """A gateway process; `seeds` are the hosts of all gateways."""

    def __init__(self, folder: Path, name: str, hall: str, store: tuple[str, int]):
        self.name, self.hall, self.store = name, hall, store
        self.host = free_host()
        self.port, self.ready_port = free_port(self.host), free_port(self.host)
        self.seeds: list[str] = []
        self.link_megabits = 1_000.0
        self.extra: dict[str, object] = {}
        self._path = folder / f"{name}.conf"
        self._log = folder / f"{name}.log"
        self.process: subprocess.Popen | None = None
        self.started_at = 0.0

    def start(self) -> None:
        """Start the process."""
        lines = {
            "node_name": self.name,
            "role": "gateway",
            "machine_class": "front",
            "serves": "front,control",
            "ip": self.host,
            "zone": self.hall,
            "region": "lagos",
            "listen.front": f"{self.host}:{self.port}",
            "listen.ready": f"{self.host}:{self.ready_port}",
            "internal_port_range": ",".join(map(str, PEER_PORTS)),
            "seed_nodes": ",".join(f"{seed}:{PEER_PORTS[0]}" for seed in self.seeds),
            "limits.link_mbps": self.link_megabits,
            "heartbeat_ms": 1200,
            "bounds.contact_ms": int(CONTACT_SECONDS * 1000),
            "bounds.drain_ms": int(DRAIN_SECONDS * 1000),
            "bounds.grace_s": 8,
            "bounds.config_apply_ms": 2000,
            "bounds.retry_budget_ratio": 0.2,
            "bounds.retry_window_s": 10,
            "bounds.retry_budget_slack": 58,
            "platform.address": f"{self.store[0]}:{self.store[1]}",
            **self.extra,
        }
        self._path.write_text("".join(f"{k}={v}\n" for k, v in lines.items()))
        with self._log.open("ab") as output:
            self.process = subprocess.Popen(
                COMMAND,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env={**clean_environment(), "PIERSHORE_BOOT": str(self._path)},
            )
        self.started_at = time.monotonic()

    def kill(self) -> None:
        """End the process without notice."""
        self.process.kill()
        self.process.wait()

    def close(self) -> None:
        """End the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.kill()

    def log(self) -> str:
        """Return what the gateway has logged."""
        return self._log.read_text(errors="replace") if self._log.exists() else ""

    async def wait_ready(self) -> None:
        """Wait until it says that it is ready; raise `CannotRunError` if it doesn't."""
        with trio.move_on_after(READY_SECONDS):
            while True:
                if self.process.poll() is not None:
                    raise CannotRunError(f"{self.name} ended: {self.log()[-500:]}")
                if await self._is_ready():
                    return
                await trio.sleep(0.05)
        raise CannotRunError(f"{self.name} is not ready: {self.log()[-500:]}")

    async def _is_ready(self) -> bool:
        try:
            stream = await trio.open_tcp_stream(self.host, self.ready_port)
        except OSError:
            return False
        async with stream:
            try:
                await stream.send_all(b"GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
                return b" 200 " in await stream.receive_some(4_096)
            except trio.BrokenResourceError:
                return False


class RunnerProcess:
    """A runner in a process of its own; its lines say what reached it and ran."""

    def __init__(self, options: dict) -> None:
        self.identity, self.options = options["identity"], options
        self.lines: list[dict] = []
        self.port = 0
        path = os.pathsep.join([str(ROOT / "target" / "deps"), str(ROOT / "src")])
        self.process = subprocess.Popen(
            [sys.executable, "-u", str(RUNNER), orjson.dumps(options).decode()],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            env={**clean_environment(), "PYTHONPATH": path},
        )
        self.port = orjson.loads(self.process.stdout.readline())["port"]

    def entry(self, state: str = "ready") -> dict:
        """Return what it writes of itself into the store."""
        return {
            "service": self.options["service"],
            "address": f"127.0.0.1:{self.port}",
            "zone": self.options["zone"],
            "version": "v1",
            "slots": 24,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": self.options["born"],
        }

    async def read_lines(self, record: Record) -> None:
        """Collect its lines, until its end."""
        while line := await trio.to_thread.run_sync(
            self.process.stdout.readline, abandon_on_cancel=True
        ):
            event = orjson.loads(line)
            self.lines.append(event)
            record.write(f"runner {self.identity}: {line.decode().strip()}")

    def send(self, word: str) -> None:
        """Send it an order."""
        self.process.stdin.write(word.encode() + b"\n")
        self.process.stdin.flush()

    def close(self) -> None:
        """End the process if it runs."""
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()


@dataclass
class Reply:
    """What a caller received; `is_whole` if the answer ended as its framing says."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False
    error: str = ""

    def event_numbers(self) -> list[int]:
        """Return the ids of the events, in order."""
        lines = self.body.split(b"\n")
        return [int(line[3:]) for line in lines if line.startswith(b"id:")]


async def call(
    gateway: Gateway,
    method: str,
    path: str,
    identity: str,
    deadline_ms: int,
    headers: list[tuple[str, str]] = (),
    body: bytes = b"",
    on_data: Callable[[bytes], None] = lambda data: None,
) -> Reply:
    """Send a request on a new connection, and read its answer."""
    reply = Reply()
    connection = h11.Connection(h11.CLIENT)
    fields = [
        ("Host", HOST),
        ("Attempt-Id", identity),
        ("Deadline-Ms", str(deadline_ms)),
        ("Authorization", f"Token {KEY}"),
        *headers,
    ]
    if method == "POST":
        fields.append(("Content-Length", str(len(body))))
    try:
        with trio.fail_after(deadline_ms / 1_000 + 1):
            stream = await trio.open_tcp_stream(gateway.host, gateway.port)
            async with stream:
                data = connection.send(
                    h11.Request(method=method, target=path, headers=fields)
                )
                if body:
                    data += connection.send(h11.Data(body))
                await stream.send_all(data + connection.send(h11.EndOfMessage()))
                await _read(stream, connection, reply, on_data)
    except (OSError, trio.BrokenResourceError, trio.TooSlowError) as error:
        reply.error = type(error).__name__
    except h11.RemoteProtocolError as error:
        reply.error = str(error)
    return reply


async def _read(stream, connection, reply: Reply, on_data) -> None:
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await stream.receive_some(65_536))
        elif isinstance(event, h11.Response):
            reply.status = event.status_code
            reply.headers = {k.decode(): v.decode() for k, v in event.headers}
        elif isinstance(event, h11.Data):
            reply.body += bytes(event.data)
            on_data(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            reply.is_whole = True
            return
        elif isinstance(event, h11.ConnectionClosed):
            return


def configuration(version: int, **services: dict | None) -> dict:
    """Return a configuration: a route of each kind, and the given services.

    `services` have the name of a service and its engine, or None for a plain one.
    """
    model = next((name for name, engine in services.items() if engine), None)
    plain = next((name for name, engine in services.items() if not engine), None)
    routes = []
    for name, kind, service in (
        ("stream", "streaming", model),
        ("once", "unsafe", plain),
        ("again", "safe", plain),
    ):
        if service is None:
            continue
        route = {
            "name": f"r-{name}",
            "host": HOST,
            "path_prefix": f"/{name}/",
            "kind": kind,
            "timeout_ms": 39_000 if kind == "streaming" else 800,
            "target_latency_ms": 1_800 if kind == "streaming" else 200,
            "priority": 1,
            "service": service,
            "max_attempts": 2 if kind == "safe" else 1,
            "public": False,
            "session_affinity": kind == "streaming",
            "stream_resume": False,
        }
        if kind == "streaming":
            route["gap_aim_ms"] = 180
        routes.append(route)
    listed = []
    for name, engine in services.items():
        service = {
            "name": name,
            "health_path": "/healthz",
            "max_connections": 242,
            "protocol": "h1",
            "tls": False,
        }
        listed.append({**service, "engine": engine} if engine else service)
    return {
        "version": version,
        "routes": routes,
        "services": listed,
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    }


ENGINE = {
    "slots": 24,
    "kv_capacity_tokens": 34_322,
    "kv_token_bytes": 327_680,
    "link_mbps": 47_000.0,
    "moves": True,
    "backups": True,
    "stride": 4,
    "most": 12,
    "pin_ms": 4_000.0,
    "hold_ms": 2_000.0,
    "handle_ttl_s": 5.0,
    "models": [{"name": "m"}],
}


def innermost(error: BaseException) -> BaseException:
    """Return the first error of a group that isn't a group."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


class SlowLink:
    """A proxy to the store with the bandwidth of a machine's link, each way."""

    def __init__(self, target: tuple[str, int], megabits: float) -> None:
        self._target, self._bytes_per_second = target, megabits * 1e6 / 8
        self._free_at = {False: 0.0, True: 0.0}
        self.port = 0

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.port = listeners[0].socket.getsockname()[1]
        task_status.started()
        await trio.serve_listeners(self._serve_one, listeners)

    async def _serve_one(self, stream: trio.SocketStream) -> None:
        try:
            async with (
                stream,
                await trio.open_tcp_stream(*self._target) as other,
                trio.open_nursery() as nursery,
            ):
                scope = nursery.cancel_scope
                nursery.start_soon(self._pump, stream, other, False, scope)
                nursery.start_soon(self._pump, other, stream, True, scope)
        except OSError:
            return

    async def _pump(self, source, sink, is_answer: bool, scope) -> None:
        try:
            while data := await source.receive_some(4_096):
                start = max(trio.current_time(), self._free_at[is_answer])
                self._free_at[is_answer] = start + len(data) / self._bytes_per_second
                await trio.sleep_until(self._free_at[is_answer])
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        scope.cancel()


def run_case(folder: Path, case: Callable, limit_seconds: float = 110.0) -> int:
    """Run a case and return its exit code; `case` returns whether the rule held.

    It gets a record, a temporary folder and a list of what is to be closed at the end.
    """
    record = Record(folder)
    to_close: list = []

    async def bounded(temporary: Path) -> bool | None:
        with trio.move_on_after(limit_seconds):
            return await case(record, temporary, to_close)
        raise CannotRunError("the case took too long")

    with tempfile.TemporaryDirectory() as temporary:
        try:
            held = trio.run(bounded, Path(temporary))
            code = 0 if held else BROKEN
        except (CannotRunError, OSError, BaseExceptionGroup) as error:
            record.write(f"could not run: {innermost(error)!r}")
            code = 2
        finally:
            for item in to_close:
                item.close()
    record.write(
        {0: "the rule held", BROKEN: "the rule was broken"}.get(code, "no result")
    )
    return code
