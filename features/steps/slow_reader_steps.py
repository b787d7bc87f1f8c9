"""Steps for callers and endpoints that read slowly or not at all."""

from __future__ import annotations

import tempfile
import time
from pathlib import Path
from unittest.mock import patch

import trio
from behave import given, then, when
from support.ingress_world import configuration, IngressWorld
from support.stream_reading import SMALL_SIZE, StreamReading

from piershore.core.streams.reader_progress import ReaderProgress
from piershore.http1 import client_connection
from piershore.http1.client_connection import ClientConnection

KIBIBYTE = 1_024
EVENT_BYTES = 4_000
CALLER_BUFFER = 4_096
IDLE_LIMIT_MS = 600
SETTLE_SECONDS = 1.5
GRACE_SECONDS = 0.5


def _world(**limits):
    world = IngressWorld()
    world.configuration = configuration(4, **limits)
    world.log_output, world.log_path = tempfile.mkstemp()
    return world


def _log(world):
    _, daemon = world.gateways[0]
    return Path(world.log_path).read_bytes() + b"".join(daemon._log._handler.lines)


@given("a gateway before {count:d} engines that send faster than callers read")
def given_fast_engines(context, count):
    context.ingress = _world()
    context.ingress.add_endpoints("model", count)
    for endpoint in context.ingress.endpoints:
        endpoint.pace = 0.001
        endpoint.padding = b"x" * EVENT_BYTES


@given(
    "a gateway before {count:d} engines that cut off what remains unread for {seconds:g} s"
)
def given_cutting_engines(context, count, seconds):
    given_fast_engines(context, count)
    for endpoint in context.ingress.endpoints:
        endpoint.unread_seconds = seconds


@given(
    "a gateway before {count:d} engines whose events are larger than any caller needs"
)
def given_endless_events(context, count):
    given_fast_engines(context, count)
    for endpoint in context.ingress.endpoints:
        endpoint.padding = b"x" * 3_000 * KIBIBYTE


@given("a gateway before desk endpoints with answers of {size:d} KB")
def given_large_answers(context, size):
    context.ingress = _world(idle_timeout_ms=IDLE_LIMIT_MS)
    context.ingress.add_endpoints("desk", 2)
    for endpoint in context.ingress.endpoints:
        endpoint.answer_bytes = size * KIBIBYTE


@given("a gateway before desk endpoints that don't read bodies")
def given_bodies_unread(context):
    context.ingress = _world()
    context.ingress.add_endpoints("desk", 2)
    for endpoint in context.ingress.endpoints:
        endpoint.reads_bodies = False


async def _connect(world):
    """Open a caller's connection whose kernel buffers little that is unread."""
    address = world.address()
    connection = trio.socket.socket()
    level, option = trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF
    connection.setsockopt(level, option, CALLER_BUFFER)
    await connection.connect((address.host, address.port))
    return ClientConnection(trio.SocketStream(connection))


@when(
    "{count:d} callers stop reading after {read:d} events of streams of {events:d} "
    "with a deadline of {seconds:g} s"
)
def stop_reading(context, count, read, events, seconds):
    async def script(world):
        deadline = ("deadline-ms", f"{seconds * 1_000:.0f}")
        started = trio.current_time()
        connections = [await _connect(world) for _ in range(count)]
        async with trio.open_nursery() as nursery:
            for connection in connections:
                size = SMALL_SIZE.format(events * 4)
                await connection.send(world.head("stream", deadline, size=size), b"")
                nursery.start_soon(_read_some, connection, read * EVENT_BYTES)
        await trio.sleep(SETTLE_SECONDS)
        made = [n for e in world.endpoints for n in e.made.values()]
        context.sent_bytes = [(number - read) * EVENT_BYTES for number in made]
        context.reading = StreamReading(world, 30, SMALL_SIZE)
        context.count = 30
        await context.reading.read()
        context.is_before_deadline = trio.current_time() < started + seconds
        await trio.sleep_until(started + seconds + GRACE_SECONDS)
        context.open_streams = sum(e.open_streams for e in world.endpoints)
        for connection in connections:
            await connection.close()

    context.ingress.run(script)


async def _read_some(connection, count):
    await connection.read_head()
    async for chunk in connection.read_chunks():
        count -= len(chunk)
        if count <= 0:
            return


@then("at most {size:d} KB of each have left its engine {seconds:g} s later")
def check_sent_bytes(context, size, seconds):
    assert len(context.sent_bytes) == 4
    assert max(context.sent_bytes) <= size * KIBIBYTE, context.sent_bytes


@then("a stream of {count:d} events of another caller is complete meanwhile")
def check_other_stream(context, count):
    assert context.reading.reply.events == list(range(1, count + 1))
    assert context.reading.reply.is_whole and context.is_before_deadline


@then("nothing runs {seconds:g} s after their deadline")
def check_nothing_runs(context, seconds):
    assert context.open_streams == 0


async def _pause(world, reading, seconds):
    await trio.sleep(seconds)
    reading.resumed.set()


async def _crash(world, reading, seconds):
    await reading.wait_for_events(100)
    reading.running_endpoint().crash()


async def _read_disturbed(context, world, disturb, seconds=0.0):
    _, daemon = world.gateways[0]
    reading = context.reading
    async with trio.open_nursery() as nursery:
        nursery.start_soon(reading.read)
        await reading.wait_for_events(50)
        await disturb(world, reading, seconds)
    state = daemon._state
    context.rates = [state.health.failure_rate(e.identity) for e in world.endpoints]
    context.stall_cost = state.stalls.cost("ikeja")
    context.lines = _log(world)


def _read_with_pause(context, count, events, disturb, seconds):
    async def script(world):
        context.count = count
        context.reading = StreamReading(world, count, SMALL_SIZE)
        context.reading.pause_after = events
        await _read_disturbed(context, world, disturb, seconds)

    context.ingress.run(script)


@when(
    "a caller of a stream of {count:d} events reads nothing for {seconds:g} s "
    "after {events:d} events, then beside work of {hold:g} s at a time"
)
def read_late_beside_work(context, count, seconds, events, hold):
    async def disturb(world, reading, seconds):
        await trio.sleep(seconds)
        reading.resumed.set()
        while reading.reply is None:
            time.sleep(hold)
            await trio.sleep(0.001)

    _read_with_pause(context, count, events, disturb, seconds)


@when(
    "a caller of a stream of {count:d} events reads nothing for {seconds:g} s "
    "after {events:d} events"
)
def read_late(context, count, seconds, events):
    _read_with_pause(context, count, events, _pause, seconds)


@when("a caller of a stream of {count:d} events reads on while its engine crashes")
def read_until_crash(context, count):
    async def script(world):
        context.count = count
        context.reading = StreamReading(world, count, SMALL_SIZE)
        await _read_disturbed(context, world, _crash)

    context.ingress.run(script)


@when("a stream of such an event is read")
def read_endless_event(context):
    async def script(world):
        context.count = 2
        context.reading = StreamReading(world, 2, SMALL_SIZE)
        await context.reading.read()

    context.ingress.run(script)


@then("its caller is told with {status:d} that it may have run")
def check_endless_event(context, status):
    assert context.reading.reply.status == status
    assert b"may have run" in context.reading.reply.body


@then("what came is in order and visibly not whole")
def check_visibly_broken(context):
    reply = context.reading.reply
    assert reply.events == list(range(1, len(reply.events) + 1))
    assert len(reply.events) < context.count and not reply.is_whole


@then("no endpoint has a failure rate above 0, and none is ejected")
def check_no_failure(context):
    assert b'"stream_broken_off"' in context.lines
    assert b'"endpoint_ejected"' not in context.lines
    assert not any(context.rates), context.rates


@then("the pauses of the caller don't count as stalls of its endpoint")
def check_no_stall(context):
    assert context.stall_cost == 0, context.stall_cost


@then("one endpoint has a failure rate above 0")
def check_failure(context):
    assert sum(rate > 0 for rate in context.rates) == 1, context.rates


@then("the break is {cause}")
def check_break(context, cause):
    progress, now = ReaderProgress(), 0.0
    for step in context.active_outline["seconds"].split(", "):
        kind, _, seconds = step.partition(" ")
        now += float(seconds)
        if kind == "send":
            progress.record_send(float(seconds), now)
        if kind == "wait":
            progress.record_wait(float(seconds))
    assert progress.has_caused_break(now) is (cause == "the caller's")


@when("a caller doesn't read its answer for the idle limit of {seconds:g} s")
def leave_unread(context, seconds):
    async def script(world):
        connection = await _connect(world)
        await connection.send(world.head("once"), b"")
        with trio.fail_after(3 * seconds):
            while b'"caller_gone"' not in _log(world):
                await trio.sleep(0.05)
        context.reply = await world.read(connection)
        context.runs = world.runs("desk")

    context.ingress.run(script)


@then("its connection is closed, and the request counts as one whose caller is gone")
def check_unread(context):
    assert context.reply.status == 200 and not context.reply.is_whole
    assert context.runs == 1


@when('a caller\'s "{kind}" request gets one, and at most {size:d} KB are held')
def send_for_large_answer(context, kind, size):
    async def script(world):
        context.reply = await world.call(kind)
        with trio.move_on_after(GRACE_SECONDS):
            while world.arrivals()[0].stream.socket.fileno() >= 0:
                await trio.sleep(0.01)
        context.is_closed = world.arrivals()[0].stream.socket.fileno() < 0

    with patch.object(client_connection, "MAX_BODY_BYTES", size * KIBIBYTE):
        context.ingress.run(script)


@then("it is refused with {status:d}, and the endpoint's connection is closed")
def check_too_large(context, status):
    assert context.reply.status == status, context.reply.status
    assert context.is_closed


@when(
    'a caller sends them a "{kind}" request of {size:d} bytes '
    "with a deadline of {seconds:g} s"
)
def send_long(context, kind, size, seconds):
    async def script(world):
        started = trio.current_time()
        deadline = ("deadline-ms", f"{seconds * 1_000:.0f}")
        context.reply = await world.call(kind, deadline, body=b"x" * size)
        context.is_in_time = trio.current_time() < started + seconds + GRACE_SECONDS
        _, daemon = world.gateways[0]
        context.idle = list(filter(None, daemon._state.pool._idle.values()))

    context.ingress.run(script)


@then("it is answered with {status:d} in time, and no connection to them is kept")
def check_long(context, status):
    assert context.reply.status == status, context.reply.status
    assert context.is_in_time and not context.idle


@when("a caller sends one byte of its body each {seconds:g} s")
def send_body_slowly(context, seconds):
    context.ingress.configuration = configuration(4, idle_timeout_ms=IDLE_LIMIT_MS)

    async def script(world):
        address = world.address()
        stream = await trio.open_tcp_stream(address.host, address.port)
        lines = [b"%b: %b" % item for item in world.head("once").headers]
        lines = [b"POST /once/x HTTP/1.1", *lines, b"content-length: 50", b"", b""]
        await stream.send_all(b"\r\n".join(lines))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_trickle, stream, seconds)
            context.status = int((await stream.receive_some(4_096)).split()[1])
            nursery.cancel_scope.cancel()
        context.arrivals = world.arrivals()

    context.ingress.run(script)


async def _trickle(stream, seconds):
    while True:
        await stream.send_all(b"x")
        await trio.sleep(seconds)


@then("it is refused with {status:d} after the idle limit, and nothing ran")
def check_slow_body(context, status):
    assert context.status == status
    assert not context.arrivals
