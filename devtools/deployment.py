"""A small deployment of real processes and stand-ins on this machine."""

from __future__ import annotations

import shutil
import tempfile
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import TypeVar

import httpx
from ruamel.yaml import YAML

from devtools.ports import free_port
from devtools.process import Process
from piershore.gateway.account_directory import key_hash
from piershore.settings.load import load_documents

OPERATOR_KEY = "operator-key"
WAIT_SECONDS = 30.0
PAUSE_SECONDS = 0.02
EXAMPLES = Path(__file__).parent.parent / "examples"
COLLECTIONS = {
    "AccountTemplate": "templates",
    "ClientAccount": "accounts",
    "Service": "services",
}

Value = TypeVar("Value")


def wait_until(
    condition: Callable[[], Value], what: str, seconds: float = WAIT_SECONDS
) -> Value:
    """Wait until `condition` returns something true, and return that."""
    deadline = time.monotonic() + seconds
    while True:
        try:
            value = condition()
        except httpx.HTTPError:
            value = None
        if value:
            return value
        if time.monotonic() > deadline:
            raise TimeoutError(f"waited {seconds} s for {what}")
        time.sleep(PAUSE_SECONDS)


class Deployment:
    """Starts and ends processes; ports are picked free."""

    def __init__(self) -> None:
        self._folder = Path(tempfile.mkdtemp(prefix="piershore-"))
        self._processes: dict[str, Process] = {}
        self._addresses: dict[str, str] = {}
        self._probes: dict[str, str] = {}
        self._client = httpx.Client(timeout=30.0, trust_env=False)

    @property
    def client(self) -> httpx.Client:
        """A client for the HTTP APIs."""
        return self._client

    @property
    def processes(self) -> dict[str, Process]:
        """All processes that were started, by name."""
        return self._processes

    def close(self) -> None:
        """End all processes and drop their files."""
        for process in self._processes.values():
            process.close()
        self._client.close()
        shutil.rmtree(self._folder, ignore_errors=True)

    def peer_address(self, gateway: str) -> str:
        """Return where a gateway serves its peers."""
        return self.reserve_address(f"{gateway}/peers")

    def process(self, name: str) -> Process:
        """Return a started process."""
        return self._processes[name]

    def url(self, name: str) -> str:
        """Return the base URL of a stand-in or gateway."""
        return f"http://{self._addresses[name]}"

    def address(self, name: str) -> str:
        """Return host:port of a process."""
        return self._addresses[name]

    def start_platform(self) -> None:
        """Start the platform's stand-in and wait until it answers."""
        self._start_standin("platform", "platform", "/_counts")
        self.wait_standins()

    def start_engine(
        self, name: str, capacity: int = 16_384, speed: float = 1.0
    ) -> None:
        """Start a model engine's stand-in."""
        options = ["--capacity", str(capacity), "--speed", str(speed)]
        self._start_standin(name, "engine", "/v1/load", options)

    def start_service(self, name: str) -> None:
        """Start a plain service's stand-in."""
        self._start_standin(name, "service", "/_executions")

    def start_gateway(self, name: str, data_hall: str, **settings: object) -> None:
        """Start a gateway and enter it in the platform's list."""
        listen = self.reserve_address(name)
        peer = self.peer_address(name)
        spec = {
            "data_hall": data_hall,
            "listen": listen,
            "peer_listen": peer,
            "platform_url": self.url("platform"),
            "operator_key_hashes": [key_hash(OPERATOR_KEY)],
            "leave_notice": 0.2,
            "box_list_period": 0.5,
            **settings,
        }
        self._start_daemon("gateway", name, spec)
        self.enter_box(name, "gateway", data_hall, peer)

    def start_agent(
        self,
        name: str,
        service: str,
        data_hall: str,
        endpoint: str,
        **settings: object,
    ) -> None:
        """Start an agent beside a started endpoint and enter it in the list."""
        spec = {
            "data_hall": data_hall,
            "service": service,
            "listen": self.reserve_address(name),
            "platform_url": self.url("platform"),
            "endpoint_url": self.url(endpoint),
            **settings,
        }
        self._start_daemon("agent", name, spec)
        address = spec.get("advertise", spec["listen"])
        self.enter_box(name, "agent", data_hall, address)

    def enter_box(
        self, name: str, role: str, data_hall: str, peer: str, state: str = "live"
    ) -> None:
        """Enter a box in the platform's list, or change its state."""
        entry = {
            "name": name,
            "role": role,
            "data_hall": data_hall,
            "peer_address": peer,
            "state": state,
        }
        self._client.post(self.url("platform") + "/_boxes", json=entry)

    def set_faults(self, **faults: object) -> None:
        """Switch faults of the platform's stand-in."""
        self._client.post(self.url("platform") + "/_faults", json=faults)

    def keep_copy(self) -> None:
        """Let the platform's stand-in keep a copy of what it holds."""
        self._client.post(self.url("platform") + "/_copies")

    def come_back(self) -> int:
        """Let it come back from that copy; return its era then."""
        return self._client.post(self.url("platform") + "/_returns").json()["era"]

    def admin(
        self,
        gateway: str,
        method: str,
        path: str,
        body: object = None,
        headers: dict[str, str] | None = None,
    ) -> httpx.Response:
        """Call the admin API."""
        authorization = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        return self._client.request(
            method,
            f"{self.url(gateway)}/admin/v1/{path}",
            json=body,
            headers={**authorization, **(headers or {})},
        )

    def wait_ready(self, gateway: str) -> None:
        """Wait until a gateway is ready."""
        url = self.url(gateway) + "/readyz"
        wait_until(lambda: self._client.get(url).is_success, f"{gateway} to be ready")

    def wait_boxes(self, gateway: str, count: int) -> None:
        """Wait until a gateway reports `count` boxes as live."""

        def is_complete() -> bool:
            boxes = self.admin(gateway, "GET", "status").json()["boxes"]
            return sum(box["state"] == "live" for box in boxes) == count

        wait_until(is_complete, f"{count} live boxes at {gateway}")

    def wait_links(self, gateway: str, count: int) -> None:
        """Wait until a gateway's own links to `count` agents are open.

        What it reports of boxes comes from all gateways, whose links may be others.
        """
        url = self.url(gateway) + "/metrics"
        line = f"piershore_links {float(count)}\n"
        wait_until(
            lambda: line in self._client.get(url).text, f"{count} links at {gateway}"
        )

    def load_examples(self, gateway: str, deployment: str) -> None:
        """Write a deployment's example objects through the admin API."""
        for file in ("services", "templates", "accounts"):
            path = EXAMPLES / deployment / f"{file}.yaml"
            load_documents(str(path))
            for document in YAML(typ="safe").load_all(path):
                self.create(gateway, document)

    def create(self, gateway: str, document: dict) -> int:
        """Write one object that is new; return its version."""
        path = f"{COLLECTIONS[document['kind']]}/{document['name']}"
        answer = wait_until(
            lambda: self.admin(
                gateway, "PUT", path, document["spec"], {"If-None-Match": "*"}
            ),
            "the platform",
        )
        answer.raise_for_status()
        return answer.json()["version"]

    def reserve_address(self, name: str) -> str:
        """Return the address of a process; one that starts again keeps it."""
        return self._addresses.setdefault(name, f"127.0.0.1:{free_port()}")

    def _start_standin(
        self, name: str, module: str, probe: str, options: list[str] | None = None
    ) -> None:
        listen = ["--listen", self.reserve_address(name)]
        arguments = ["-m", f"standins.{module}", *listen, *(options or [])]
        self._spawn(name, arguments)
        self._probes[name] = self.url(name) + probe

    def wait_standins(self) -> None:
        """Wait until all started stand-ins answer."""
        while self._probes:
            name, url = self._probes.popitem()
            probe = partial(self._client.get, url)
            wait_until(lambda probe=probe: probe().is_success, f"{name} to answer")

    def _start_daemon(self, verb: str, name: str, spec: dict) -> None:
        file = self._folder / f"{name}.yaml"
        with file.open("w") as stream:
            YAML().dump({"kind": verb.title(), "name": name, "spec": spec}, stream)
        self._spawn(name, ["-m", "piershore", verb, f"--config={file}"])

    def _spawn(self, name: str, arguments: list[str]) -> None:
        log = self._folder / f"{name}.log"
        self._processes[name] = Process(name, arguments, log)
