"""The gateways of a soak as processes, before stand-ins in this process."""

from __future__ import annotations

import os
import signal
from dataclasses import dataclass
from math import inf
from pathlib import Path
from random import Random
from subprocess import DEVNULL, Popen
from sys import executable

import trio

from devtools.ports import free_port
from devtools.soak.fault_proxy import FaultProxy, LinkFault
from standins.published_endpoint import (
    EngineMemory,
    PACE_SECONDS,
    PublishedEndpoint,
    TOKENS_AN_EVENT,
)
from standins.published_store import PublishedStore

HOST = "api.example"
ACCOUNTS = {"key-a": "surulere", "key-b": "lekki"}
GRACE_SECONDS = 4
HALLS = ("ikeja", "lekki", "apapa")
DRAIN_SECONDS = 2.0
START = Path(__file__).parents[2] / "deploy" / "run.py"
START_LINE = '"event":"process_started"'
DROPPING_SHARE = 0.67
"""Share of the engines that drop a run once its connection closes."""


@dataclass
class Stop:
    """The end of one life of a gateway that was told to stop, by trio's clock."""

    life: int
    told_at: float
    ended_at: float = inf


class Gateway:
    """One gateway process and its own link to the store; `lives` counts starts."""

    def __init__(self, fleet: Fleet, number: int, folder: Path) -> None:
        self._fleet = fleet
        self.name = f"front-{number}"
        self.host = f"127.0.{number // 200}.{number % 200 + 2}"
        self._port, self._ready = free_port(), free_port()
        self._settings = folder / f"{self.name}.conf"
        self.log = folder / f"{self.name}.log"
        self._hall = HALLS[number % len(HALLS)]
        self.store_link = FaultProxy(lambda: ("127.0.0.1", fleet.store.port))
        self._process: Popen | None = None
        self.lives = 0
        self.stops: list[Stop] = []
        self.undisturbed_since = 0.0
        self._starts_told = 0

    @property
    def address(self) -> tuple[str, int]:
        """Where callers reach it."""
        return self.host, self._port

    @property
    def ready_address(self) -> tuple[str, int]:
        """Where it tells whether it is ready."""
        return self.host, self._ready

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    @property
    def is_starting(self) -> bool:
        """Whether the present process has not told yet that it started."""
        return self._count_starts() == self._starts_told

    def disturb(self) -> None:
        """Note that something is being done to it."""
        self.undisturbed_since = trio.current_time()

    def start(self) -> None:
        """Start the process."""
        self._settings.write_text(self._settings_text())
        self.lives += 1
        self._starts_told = self._count_starts()
        self.disturb()
        with self.log.open("ab") as output:
            self._process = Popen(
                [executable, str(START), "ingress"],
                stdin=DEVNULL,
                stdout=output,
                stderr=output,
                env={**os.environ, "PIERSHORE_BOOT": str(self._settings)},
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if self.is_running:
            self.disturb()
            if number is signal.SIGTERM and not self._is_told_to_stop:
                self.stops.append(Stop(self.lives, trio.current_time()))
            self._process.send_signal(number)

    @property
    def _is_told_to_stop(self) -> bool:
        return bool(self.stops) and self.stops[-1].life == self.lives

    async def wait_end(self, seconds: float) -> int | None:
        """Wait for the end of the present process; None if it didn't come."""
        process = self._process
        with trio.move_on_after(seconds):
            while process.poll() is None:
                await trio.sleep(0.02)
        if process.poll() is not None and self._is_told_to_stop:
            stop = self.stops[-1]
            stop.ended_at = min(stop.ended_at, trio.current_time())
        return process.poll()

    def close(self) -> None:
        """End the process by its id."""
        if self.is_running:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()

    def _count_starts(self) -> int:
        return self.log.read_text().count(START_LINE) if self.log.exists() else 0

    def _settings_text(self) -> str:
        seeds = ",".join(f"{g.host}:1" for g in self._fleet.gateways[:3])
        port = self._fleet.peer_port
        lines = {
            "node_name": self.name,
            "zone": self._hall,
            "ip": self.host,
            "listen.front": f"{self.host}:{self._port}",
            "listen.ready": f"{self.host}:{self._ready}",
            "internal_port_range": f"{port},{port}",
            "seed_nodes": seeds,
            "platform.address": f"127.0.0.1:{self.store_link.port}",
            "bounds.grace_s": GRACE_SECONDS,
            "bounds.retry_budget_slack": 30,
        }
        return "".join(f"{key}={value}\n" for key, value in lines.items())


class SoakEndpoint:
    """An endpoint behind its link; a restart is another endpoint.

    It `is_listed` once its present incarnation has been. `paces` are those that its
    incarnations may have.
    """

    def __init__(
        self,
        number: int,
        service: str,
        memory: EngineMemory,
        random: Random,
        paces: tuple[float, ...],
    ) -> None:
        self._number = number
        self._service = service
        self._memory = memory
        self._random = random
        self._paces = paces
        self._lives = 0
        self.link = FaultProxy(lambda: ("127.0.0.1", self.standin.port))
        self.past: list[PublishedEndpoint] = []
        self.standin = self._new()
        self.left_at: dict[str, float] = {}
        self.told_draining: set[str] = set()
        self.is_listed = False

    def _new(self) -> PublishedEndpoint:
        self._lives += 1
        identity = f"i-{self._number}-{self._lives}"
        standin = PublishedEndpoint(identity, self._service, self._memory)
        standin.listed_as = lambda: f"127.0.0.1:{self.link.port}"
        standin.drops_closed = self._random.random() < DROPPING_SHARE
        standin.pace = self._random.choice(self._paces)
        return standin

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve behind the link until the present incarnation has ended."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self._serve_standin, nursery.cancel_scope)
            task_status.started()
            await self.link.accept()

    async def _serve_standin(
        self, link: trio.CancelScope, task_status=trio.TASK_STATUS_IGNORED
    ) -> None:
        await self.standin.serve(task_status)
        link.cancel()

    def renew(self) -> None:
        """Put a new incarnation in its place."""
        self.past.append(self.standin)
        self.is_listed = False
        self.standin = self._new()


class Fleet:
    """All processes and stand-ins of one run."""

    def __init__(
        self,
        folder: Path,
        gateways: int,
        services: dict[str, int],
        seed: int = 0,
        paces: tuple[float, ...] = (PACE_SECONDS,),
    ) -> None:
        self.store = PublishedStore()
        self.peer_port = free_port()
        self.gateways: list[Gateway] = []
        for number in range(gateways):
            self.gateways.append(Gateway(self, number, folder))
        memory = EngineMemory()
        names = [name for name, count in services.items() for _ in range(count)]
        self.endpoints = [
            SoakEndpoint(number, service, memory, Random(f"{seed}-{number}"), paces)
            for number, service in enumerate(names)
        ]
        self.config_version = 0
        self._nursery: trio.Nursery | None = None

    async def start(self, nursery: trio.Nursery) -> None:
        """Start everything and wait until the gateways are ready."""
        self._nursery = nursery
        await nursery.start(self.store.serve)
        for endpoint in self.endpoints:
            endpoint.link.start(nursery, free_port())
            await self.start_endpoint(endpoint)
        self.accept_configuration()
        for gateway in self.gateways:
            gateway.store_link.start(nursery, free_port())
            await nursery.start(gateway.store_link.accept)
            gateway.start()

    async def start_endpoint(self, endpoint: SoakEndpoint) -> None:
        """Start an endpoint's stand-in and list it."""
        await self._nursery.start(endpoint.serve)
        self.list_endpoint(endpoint, "ready")

    async def replace(self, endpoint: SoakEndpoint, standin: PublishedEndpoint) -> None:
        """Put a new incarnation in the place of `standin`, if that is still there."""
        if endpoint.standin is not standin:
            return
        standin.crash()
        if standin.identity not in endpoint.left_at:
            self.unlist_endpoint(endpoint)
        endpoint.renew()
        await self.start_endpoint(endpoint)

    def list_endpoint(self, endpoint: SoakEndpoint, state: str) -> None:
        """Write an endpoint's entry."""
        standin = endpoint.standin
        endpoint.is_listed = True
        if state != "ready":
            endpoint.told_draining.add(standin.identity)
            endpoint.left_at.setdefault(standin.identity, trio.current_time())
        self.store.put("servers", standin.identity, standin.entry(state))

    def unlist_endpoint(self, endpoint: SoakEndpoint) -> None:
        """Remove an endpoint's entry."""
        identity = endpoint.standin.identity
        endpoint.left_at.setdefault(identity, trio.current_time())
        if identity in self.store.names("servers"):
            self.store.remove("servers", identity)

    def write_again(self) -> None:
        """Write what operators and endpoints know, and remove what has gone."""
        self.show_configuration(self.config_version)
        present = {e.standin.identity for e in self.endpoints}
        for identity in self.store.names("servers") - present:
            self.store.remove("servers", identity)
        for endpoint in self.endpoints:
            identity = endpoint.standin.identity
            if not endpoint.is_listed or not endpoint.standin.port:
                continue
            if identity not in endpoint.left_at:
                self.list_endpoint(endpoint, "ready")
            elif identity in endpoint.told_draining:
                self.list_endpoint(endpoint, "draining")
            elif identity in self.store.names("servers"):
                self.store.remove("servers", identity)

    def accept_configuration(self) -> int:
        """Accept one more version, with a route named after it."""
        self.config_version += 1
        self.show_configuration(self.config_version)
        return self.config_version

    def show_configuration(self, version: int) -> None:
        """Let the store hold a version, perhaps an older one than before."""
        routes = [("once", "desk", "unsafe"), ("again", "desk", "safe")]
        routes.append(("stream", "model", "streaming"))
        names = range(1, version + 1)
        routes += [(f"v{number}", "desk", "safe") for number in names]
        self.store.put("config", "main", self._configuration(version, routes))

    def standins(self) -> list[PublishedEndpoint]:
        """Return all incarnations of all endpoints."""
        return [s for e in self.endpoints for s in (*e.past, e.standin)]

    def heal(self) -> None:
        """End all faults of links and of the store."""
        for link in (
            *(gateway.store_link for gateway in self.gateways),
            *(endpoint.link for endpoint in self.endpoints),
        ):
            if link.fault is not LinkFault.NONE:
                link.set_fault(LinkFault.NONE)

    def close(self) -> None:
        """End the processes that this run started."""
        for gateway in self.gateways:
            gateway.close()

    def _configuration(self, version: int, routes) -> dict:
        engine = {
            "slots": 24,
            "kv_capacity_tokens": 34_000,
            "kv_token_bytes": 327_680,
            "link_mbps": 20_000.0,
            "moves": True,
            "backups": True,
            "handle_ttl_s": 5.0,
            "stride": TOKENS_AN_EVENT,
        }
        return {
            "version": version,
            "routes": [
                {
                    "name": name,
                    "host": HOST,
                    "path_prefix": f"/{name}/",
                    "kind": kind,
                    "service": service,
                    "timeout_ms": 8_000 if kind == "streaming" else 800,
                    "target_latency_ms": 150,
                    "max_attempts": 2 if kind == "safe" else 1,
                }
                for name, service, kind in routes
            ],
            "services": [
                {"name": "desk", "max_connections": 500},
                {"name": "model", "max_connections": 500, "engine": engine},
            ],
            "limits": {"idle_timeout_ms": 5_000},
            "tenants": [
                {"name": name, "api_keys": [key]} for key, name in ACCOUNTS.items()
            ],
        }
