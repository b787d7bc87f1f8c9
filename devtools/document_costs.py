"""`python -m devtools.document_costs`: what a new configuration costs, by its size.

Six gateways of one data hall, two of which watch the store, on links of 5 Mbit/s to
each other: seconds from the change until the last one has it, bytes that the busiest
gateway sends to its peers, and the longest time in which one does nothing else while it
takes the version.
"""

from __future__ import annotations

import gc
import sys
from collections.abc import Iterator
from dataclasses import dataclass
from random import Random
from time import process_time
from unittest.mock import patch

import trio

from features.support.ingress_world import configuration, IngressWorld, route
from features.support.paced_link import PacedLink, PacedStream
from piershore.core.attempts.retry_budget import RetryLimits
from piershore.core.configuration.relays import RELAYS_PER_DATA_HALL
from piershore.core.fleet.endpoint import Address
from piershore.ingress.followers.configuration_follower import ConfigurationFollower
from piershore.ingress.gateway_state import GatewayState
from piershore.ingress.peers.peer_documents import PeerDocuments
from piershore.platform.feeds import build_document, StoredConfigurationFeed
from piershore.platform.headers import PlatformDialect
from piershore.telemetry.event_log import EventLog

ROUTES = (50, 400, 1_400, 4_000)
GATEWAYS = 6
BYTES_PER_SECOND = 625_000
KINDS_WATCHED = 2
SETTLE_SECONDS = 0.05
TURNS_AFTER = 3
LONGEST_SECONDS = 30.0
HEAD = """\
| routes | all: s | sent KB | one more: s | sent KB | turn, all: ms | one more: ms |
| --- | --- | --- | --- | --- | --- | --- |"""
NOT_IN_FORCE = float("inf")
MILLISECONDS = 1_000


@dataclass(frozen=True)
class Cost:
    """What one change cost; `seconds` is infinite if it did not come into force."""

    seconds: float
    sent_kilobytes: float


def main() -> int:
    """Print a table."""
    print(HEAD)
    for routes in ROUTES:
        whole, more = play(routes)
        held = trio.run(longest_holds, routes)
        print(
            f"| {routes} | {whole.seconds:.2f} | {whole.sent_kilobytes:.0f}"
            f" | {more.seconds:.2f} | {more.sent_kilobytes:.1f}"
            f" | {held[0] * MILLISECONDS:.1f} | {held[1] * MILLISECONDS:.1f} |",
            flush=True,
        )
    return 0


def documents(routes: int) -> Iterator[dict]:
    """Yield a configuration with few routes, one with many, and one with one more."""
    yield configuration(4)
    random = Random(routes)
    document = configuration(8)
    for _ in range(routes + 1):
        name, host = f"{random.getrandbits(64):016x}", f"{random.getrandbits(64):016x}"
        added = route(name, "desk", "unsafe", host=f"{host}.example")
        document["routes"].append(added)
    yield {**document, "routes": document["routes"][:-1]}
    yield {**document, "version": 9}


def play(routes: int) -> tuple[Cost, Cost]:
    """Return the costs of adding the routes, and of one more."""
    world = IngressWorld()
    world.add_endpoints("desk", 1)
    world._start_gateways = GATEWAYS
    first, *changes = documents(routes)
    world.configuration = first
    links: dict[str, PacedLink] = {}
    serve = PeerDocuments.serve
    costs = []

    async def serve_paced(served: PeerDocuments, stream: trio.SocketStream) -> None:
        link = links.setdefault(served._host, PacedLink(BYTES_PER_SECOND))
        await serve(served, PacedStream(stream, link))

    async def script(world: IngressWorld) -> None:
        while world.store.counts.watches > KINDS_WATCHED * RELAYS_PER_DATA_HALL:
            await trio.sleep(0.01)
        for change in changes:
            costs.append(await cost_of(world, change, links))

    with patch.object(PeerDocuments, "serve", serve_paced):
        world.run(script)
    return costs[0], costs[1]


async def cost_of(
    world: IngressWorld, change: dict, links: dict[str, PacedLink]
) -> Cost:
    """Put a configuration into the store and wait until all have it."""
    for link in links.values():
        link.passed = 0
    started = trio.current_time()
    world.store.put("config", "main", change)
    seconds = NOT_IN_FORCE
    with trio.move_on_after(LONGEST_SECONDS):
        while any(
            daemon._state.configuration.version < change["version"]
            for _, daemon in world.gateways.values()
        ):
            await trio.sleep(0.002)
        seconds = trio.current_time() - started
    return Cost(seconds, max((link.passed for link in links.values()), default=0) / 1e3)


async def longest_holds(routes: int) -> list[float]:
    """Return the longest turns, of processor time: taking all routes, and one more."""
    state = GatewayState(
        "hall", PlatformDialect(), RetryLimits(0.2, 1, 1), EventLog("costs"), Random(1)
    )
    feed = StoredConfigurationFeed(Address("127.0.0.1", 1))
    follower = ConfigurationFollower(state, feed, 1.0)
    _, *changes = documents(routes)
    holds = []
    for change in changes:
        async with trio.open_nursery() as nursery:
            gaps: list[float] = []
            nursery.start_soon(note_gaps, gaps)
            gc.collect()
            gc.freeze()  # As the daemon does once it has started.
            await trio.sleep(SETTLE_SECONDS)
            gaps.clear()
            document = await build_document(change, change["version"])
            await follower.apply(document, "store")
            for _ in range(TURNS_AFTER):
                await trio.lowlevel.checkpoint()
            nursery.cancel_scope.cancel()
        holds.append(max(gaps))
    return holds


async def note_gaps(gaps: list[float]) -> None:
    """Note the processor time of each turn of the event loop."""
    last = process_time()
    while True:
        await trio.lowlevel.checkpoint()
        now = process_time()
        gaps.append(now - last)
        last = now


if __name__ == "__main__":
    sys.exit(main())
