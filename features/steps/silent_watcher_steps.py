"""Steps for gateways that rely on others to watch the store."""

from __future__ import annotations

import time
from collections import Counter
from contextlib import asynccontextmanager
from dataclasses import replace

import trio
from behave import given, then, when
from ingress_call_steps import given_healthy
from ingress_document_steps import KINDS_WATCHED
from support.stream_reading import with_route

from devtools.link_relay import LinkRelay
from piershore.core.fleet.endpoint import Address
from piershore.core.fleet.report_timing import report_interval
from piershore.core.fleet.watchers import max_watcher_report_age

SETTLED_SECONDS = 30.0
"""Maximum time until only those watch that should."""
SETTLED_SIGHTINGS = 10
BOUND_SECONDS = 2.0
MEASURED_SECONDS = 6.0
"""Some watches of each kind."""
WATCHERS = 2
PAUSES = 8
CHECKS_AFTER_PAUSE = 10


@given("{count:d} gateways of one data hall, of which {watchers:d} watch the store")
def given_fleet(context, count, watchers):
    given_healthy(context)
    context.ingress._start_gateways = 0
    context.count, context.watchers = count, watchers


@asynccontextmanager
async def fleet_of(world, count, watchers):
    """Run gateways, each with its own link to the store, until only `watchers` watch.

    Provide the links.
    """
    links = []
    try:
        for number in range(count):
            links.append(LinkRelay(f"127.0.0.1:{world.store.port}"))
            settings = replace(
                world.settings(number), store_address=Address.parse(links[-1].address)
            )
            await world.start_gateway(number, settings=settings, wait=False)
        for number in range(count):
            await world.wait_until(world.is_ready, number)
        with trio.fail_after(SETTLED_SECONDS):
            await settle(world, watchers)
        assert len(watching(world)) == watchers
        yield links
    finally:
        for link in links:
            link.close()


async def settle(world, watchers):
    """Wait until only some gateways watch; those sometimes pause between two watches."""
    sightings = 0
    while sightings < SETTLED_SIGHTINGS:
        await trio.sleep(0.05)
        is_settled = world.store.counts.watches <= watchers * KINDS_WATCHED
        sightings = sightings + 1 if is_settled else 0


def watching(world):
    """Return the numbers of the gateways that watch the store."""
    gateways = world.gateways.items()
    return [n for n, (_, daemon) in gateways if daemon._peers.should_watch()]


def add_route(world):
    world.store.put("config", "main", with_route(8, "added"))

    async def is_in_force(number):
        return (await world.call("added", number=number)).status == 200

    return is_in_force


def let_endpoint_leave(world):
    source = world.endpoints[0]
    world.list_endpoint(source, "draining")

    async def is_in_force(number):
        directory = world.gateways[number][1]._state.directory
        return directory.is_leaving(source.identity)

    return is_in_force


def remove_endpoint(world):
    source = world.endpoints[0]
    world.store.remove("servers", source.identity)

    async def is_in_force(number):
        directory = world.gateways[number][1]._state.directory
        return directory.get(source.identity) is None

    return is_in_force


def drain_hall(world):
    world.store.put("evacuations", "lekki", {})

    async def is_in_force(number):
        view = world.gateways[number][1]._drains.view
        return view is not None and "lekki" in view.data_halls

    return is_in_force


CHANGES = {
    "a route is added": add_route,
    "an endpoint leaves": let_endpoint_leave,
    "an endpoint's end": remove_endpoint,
    "a hall is drained": drain_hall,
}


async def change_and_wait(context, world, change, others):
    """Make a change; note for each gateway how long it took to act on it."""
    changed_at = trio.current_time()
    is_in_force = CHANGES[change](world)
    context.delays = {}

    async def wait(number):
        while not await is_in_force(number):
            await trio.sleep(0.02)
        context.delays[number] = trio.current_time() - changed_at

    with trio.move_on_after(3 * BOUND_SECONDS):
        async with trio.open_nursery() as nursery:
            for number in others:
                nursery.start_soon(wait, number)
    context.others = others


@when("the store turns silent towards these 2, and {change} {seconds:g} s later")
def silence_watchers(context, change, seconds):
    async def script(world):
        async with fleet_of(world, context.count, context.watchers) as links:
            silenced = watching(world)
            for number in silenced:
                links[number].stall()
            await trio.sleep(seconds)
            others = [n for n in range(context.count) if n not in silenced]
            await change_and_wait(context, world, change, others)

    context.ingress.run(script)


@when("these 2 gateways end, and a route is added at that moment")
def end_watchers(context):
    async def script(world):
        async with fleet_of(world, context.count, context.watchers) as links:
            ended = watching(world)
            for number in ended:
                links[number].stall()
                world.gateways[number][1]._peers.close()
            others = [n for n in range(context.count) if n not in ended]
            await change_and_wait(context, world, "a route is added", others)

    context.ingress.run(script)


@then("the other gateways act on it within {bound:g} s")
def check_delays(context, bound):
    assert set(context.delays) == set(context.others), context.delays
    assert max(context.delays.values()) < bound, context.delays


@then(
    "the others of {count:d} gateways {rely} on a watcher that reported {age:g} s ago"
)
def check_report_age(context, count, rely, age):
    peers = count - 1
    assert (age <= max_watcher_report_age(peers)) is (rely == "rely")
    assert max_watcher_report_age(peers) > 2 * report_interval(peers)


@then("of {count:d} gateways each watcher calls it at most {most:g} times a second")
def check_calls(context, count, most):
    given_healthy(context)
    context.ingress._start_gateways = 0
    calls = Counter()

    async def script(world):
        async with fleet_of(world, count, WATCHERS):
            await trio.sleep(1)
            for number, (_, daemon) in world.gateways.items():
                count_calls(daemon, number, calls)
            await trio.sleep(MEASURED_SECONDS)

    context.ingress.run(script)
    assert max(calls.values()) / MEASURED_SECONDS <= most, calls
    assert len(calls) <= WATCHERS, calls


def count_calls(daemon, number, calls):
    """Count the calls of a gateway's followers to the store from now on."""
    for follower in daemon._followers:
        client = follower._feed._client

        async def call(*arguments, client=client, make_call=client._call):
            calls[number] += 1
            return await make_call(*arguments)

        client._call = call


@when("the process is paused for {seconds:g} s several times")
def pause_process(context, seconds):
    async def script(world):
        async with fleet_of(world, context.count, context.watchers):
            accesses = [daemon._store_access for _, daemon in world.gateways.values()]
            context.silent = 0
            for _ in range(PAUSES):
                time.sleep(seconds)
                for _ in range(CHECKS_AFTER_PAUSE):
                    await trio.sleep(0.05)
                    context.silent += sum(access.is_silent for access in accesses)

    context.ingress.run(script)


@then("no gateway says that the store is silent")
def check_not_silent(context):
    assert context.silent == 0, context.silent
