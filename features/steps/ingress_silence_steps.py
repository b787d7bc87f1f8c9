"""Steps for connections and stores that go silent."""

from __future__ import annotations

from unittest.mock import patch

import trio
from behave import given, then, when
from support.ingress_world import IngressWorld
from support.stream_reading import (
    IN_FORCE_SECONDS,
    StreamReading,
    wait_for_peers,
    with_route,
)

from devtools.ports import free_port
from devtools.soak.fault_proxy import FaultProxy
from piershore.core.fleet.endpoint import Address
from piershore.ingress import daemon
from standins.published_store import StoreFault

EVENTS = 120


EVENTS_BEFORE = 20


SIZE = "100,{}"


SLOW_PACE_SECONDS = 0.05


SHORT_WATCH_SECONDS = 1.0


DEADLINE_MS = "400"
"""Short enough for pooled connections to stay usable until the later calls."""


async def open_links(world):
    """Put a proxy in front of each endpoint, and start a gateway that uses them."""
    links = []
    for endpoint in world.endpoints:
        link = FaultProxy(lambda endpoint=endpoint: ("127.0.0.1", endpoint.port))
        link.start(world.nursery, free_port())
        await world.nursery.start(link.accept)
        endpoint.listed_as = lambda link=link: f"127.0.0.1:{link.port}"
        world.list_endpoint(endpoint)
        links.append(link)
    await world.start_gateway(0)
    return links


@given("a gateway in front of one desk endpoint, reached over a link")
def given_desk(context):
    context.ingress = IngressWorld()
    context.ingress._start_gateways = 0
    context.ingress.add_endpoints("desk", 1)


@given("a gateway in front of two engines, reached over links")
def given_engines(context):
    context.ingress = IngressWorld()
    context.ingress._start_gateways = 0
    context.ingress.add_endpoints("model", 2)


@when("{count:d} calls have left pooled connections, and all go silent permanently")
def silence_calls(context, count):
    async def call(world):
        deadline = ("deadline-ms", DEADLINE_MS)
        context.replies.append(await world.call("once", deadline))

    async def call_together(world):
        context.replies = []
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(call, world)

    async def script(world):
        (link,) = await open_links(world)
        await call_together(world)
        link.silence_open()
        context.replies = []
        for _ in range(count):
            await call(world)

    context.ingress.run(script)


@then("at most {maximum:d} of {count:d} later calls fails")
def check_failed_calls(context, maximum, count):
    statuses = [reply.status for reply in context.replies]
    assert len(statuses) == count
    assert statuses.count(200) >= count - maximum, statuses


@when("the connections go silent permanently in the middle of a stream")
def silence_stream(context):
    async def script(world):
        links = await open_links(world)
        reading = context.reading = StreamReading(world, EVENTS, SIZE)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(reading.read)
            await reading.wait_for_events(EVENTS_BEFORE)
            for link in links:
                link.silence_open()

    context.ingress.run(script)


@when(
    "the store falls silent and the leaving engine of a stream ends {seconds:g} s later"
)
def silence_the_store(context, seconds):
    async def script(world):
        await open_links(world)
        for endpoint in world.endpoints:
            endpoint.pace = SLOW_PACE_SECONDS
        reading = context.reading = StreamReading(world, EVENTS, SIZE)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(reading.read)
            await reading.wait_for_events(EVENTS_BEFORE)
            source = reading.running_endpoint()
            world.store.fault = StoreFault.SILENT
            source.state = "draining"
            await trio.sleep(seconds)
            source.crash()

    with patch.object(daemon, "WATCH_SECONDS", SHORT_WATCH_SECONDS):
        context.ingress.run(script)


@then("the stream is complete, each event once and in order")
def check_stream(context):
    reply = context.reading.reply
    assert reply.is_whole, reply.events[-3:]
    assert reply.events == list(range(1, EVENTS + 1)), reply.events[-3:]


@given("2 gateways, the second over a link to the store")
def given_store_link(context):
    context.ingress = IngressWorld()
    context.ingress.add_endpoints("desk", 1)
    context.ingress._start_gateways = 2


@when("its connections to the store go silent permanently and a route is added")
def silence_store(context):
    async def script(world):
        link = FaultProxy(lambda: ("127.0.0.1", world.store.port))
        link.start(world.nursery, free_port())
        await world.nursery.start(link.accept)
        await wait_for_peers(world)
        _, second = world.gateways[1]
        for follower in (second._configuration, second._endpoints):
            client = follower._feed._client
            client._address = Address("127.0.0.1", link.port)
            follower.restart()
        await world.wait_until(world.is_ready, 1)
        await trio.sleep(0.2)
        link.silence_open()
        world.store.put("config", "main", with_route(8, "added"))
        with trio.move_on_after(IN_FORCE_SECONDS):
            while (await world.call("added", number=1)).status == 404:
                await trio.sleep(0.02)
        context.reply = await world.call("added", number=1)

    context.ingress.run(script)
