"""Steps for callers that close their connection, and for busy gateways."""

from __future__ import annotations

from unittest.mock import patch

import trio
from behave import given, then, when
from support.ingress_world import IngressWorld
from support.stream_reading import SMALL_SIZE

from piershore.core.fleet.endpoint_load import EndpointLoad
from piershore.http1.client_connection import ClientConnection
from piershore.http1.message import RequestHead
from piershore.ingress.callers import caller_service
from standins.published_endpoint import Silence

FULL = EndpointLoad(requests=9, held_tokens=33_000, projected_tokens=36_000)
GONE_SECONDS = 0.5
"""After this time nothing may be sent, or still run, for a caller that is gone."""
SETTLE_SECONDS = 0.1


@given("a gateway before 2 engines that make no event for now")
def given_paused_engines(context):
    context.ingress = IngressWorld()
    context.ingress.add_endpoints("model", 2)
    for route in context.ingress.configuration["routes"]:
        route["target_latency_ms"] = 10_000
    for engine in context.ingress.endpoints:
        engine.silence = Silence.PAUSED


async def _wait_for_arrival(world, connection):
    while not world.arrivals():
        await trio.sleep(0.005)


async def _wait_in_body(world, connection):
    await trio.sleep(SETTLE_SECONDS)


async def _wait_for_memory(world, connection):
    await trio.sleep(SETTLE_SECONDS)
    assert not world.arrivals()


async def _wait_for_event(world, connection):
    await _wait_for_arrival(world, connection)
    for engine in world.endpoints:
        engine.silence = None
    await connection.read_head()
    for engine in world.endpoints:
        engine.silence = Silence.PAUSED


MOMENTS = {
    "in the middle of its body": _wait_in_body,
    "while its request awaits memory": _wait_for_memory,
    "before the first event": _wait_for_arrival,
    "in the middle of its stream": _wait_for_event,
}


def _with_length(head, length):
    header = (b"content-length", str(length).encode())
    return RequestHead(head.method, head.target, (*head.headers, header))


@when("the caller of a stream closes its connection {moment}")
def close_at(context, moment):
    context.sends_all = moment != "in the middle of its body"
    context.has_memory = moment != "while its request awaits memory"

    async def script(world):
        _, daemon = world.gateways[0]
        fleet_load = daemon._state.fleet_load
        if not context.has_memory:
            loads = {engine.identity: FULL for engine in world.endpoints}
            fleet_load.apply_report("10.0.0.9", loads, trio.current_time())
        address = world.address()
        stream = await trio.open_tcp_stream(address.host, address.port)
        connection = ClientConnection(stream)
        head = _with_length(world.head("stream", size=SMALL_SIZE.format(200)), 50)
        body = b"x" * 50
        connection._head, connection._body = head, body
        data = connection._encode()
        await stream.send_all(data if context.sends_all else data[:-20])
        await MOMENTS[moment](world, connection)
        await trio.aclose_forcefully(stream)
        await _observe(context, world, fleet_load)

    context.ingress.run(script)


async def _observe(context, world, fleet_load):
    """Record what reaches engines later on, and whether they see that it is over."""
    context.cancelled = []
    with trio.move_on_after(GONE_SECONDS):
        for arrival in world.arrivals():
            context.cancelled.append(not await arrival.stream.receive_some(1))
    count = len(world.arrivals())
    fleet_load.apply_report("10.0.0.9", {}, trio.current_time())
    await trio.sleep(GONE_SECONDS)
    context.later = len(world.arrivals()) - count
    context.arrivals = count


@then("nothing is sent to an engine from {seconds:g} s later on")
def check_nothing_sent(context, seconds):
    assert context.later == 0
    assert context.arrivals == int(context.sends_all and context.has_memory)


@then("what was sent to an engine is cancelled within {seconds:g} s")
def check_cancelled(context, seconds):
    assert context.cancelled == [True] * context.arrivals


@when("{count:d} callers connect together and each sends a request")
def connect_together(context, count):
    async def call(world, address):
        connection = await ClientConnection.open(address.host, address.port, 5.0)
        context.connected_at.append(trio.current_time())
        head = _with_length(world.head("repeatable"), 2)
        await connection.send(head, b"{}")
        context.statuses.append((await connection.read_head()).status)
        await connection.close()

    async def script(world):
        context.statuses, context.connected_at = [], []
        started = trio.current_time()
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(call, world, world.address())
        context.seconds = max(context.connected_at) - started

    context.count = count
    context.ingress.run(script)


@then(
    "all connections are accepted within {seconds:g} s, and all requests are answered"
)
def check_accepted(context, seconds):
    assert len(context.statuses) == context.count
    assert set(context.statuses) == {200}, context.statuses
    assert context.seconds < seconds, context.seconds


@when("{count:d} callers keep idle connections, and descriptors suffice for {limit:d}")
def keep_idle(context, count, limit):
    async def script(world):
        address = world.address()
        connections = []
        context.statuses = []
        for _ in range(count):
            connection = await ClientConnection.open(address.host, address.port, 1.0)
            await connection.send(_with_length(world.head("once"), 2), b"{}")
            context.statuses.append((await connection.read_head()).status)
            await connection.read_body()
            connections.append(connection)
        await trio.sleep(SETTLE_SECONDS)
        context.open = [not c._stream.socket.is_readable() for c in connections]

    with patch.object(caller_service, "max_caller_connections", lambda: limit):
        context.ingress.run(script)


@then("all were served, and the {count:d} that were idle for longest are closed")
def check_idle_closed(context, count):
    assert set(context.statuses) == {200}
    assert context.open == [False] * count + [True] * (len(context.open) - count)


async def _remove_endpoints(world, daemon):
    for endpoint in world.endpoints:
        world.store.remove("servers", endpoint.identity)
    while len(list(daemon._state.directory)):
        await trio.sleep(0.01)
    return {}


async def _drain_halls(world, daemon):
    world.store.put("evacuations", "ikeja", {})
    while not daemon._state.directory.is_drained(next(iter(daemon._state.directory))):
        await trio.sleep(0.01)
    return {}


async def _no_time(world, daemon):
    return {"deadline": "0"}


async def _unknown_key(world, daemon):
    return {"key": "key-none"}


REASONS = {
    "no endpoint of its kind": _remove_endpoints,
    "all its halls are drained": _drain_halls,
    "no time is left": _no_time,
    "a key that is not known": _unknown_key,
}


@when("a request arrives that can't be served: {reason}")
def request_unservable(context, reason):
    async def script(world):
        _, daemon = world.gateways[0]
        given = await REASONS[reason](world, daemon)
        deadline = ("deadline-ms", given.pop("deadline", "2000"))
        started = trio.current_time()
        context.reply = await world.call("once", deadline, **given)
        context.seconds = trio.current_time() - started
        context.arrivals = world.arrivals()

    context.ingress.run(script)


@then("it is refused with {status:d} within {seconds:g} s, and nothing ran")
def check_refused_at_once(context, status, seconds):
    assert context.reply.status == status, context.reply.status
    assert context.seconds < seconds, context.seconds
    assert not context.arrivals
