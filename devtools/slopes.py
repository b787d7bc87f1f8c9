"""`make slopes`: memory and CPU time for each thing that grows with the size."""

from __future__ import annotations

import gc
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass
from random import Random
from statistics import median

import httpx
import orjson
import psutil
from tabulate import tabulate

from devtools.caller import Caller, read_events
from devtools.deployment import Deployment, wait_until
from piershore.core.configuration.codec import encode
from piershore.core.configuration.config_view import ConfigView
from piershore.core.configuration.objects import (
    AccountParameters,
    ClientAccount,
    EndpointStatus,
    ObjectKind,
)
from piershore.core.configuration.stored_object import ObjectName, StoredObject
from piershore.core.ownership.claim import Answer
from piershore.core.ownership.interval import Owner
from piershore.core.ownership.minted_key import MintedKey
from piershore.core.ownership.slot_owner import OwnershipSettings, SlotOwner
from piershore.core.ownership.slot_table import SlotTable
from piershore.core.streams.generation import Generation
from piershore.wire.config_batches import BatchCursor, BatchReceiver
from piershore.wire.link_pb2 import AgentFrame, ConfigBatch, Heartbeat

KILOBYTE = 1_000
MICRO = 1e6
MODEL = "design-review"
SERVICE = "order-desk"


@dataclass(frozen=True)
class Slope:
    """One measured figure."""

    role: str
    what: str
    figure: float
    unit: str


def resident() -> int:
    """Return this process's resident memory in bytes."""
    gc.collect()
    return psutil.Process().memory_info().rss


def grown(build: Callable[[], object], count: int) -> float:
    """Return the bytes that each of `count` built things takes."""
    before = resident()
    kept = build()
    after = resident()
    assert kept is not None
    return (after - before) / count


def spent(work: Callable[[], object], count: int) -> float:
    """Return the CPU seconds that each of `count` things takes."""
    before = time.process_time()
    work()
    return (time.process_time() - before) / count


def core_slopes() -> Iterator[Slope]:
    """Yield memory and CPU of the core's state."""
    yield Slope("agent", "stream of 1,000 tokens", stream_bytes() / KILOBYTE, "KB")
    yield Slope("agent", "claim with an answer of 200 B", claim_bytes(), "B")
    accounts = [account(n) for n in range(4_500)]
    endpoints = [endpoint(n) for n in range(2_300)]
    view = ConfigView()
    each = grown(lambda: fill(view, accounts), len(accounts))
    yield Slope("every box", "client account known", each, "B")
    each = grown(lambda: fill(view, endpoints), len(endpoints))
    yield Slope("every box", "endpoint known", each, "B")
    view.mark_complete(7_000)
    each = spent(lambda: apply_changes(view, 2_000), 2_000)
    yield Slope("every box", "config change applied", each * MICRO, "us CPU")
    batches = list(BatchCursor(view, 0).next_batches())
    size = sum(len(batch.SerializeToString()) for batch in batches)
    yield Slope("every box", "whole configuration as messages", size / 1e6, "MB")
    each = spent(lambda: receive_all(batches), 1)
    yield Slope("every box", "whole configuration applied", each, "s CPU")
    beat = Heartbeat(running=64, queued=10, free_share=0.5, complete_to=10**6)
    size = len(AgentFrame(heartbeat=beat).SerializeToString())
    yield Slope("link", "heartbeat of a model's agent", size, "B")


def receive_all(batches: list[ConfigBatch]) -> None:
    """Apply the messages of one stream to an empty view."""
    receiver = BatchReceiver(ConfigView())
    for batch in batches:
        receiver.apply(batch)


def stream_bytes() -> float:
    """Return the memory of a running generation with 1,000 tokens."""

    def build() -> list[Generation]:
        streams = []
        for number in range(300):
            stream = Generation(str(number), "a", 65_536, 0.0)
            for first in range(0, 1_000, 10):
                tokens = tuple(f"t{number}.{first + i} " for i in range(10))
                stream.append(first, tokens, 0.0)
            streams.append(stream)
        return streams

    return grown(build, 300)


def claim_bytes() -> float:
    """Return the memory of a finished claim."""
    owner = SlotOwner("s", Owner("e", "i"), OwnershipSettings(answers_kept=10**6))
    table = SlotTable.create("s", 1, 0).take(0, Owner("e", "i"), 10**6)
    owner.confirm(table, 1)
    random = Random(1)

    def build() -> SlotOwner:
        for number in range(20_000):
            key = MintedKey.mint(number + 1, random)
            owner.decide(key)
            owner.finish(key, Answer(200, b"x" * 200 + str(number).encode()))
        return owner

    return grown(build, 20_000)


def account(number: int) -> StoredObject:
    """Return a client account of usual size."""
    spec = ClientAccount(
        template="shop",
        key_hashes=(f"{number:064x}",),
        overrides=AccountParameters(priorities={"draft": 1, "tag": 2}),
        services=("design-review", "order-desk"),
    )
    name = ObjectName(ObjectKind.ACCOUNT, f"account-{number}")
    return StoredObject(name, number + 1, encode(spec))


def endpoint(number: int) -> StoredObject:
    """Return an endpoint of usual size."""
    spec = EndpointStatus("design-review", "hall", "10.0.0.1:8090", f"{number:032x}")
    name = ObjectName(ObjectKind.ENDPOINT, f"endpoint-{number}")
    return StoredObject(name, 5_000 + number, encode(spec))


def fill(view: ConfigView, objects: list[StoredObject]) -> ConfigView:
    """Apply all objects."""
    for stored in objects:
        view.apply(stored)
    return view


def apply_changes(view: ConfigView, count: int) -> None:
    """Apply changes of one account after another."""
    for number in range(count):
        stored = account(number)
        view.apply(StoredObject(stored.name, 10_000 + number, stored.value))


def import_slopes() -> Iterator[Slope]:
    """Yield the resident memory of the processes' imports."""
    modules = {
        "bare interpreter": "sys",
        "agent": "piershore.agent.daemon",
        "gateway": "piershore.gateway.daemon",
        "verb status": "piershore.commands.status_command",
    }
    for name, module in modules.items():
        code = f"import {module}, psutil;print(psutil.Process().memory_info().rss)"
        output = subprocess.run(
            [sys.executable, "-c", code], check=True, capture_output=True, text=True
        ).stdout
        yield Slope(name, "resident after import", int(output) / 1e6, "MB")


@contextmanager
def path() -> Iterator[Deployment]:
    """Start one gateway, one agent of each type and fast stand-ins."""
    deployment = Deployment()
    try:
        deployment.start_platform()
        deployment.start_engine("engine", capacity=400_000, speed=4.0)
        deployment.start_service("desk")
        deployment.start_gateway("gateway", "ikeja")
        deployment.wait_standins()
        deployment.wait_ready("gateway")
        deployment.load_examples("gateway", "adebayo")
        raise_limits(deployment)
        deployment.start_agent("review", MODEL, "ikeja", "engine")
        deployment.start_agent("order", SERVICE, "ikeja", "desk")
        deployment.wait_boxes("gateway", 3)
        url = f"{deployment.url('gateway')}/v1/keys/{SERVICE}"
        headers = {"Authorization": "Bearer key-surulere"}
        wait_until(
            lambda: deployment.client.post(url, headers=headers).is_success, "owners"
        )
        yield deployment
    finally:
        deployment.close()


def raise_limits(deployment: Deployment) -> None:
    """Take the example's limits out of the way."""
    changes = {"overrides": {"requests_per_second": 1e6, "concurrent_requests": 10**6}}
    edit(deployment, "accounts/surulere", changes)
    admission = {"policy": "fixed_slots", "capacity_tokens": 400_000, "slots": 200}
    edit(deployment, f"services/{MODEL}", {"admission": admission})


def edit(deployment: Deployment, path: str, changes: dict) -> None:
    """Make an operator's edit."""
    etag = deployment.admin("gateway", "GET", path).headers["ETag"]
    answer = deployment.admin("gateway", "PATCH", path, changes, {"If-Match": etag})
    answer.raise_for_status()


def cpu(deployment: Deployment, name: str) -> float:
    """Return the CPU seconds that a process has spent."""
    times = psutil.Process(deployment.process(name).pid).cpu_times()
    return times.user + times.system


def path_slopes() -> Iterator[Slope]:
    """Yield what requests and tokens cost on the path."""
    with path() as deployment:
        yield from idle_slopes(deployment)
        yield from call_slopes(deployment)
        yield from token_slopes(deployment)
        yield from latency_slopes(deployment)


def idle_slopes(deployment: Deployment) -> Iterator[Slope]:
    """Yield memory and CPU of idle processes."""
    names = ("gateway", "review", "order")
    before = {name: cpu(deployment, name) for name in names}
    started = time.monotonic()
    time.sleep(10)
    seconds = time.monotonic() - started
    for name in names:
        share = (cpu(deployment, name) - before[name]) / seconds
        memory = psutil.Process(deployment.process(name).pid).memory_info().rss
        yield Slope(name, "resident, idle", memory / 1e6, "MB")
        yield Slope(name, "CPU, idle", 100 * share, "% of a core")


def call_slopes(deployment: Deployment, count: int = 2_000) -> Iterator[Slope]:
    """Yield the CPU time of plain calls, repeatable or not."""
    for label, kind in (("call", "panel_status"), ("call once", "order_lookup")):
        caller = Caller(deployment.url("gateway"), "key-surulere")
        names = ("gateway", "order")
        before = {name: cpu(deployment, name) for name in names}
        started = time.monotonic()
        with ThreadPoolExecutor(16) as pool:
            results = list(
                pool.map(
                    lambda n, c=caller, k=kind: c.call(SERVICE, k, tag=str(n)),
                    range(count),
                )
            )
        seconds = time.monotonic() - started
        assert all(result.is_whole for result in results), results[0]
        yield Slope("path", f"{label}: rate", count / seconds, "requests/s")
        for name in names:
            each = (cpu(deployment, name) - before[name]) / count
            yield Slope(name, f"{label}", each * MICRO, "us CPU")
        caller.close()


def token_slopes(deployment: Deployment) -> Iterator[Slope]:
    """Yield the CPU time of streamed tokens."""
    streams, length = 48, 600
    caller = Caller(deployment.url("gateway"), "key-surulere")
    names = ("gateway", "review")
    before = {name: cpu(deployment, name) for name in names}
    memory = psutil.Process(deployment.process("review").pid).memory_info().rss
    started = time.monotonic()
    with ThreadPoolExecutor(streams) as pool:
        results = list(
            pool.map(
                lambda n: caller.stream(MODEL, "fabrication_report", length, str(n)),
                range(streams),
            )
        )
    seconds = time.monotonic() - started
    assert all(result.is_whole for result in results), results[0]
    tokens = streams * length
    yield Slope("path", "streamed tokens: rate", tokens / seconds, "tokens/s")
    for name in names:
        each = (cpu(deployment, name) - before[name]) / tokens
        yield Slope(name, "streamed token", each * MICRO, "us CPU")
    grown_by = psutil.Process(deployment.process("review").pid).memory_info().rss
    each = (grown_by - memory) / streams / KILOBYTE
    yield Slope("review", "stream of 600 tokens, whole process", each, "KB")
    caller.close()


def latency_slopes(deployment: Deployment, rounds: int = 40) -> Iterator[Slope]:
    """Yield the path's latency over the engine's own, taken in turns."""
    client = httpx.Client(timeout=30.0, trust_env=False)
    caller = Caller(deployment.url("gateway"), "key-surulere")
    direct: list[list[float]] = []
    through: list[list[float]] = []
    for number in range(rounds):
        direct.append(time_direct(client, deployment, number))
        through.append(time_through(caller, number))
    for label, place in (("first token", 0), ("between tokens p95", 1)):
        own = median(times[place] for times in direct)
        ours = median(times[place] for times in through)
        yield Slope("path", f"{label}: engine alone", 1_000 * own, "ms")
        yield Slope("path", f"{label}: through the path", 1_000 * ours, "ms")
        yield Slope("path", f"{label}: ratio", ours / own, "x")
    client.close()
    caller.close()


def time_direct(
    client: httpx.Client, deployment: Deployment, number: int
) -> list[float]:
    """Return first-token time and p95 gap of the engine alone."""
    body = {
        "id": f"direct{number}",
        "prompt": f"length=40 {number}",
        "max_tokens": 100,
        "priority": 0,
    }
    url = deployment.url("engine") + "/v1/generations"
    moments = [time.monotonic()]
    with client.stream("POST", url, content=orjson.dumps(body)) as response:
        moments.extend(time.monotonic() for line in response.iter_lines() if line)
    return _summary(moments[:-1])


def time_through(caller: Caller, number: int) -> list[float]:
    """Return the same through gateway and agent."""
    moments = [time.monotonic()]
    with caller.open_stream(MODEL, "fabrication_report", 40, str(number)) as response:
        for event in read_events(response):
            if event.text:
                moments.append(time.monotonic())
    return _summary(moments)


def _summary(moments: list[float]) -> list[float]:
    gaps = [
        later - earlier for earlier, later in zip(moments, moments[1:], strict=False)
    ]
    ordered = sorted(gaps[1:])
    return [gaps[0], ordered[int(0.95 * len(ordered))]]


def main() -> None:
    """Measure everything and print the table."""
    slopes = [*import_slopes(), *core_slopes(), *path_slopes()]
    rows = [(s.role, s.what, f"{s.figure:.4g}", s.unit) for s in slopes]
    print(tabulate(rows, ("role", "what", "figure", "unit"), tablefmt="github"))


if __name__ == "__main__":
    main()
