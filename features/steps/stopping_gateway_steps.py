"""Steps for a gateway that was told to stop, and connections that callers keep."""

from __future__ import annotations

import json
import signal
import tempfile
from pathlib import Path

import trio
from behave import given, then, when
from support.ingress_world import configuration, IngressWorld, route
from support.stream_reading import EVENT_START

from devtools.soak.fleet import ACCOUNTS, Fleet, GRACE_SECONDS
from piershore.core.attempts.leaving import ROUTING_LAG_SECONDS
from piershore.http1.client_connection import ClientConnection
from piershore.ingress.daemon import STOP_MARGIN_SECONDS
from standins.published_endpoint import Silence

LATE_END_SECONDS = 2.6
"""When a stream ends after the stop: connections that were idle have been closed."""
CLOSE_SECONDS = 0.15
"""Within it a connection must be closed; a process that ends closes it seconds later."""
STREAM_EVENTS = 400
LAST_CHUNK = b"\r\n0\r\n\r\n"
ROUTE_PAUSE = "an event at least every 0.18 s"
OBSERVED_PACE = "an observed event every 0.3 s"
OBSERVED_START = "an observed first event after 2 s"
FIRST_EVENT_SECONDS = 2.0
PACE_SECONDS = 0.3
OBSERVED_EVENTS = 4


@given("a gateway before engines with {condition}")
def given_gateway(context, condition):
    world = context.ingress = IngressWorld()
    world.add_endpoints("model", 2)
    world.add_endpoints("desk", 1)
    context.condition = condition
    if condition == ROUTE_PAUSE:
        stream = route("stream", "model", "streaming", gap_aim_ms=180)
        routes = [route("once", "desk", "unsafe"), stream]
        world.configuration = configuration(4, routes)


async def observe_engines(world, condition):
    """Let the gateway relay a stream of each engine, if the condition says so."""
    if condition not in (OBSERVED_PACE, OBSERVED_START):
        return
    for endpoint in world.endpoints:
        if condition == OBSERVED_PACE:
            endpoint.pace = PACE_SECONDS
        else:
            endpoint.silence = Silence.PAUSED
    async with trio.open_nursery() as nursery:
        for _ in range(2):
            nursery.start_soon(read_observed_stream, world)
        if condition == OBSERVED_START:
            await trio.sleep(FIRST_EVENT_SECONDS)
            for endpoint in world.endpoints:
                endpoint.silence = None


async def read_observed_stream(world):
    reply = await world.call("stream", size=f"100,{4 * OBSERVED_EVENTS}")
    assert reply.is_whole


@when(
    "it has been stopping for {ago:g} s and a stream of up to {tokens:d} tokens is "
    "requested"
)
def request_late(context, ago, tokens):
    async def script(world):
        await observe_engines(world, context.condition)
        context.runs = world.runs("model")
        settings, daemon = world.gateways[0]
        now = trio.current_time()
        daemon._state.leaving_since = now - ago
        daemon._state.stops_at = (
            now - ago + settings.stop_grace_seconds - STOP_MARGIN_SECONDS
        )
        context.reply = await world.call("stream", size=f"100,{tokens}")
        context.runs = world.runs("model") - context.runs

    context.ingress.run(script)


@then("the stream is refused unrun, for an immediate retry")
def check_refused(context):
    reply = context.reply
    assert reply.status == 503, (reply.status, reply.events)
    assert 0 < float(reply.headers["retry-after"]) < 0.1
    assert reply.headers["connection"] == "close"
    assert context.runs == 0


@then("the stream is whole, and its answer says that the connection ends")
def check_whole_and_told(context):
    reply = context.reply
    assert reply.status == 200 and reply.is_whole, (reply.status, reply.events)
    assert reply.headers.get("connection") == "close", reply.headers


async def open_stream(world, events):
    """Send a request for a stream on a connection of its own; return that."""
    address = world.address()
    connection = await ClientConnection.open(address.host, address.port, 1.0)
    await connection.send(world.head("stream", size=f"100,{4 * events}"), b"")
    return connection


@when("a stream that began before the stop ends 2.6 s after it")
def read_late_end(context):
    async def script(world):
        for endpoint in world.endpoints:
            endpoint.pace = LATE_END_SECONDS / STREAM_EVENTS
        _, daemon = world.gateways[0]
        connection = await open_stream(world, STREAM_EVENTS)
        head = await connection.read_head()
        assert head.header(b"connection") is None
        world.nursery.start_soon(daemon.leave)
        body = b"".join([chunk async for chunk in connection.read_chunks()])
        context.event_count = body.count(EVENT_START)
        context.is_closed = await connection.closes_within(CLOSE_SECONDS)
        await connection.close()

    context.ingress.run(script)


@then("the stream is whole, and its connection is closed at once")
def check_closed(context):
    assert context.event_count == STREAM_EVENTS, context.event_count
    assert context.is_closed


def encode_request(head, body=b""):
    lines = [b"POST %s HTTP/1.1" % head.target]
    lines += [b"%s: %s" % item for item in head.headers]
    lines += [b"content-length: %d" % len(body), b"", body]
    return b"\r\n".join(lines)


@when("a call is sent on the connection of a stream that ends 2.6 s after the stop")
def send_during_answer(context):
    async def script(world):
        for endpoint in world.endpoints:
            endpoint.pace = LATE_END_SECONDS / STREAM_EVENTS
        _, daemon = world.gateways[0]
        address = world.address()
        stream = await trio.open_tcp_stream(address.host, address.port)
        async with stream:
            size = f"100,{4 * STREAM_EVENTS}"
            await stream.send_all(encode_request(world.head("stream", size=size)))
            received = await stream.receive_some()
            world.nursery.start_soon(daemon.leave)
            await trio.sleep(ROUTING_LAG_SECONDS)
            assert LAST_CHUNK not in received
            await stream.send_all(encode_request(world.head("once"), b"{}"))
            async for data in stream:
                received += data
        context.answers = received.split(LAST_CHUNK)

    context.ingress.run(script)


@then("the call is answered, and its answer says that the connection ends")
def check_call_answered(context):
    _, answer = context.answers
    assert answer.startswith(b"HTTP/1.1 200 "), answer
    assert b"connection: close" in answer, answer


@when("the first event of a stream comes only after the stop")
def begin_after_stop(context):
    async def script(world):
        for endpoint in world.endpoints:
            endpoint.silence = Silence.PAUSED
        _, daemon = world.gateways[0]
        connection = await open_stream(world, 5)
        while not world.runs("model"):
            await trio.sleep(0.01)
        world.nursery.start_soon(daemon.leave)
        await trio.sleep(0.1)
        for endpoint in world.endpoints:
            endpoint.silence = None
        context.reply = await world.read(connection)
        await connection.close()

    context.ingress.run(script)


@given("a gateway process before engines that make an event every 0.2 s")
def given_process(context):
    context.event_seconds = 0.2


@when("it is stopped while a stream of 60 events runs")
def stop_process(context):
    async def script(folder):
        fleet = Fleet(folder, 1, {"model": 2})
        try:
            async with trio.open_nursery() as nursery:
                await fleet.start(nursery)
                for endpoint in fleet.endpoints:
                    endpoint.standin.pace = context.event_seconds
                (gateway,) = fleet.gateways
                while gateway.is_starting:
                    await trio.sleep(0.02)
                await open_process_stream(gateway, context)
                gateway.send_signal(signal.SIGTERM)
                assert await gateway.wait_end(GRACE_SECONDS) == 0
                nursery.cancel_scope.cancel()
        finally:
            fleet.close()
        lines = gateway.log.read_text().splitlines()
        context.events = [json.loads(line) for line in lines if line.startswith("{")]

    with tempfile.TemporaryDirectory() as folder:
        trio.run(script, Path(folder))


async def open_process_stream(gateway, context):
    """Open a stream at the gateway's process, and wait until it has begun."""
    head = IngressWorld().head("stream", size="100,240", key=next(iter(ACCOUNTS)))
    context.identity = head.header(b"attempt-id").decode()
    received = b""
    while EVENT_START not in received:
        # It is refused until the gateway knows the engines.
        stream = await trio.open_tcp_stream(*gateway.address)
        await stream.send_all(encode_request(head))
        received = await stream.receive_some()
    context.stream = stream


@then("its log names the stream, and counts it as cut off")
def check_log(context):
    (cut,) = [e for e in context.events if e["event"] == "request_cut_off"]
    assert cut["request"] == context.identity, cut
    (stopped,) = [e for e in context.events if e["event"] == "process_stopped"]
    assert stopped["cut_off"] == 1, stopped
