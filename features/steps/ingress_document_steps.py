"""Steps for documents that take long to cross a link."""

from __future__ import annotations

from contextlib import ExitStack
from math import inf
from random import Random
from unittest.mock import patch

import trio
from behave import given, then, when
from ingress_call_steps import given_healthy
from support.ingress_world import configuration, route, TIMEOUT_MS
from support.paced_link import PacedLink, PacedStream
from support.stream_reading import wait_for_peers

from piershore.core.configuration.relays import RELAYS_PER_DATA_HALL
from piershore.core.fleet.fleet_load import PlainWork
from piershore.ingress.peers.peer_documents import PeerDocuments
from standins.published_store import StoreFault

KILOBYTE = 1_000
KINDS_WATCHED = 3
"""Watches of one gateway: configuration, endpoints and drained data halls."""
FIRST_VERSION = 4
NEXT_VERSION = 8
ADDED = "added"
LISTED_MORE = "i-more-{}"


def random_word(random):
    return f"{random.getrandbits(64):016x}"


def large_configuration(version, routes):
    """Return a configuration whose added routes have little in common."""
    random = Random(version)
    document = configuration(version)
    for _ in range(routes):
        word = random_word(random)
        host = f"{random_word(random)}.example"
        document["routes"].append(route(word, "desk", "unsafe", host=host))
    document["routes"].append(route(ADDED, "desk", "unsafe"))
    return document


@given("{count:d} gateways whose links to each other carry {rate:d} KB a second")
def given_paced_gateways(context, count, rate):
    given_healthy(context)
    world = context.ingress
    world._start_gateways = count
    links = {}
    context.breaks_after = inf
    serve = PeerDocuments.serve

    async def serve_paced(documents, stream):
        link = links.setdefault(documents._host, PacedLink(rate * KILOBYTE))
        await serve(documents, PacedStream(stream, link, context.breaks_after))

    stack = ExitStack()
    stack.enter_context(patch.object(PeerDocuments, "serve", serve_paced))
    context.add_cleanup(stack.close)
    context.links = links


@given("{count:d} gateways whose links to the store carry {rate:d} KB a second")
def given_paced_store(context, count, rate):
    given_healthy(context)
    world = context.ingress
    world._start_gateways = count
    link = PacedLink(rate * KILOBYTE)
    serve = world.store._serve_one

    async def serve_paced(stream):
        await serve(PacedStream(stream, link))

    world.store._serve_one = serve_paced


@given("connections between gateways that break after {size:d} KB")
def given_breaks(context, size):
    context.breaks_after = size * KILOBYTE


@given("a configuration of {count:d} routes")
def given_large(context, count):
    document = large_configuration(FIRST_VERSION, count)
    del document["routes"][-1]
    context.ingress.configuration = document


@when("an operator adds {count:d} routes")
def add_routes(context, count):
    async def script(world):
        await wait_for_watchers(world)
        world.store.put("config", "main", large_configuration(NEXT_VERSION, count))
        await wait_all_served(context, world)

    context.script = script


@when("an operator adds one route")
def add_one_route(context):
    async def script(world):
        await wait_for_watchers(world)
        for link in context.links.values():
            link.passed = 0
        document = {**world.configuration, "version": NEXT_VERSION}
        added = route(ADDED, "desk", "unsafe")
        document["routes"] = [*document["routes"], added]
        world.store.put("config", "main", document)
        await wait_all_served(context, world)

    context.script = script


@when(
    "an operator adds {count:d} routes and edits them {edits:d} times, "
    "{pause:g} s apart"
)
def add_and_edit(context, count, edits, pause):
    async def script(world):
        await wait_for_watchers(world)
        document = large_configuration(NEXT_VERSION, count)
        *others, added = document["routes"]
        for edit in range(edits + 1):
            document = {**document, "version": NEXT_VERSION + edit}
            is_last = edit == edits
            edited = {**others[edit], "timeout_ms": TIMEOUT_MS + edit}
            others = [edited if r is others[edit] else r for r in others]
            document["routes"] = [*others, added] if is_last else others
            world.store.put("config", "main", document)
            await trio.sleep(pause)
        await wait_all_served(context, world)

    context.script = script


@when(
    "an operator adds {count:d} routes, the first gateways have them, "
    "and the store goes down"
)
def add_and_lose_store(context, count):
    async def script(world):
        await wait_for_watchers(world)
        world.store.put("config", "main", large_configuration(NEXT_VERSION, count))
        while not any(map(has_next, world.gateways.values())):
            await trio.sleep(0.01)
        world.store.fault = StoreFault.SILENT
        world.store.cut_watches()
        started = len(world.gateways)
        await world.start_gateway(started, wait=False)
        context.ingress._start_gateways = started + 1
        await wait_all_served(context, world)

    context.script = script


def has_next(gateway):
    _, daemon = gateway
    return daemon._state.configuration.version >= NEXT_VERSION


async def wait_all_served(context, world):
    context.statuses = {}
    with trio.move_on_after(context.seconds):
        for number in world.gateways:
            await world.wait_until(is_served, context, world, number)


@then("no gateway sent its peers more than {size:d} KB")
def check_sent(context, size):
    sent = {host: link.passed for host, link in context.links.items()}
    assert max(sent.values(), default=0) <= size * KILOBYTE, sent


@when("the first has work at {count:d} endpoints for {seconds:g} s")
def work_everywhere(context, count, seconds):
    async def script(world):
        await wait_for_peers(world)
        (_, first), (_, second) = world.gateways.values()
        for number in range(count):
            first._state.fleet_load.add(LISTED_MORE.format(number), PlainWork())
        context.fleet_sizes = set()
        with trio.move_on_after(seconds):
            while True:
                context.fleet_sizes.add(second._state.gateway_count)
                await trio.sleep(0.02)

    context.ingress.run(script)


@then("the second counts it as live all the time")
def check_living(context):
    assert context.fleet_sizes == {2}, context.fleet_sizes


async def wait_for_watchers(world):
    """Wait until only the gateways that pass on changes watch the store."""
    await wait_for_peers(world)
    while world.store.counts.watches > KINDS_WATCHED * RELAYS_PER_DATA_HALL:
        await trio.sleep(0.02)


async def is_served(context, world, number):
    reply = await world.call(ADDED, number=number)
    context.statuses[number] = reply.status
    return reply.status == 200


@then("each gateway serves an added route within {seconds:d} s")
def check_served_everywhere(context, seconds):
    context.seconds = seconds
    context.ingress.run(context.script)
    served = [status == 200 for status in context.statuses.values()]
    assert served == [True] * context.ingress._start_gateways, context.statuses


@when("{count:d} endpoints are listed and one of them leaves")
def list_endpoints(context, count):
    async def script(world):
        await wait_for_watchers(world)
        model = world.endpoints[0]
        for number in range(count):
            identity = LISTED_MORE.format(number)
            world.store.put("servers", identity, model.entry("ready"))
        last = LISTED_MORE.format(count - 1)
        with trio.move_on_after(context.seconds):
            while not all(
                is_known_to(daemon, last) for _, daemon in world.gateways.values()
            ):
                await trio.sleep(0.05)
            world.store.put("servers", last, model.entry("draining"))
            while not all(
                daemon._state.directory.is_leaving(last)
                for _, daemon in world.gateways.values()
            ):
                await trio.sleep(0.05)
        context.knowing = [
            number
            for number, (_, daemon) in world.gateways.items()
            if is_known_to(daemon, last) and daemon._state.directory.is_leaving(last)
        ]

    context.script = script


def is_known_to(daemon, identity):
    return daemon._state.directory.get(identity) is not None


@then("each gateway knows that it leaves within {seconds:d} s")
def check_known_everywhere(context, seconds):
    context.seconds = seconds
    context.ingress.run(context.script)
    assert context.knowing == list(context.ingress.gateways), context.knowing
