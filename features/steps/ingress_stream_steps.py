"""Steps for streams through a gateway."""

from __future__ import annotations

import tempfile
import time
from pathlib import Path

import trio
from behave import given, then, when
from support.ingress_world import (
    IngressWorld,
)
from support.stream_reading import (
    SMALL_SIZE,
    StreamReading,
)

from piershore.core.fleet.endpoint_load import EndpointLoad
from piershore.core.mechanism import Mechanism
from standins.published_endpoint import Silence
from standins.published_store import StoreFault

FULL = EndpointLoad(requests=9, held_tokens=33_000, projected_tokens=36_000)


SUSPENSION_SECONDS = 0.8
"""Pause of the whole process, long enough for an endpoint to seem silent."""


MAX_SILENCE_SECONDS = 2.5


NO_MEMORY_SECONDS = 0.4
"""Longer than three refusals take, shorter than the time from a notice to the end."""


SLOW_LINK_MBPS = 20_000.0


LARGE_SIZE = "11000,{}"
"""More prompt tokens than can be copied after a notice, so that a backup is made."""


@given("{count:d} engine")
@given("{count:d} engines")
@given("{count:d} engines of {behavior}")
@given("{count:d} engines with {behavior}")
@given("{count:d} engine that {behavior}")
@given("{count:d} engines that {behavior}")
def given_engines(context, count, behavior=""):
    faults = {
        "refuse": ["not run"] * 9,
        "breaks inside an event": ["breaks inside an event"],
    }
    context.ingress = IngressWorld()
    context.ingress.add_endpoints("model", count, faults.get(behavior, ()))
    context.crash_after_copy = "crash" in behavior
    if behavior == "a resumable route":
        context.ingress.configuration["routes"][2]["stream_resume"] = True
    if behavior == "send invalid answers to moves":
        for endpoint in context.ingress.endpoints:
            endpoint.move_answer = b"\x00 no answer"
        context.ingress.log_output, context.log = tempfile.mkstemp()
    if behavior == "slow links":
        engine = context.ingress.configuration["services"][1]["engine"]
        engine["link_mbps"] = SLOW_LINK_MBPS
        for endpoint in context.ingress.endpoints:
            endpoint.pace = 0.001
            endpoint.padding = b"x" * 4_000


@when("a caller pauses a large stream of {count:d} events and its endpoint leaves")
def pause_and_leave(context, count):
    context.count = count

    async def script(world):
        context.reading = StreamReading(world, count, LARGE_SIZE)
        context.reading.pause_after = 100
        async with trio.open_nursery() as nursery:
            nursery.start_soon(context.reading.read)
            await context.reading.wait_for_events(100)
            source = context.reading.running_endpoint()
            # By then the gateway can send no more, and the backup is complete.
            await trio.sleep(1.2)
            world.list_endpoint(source, "draining")
            await trio.sleep(0.3)
            context.reading.resumed.set()

    context.ingress.run(script)


async def read_while(world, reading, disturb, after=10):
    async with trio.open_nursery() as nursery:
        nursery.start_soon(reading.read)
        await reading.wait_for_events(after)
        await disturb(reading)


@when("a stream of {count:d} events is read")
def read_stream(context, count):
    async def script(world):
        context.reading = StreamReading(world, count, SMALL_SIZE)
        context.count = count
        await context.reading.read()

    context.ingress.run(script)


@when("a stream of {count:d} events is read and its endpoint {event} midway")
@when("a {size} stream of {count:d} events is read and its endpoint {event} midway")
def read_disturbed(context, count, event, size="small"):
    context.count = count

    async def script(world):
        sizes = {"small": SMALL_SIZE, "large": LARGE_SIZE}
        context.reading = StreamReading(world, count, sizes[size])
        after = 100 if size == "large" else 10

        async def disturb(reading):
            await DISTURBANCES[event](world, reading, context.crash_after_copy)

        await read_while(world, context.reading, disturb, after)

    context.ingress.run(script)


async def say_leaving(world, reading, crash_after_copy):
    source = reading.running_endpoint()
    world.list_endpoint(source, "draining")
    if crash_after_copy:
        while not world.memory.copies:
            await trio.sleep(0.001)
        source.crash()


async def leave_without_memory(world, reading, crash_after_copy):
    source = reading.running_endpoint()
    source.moves_refused_until = trio.current_time() + NO_MEMORY_SECONDS
    world.list_endpoint(source, "draining")


async def remove_from_list(world, reading, crash_after_copy):
    world.store.remove("servers", reading.running_endpoint().identity)


async def leave_twice(world, reading, crash_after_copy):
    first = reading.running_endpoint()
    world.list_endpoint(first, "draining")
    while not any(e.continued["abc"] for e in world.endpoints):
        await trio.sleep(0.005)
    second = next(e for e in world.endpoints if e.continued["abc"])
    world.list_endpoint(second, "draining")


async def leave_in_outage(world, reading, crash_after_copy):
    world.probes_before = sum(e.reports for e in world.endpoints)
    world.store.fault = StoreFault.RESET
    world.store.cut_watches()
    await trio.sleep(0.3)
    reading.running_endpoint().state = "draining"


@then("engines were probed only during the outage")
def check_probed_in_outage(context):
    world = context.ingress
    assert world.probes_before == 0
    assert sum(e.reports for e in world.endpoints) > 0


async def crash(world, reading, crash_after_copy):
    reading.running_endpoint().crash()


async def fall_silent(world, reading, silence):
    world.silent = reading.running_endpoint()
    world.silent.silence = silence
    # Longer than it takes to be probed and given up.
    with trio.move_on_after(MAX_SILENCE_SECONDS):
        while not any(e.continued["abc"] for e in world.endpoints):
            await trio.sleep(0.01)


async def pause(world, reading, crash_after_copy):
    await fall_silent(world, reading, Silence.PAUSED)
    world.silent.silence = None


async def lose_events(world, reading, crash_after_copy):
    await fall_silent(world, reading, Silence.EVENTS_LOST)


async def stop_responding(world, reading, crash_after_copy):
    await fall_silent(world, reading, Silence.GONE)


async def suspend_process(world, reading, crash_after_copy):
    time.sleep(SUSPENSION_SECONDS)


DISTURBANCES = {
    "pauses for a long time": pause,
    "sends events that get lost": lose_events,
    "stops responding": stop_responding,
    "and the gateway are suspended": suspend_process,
    "announces that it leaves": say_leaving,
    "is removed from the list": remove_from_list,
    "leaves, and then its target leaves": leave_twice,
    "leaves, with no memory elsewhere": leave_without_memory,
    "leaves in a store outage": leave_in_outage,
    "crashes": crash,
}


@then("all events came once and in order, from {runs:d} run")
@then("all events came once and in order, from {runs:d} runs")
def check_stream(context, runs):
    reply = context.reading.reply
    assert reply.status == 200
    assert reply.events == list(range(1, context.count + 1)), reply.events
    assert reply.is_whole
    assert context.ingress.runs("model") == runs


@then("its endpoint was probed at least {minimum:d} and at most {maximum:d} times")
def check_probes(context, minimum, maximum):
    probes = sum(e.reports for e in context.ingress.endpoints)
    assert minimum <= probes <= maximum, probes


@then("the gateway has logged no internal error")
def check_no_internal_error(context):
    _, daemon = context.ingress.gateways[0]
    lines = Path(context.log).read_bytes() + b"".join(daemon._log._handler.lines)
    assert b"move_started" in lines
    assert b"internal_error" not in lines


@then("it was continued at other endpoints {times:d} times")
def check_continued(context, times):
    total = sum(e.continued["abc"] for e in context.ingress.endpoints)
    assert total == times, total


@then("what came is in order and visibly not whole, from {runs:d} run")
def check_broken(context, runs):
    reply = context.reading.reply
    assert reply.events == list(range(1, len(reply.events) + 1))
    assert 0 < len(reply.events) < context.count
    assert not reply.is_whole
    assert context.ingress.runs("model") == runs


@then("only complete events came and the stream is visibly incomplete")
def check_complete_events(context):
    reply = context.reading.reply
    assert reply.body == b"id: 1\ndata: token-1\n\n", reply.body
    assert not reply.is_whole


@then("the status is 503 with a Retry-After header, from 0 runs")
def check_refused_stream(context):
    reply = context.reading.reply
    assert reply.status == 503
    assert float(reply.headers["retry-after"]) > 0
    assert context.ingress.runs("model") == 0


@when("streams are requested while a peer reports that the engines are full")
def request_while_full(context):
    async def script(world):
        _, daemon = world.gateways[0]
        loads = {engine.identity: FULL for engine in world.endpoints}
        now = trio.current_time()
        daemon._state.fleet_load.apply_report("10.0.0.9", loads, now)
        context.reading = StreamReading(world, 200, SMALL_SIZE)
        await context.reading.read()
        context.long_runs = world.runs("model")
        context.seconds = trio.current_time() - now
        context.short = StreamReading(world, 10, SMALL_SIZE)
        await context.short.read()

    context.ingress.run(script)


@then("the long one is refused at once with a Retry-After header, and has not run")
def check_refused_while_full(context):
    reply = context.reading.reply
    assert reply.status == 503
    assert b"engines_crowded" in reply.body
    assert 0.5 < float(reply.headers["retry-after"]) < 7
    assert context.seconds < 1
    assert context.long_runs == 0


@when("a stream is requested, and the engines are full for {seconds:g} s more")
def request_while_briefly_full(context, seconds):
    for route in context.ingress.configuration["routes"]:
        route["target_latency_ms"] = 1_800

    async def script(world):
        _, daemon = world.gateways[0]
        loads = {engine.identity: FULL for engine in world.endpoints}
        fleet_load = daemon._state.fleet_load
        requested_at = trio.current_time()
        fleet_load.apply_report("10.0.0.9", loads, requested_at)
        context.reading = StreamReading(world, 200, SMALL_SIZE)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(context.reading.read)
            await trio.sleep(seconds)
            fleet_load.apply_report("10.0.0.9", {}, trio.current_time())
            await context.reading.wait_for_events(1)
            context.seconds = trio.current_time() - requested_at

    context.ingress.run(script)


@then(
    "it is complete, and its first event came {minimum:g} to {maximum:g} s after the request"
)
def check_waited(context, minimum, maximum):
    assert context.reading.reply.events == list(range(1, 201))
    assert minimum <= context.seconds <= maximum, context.seconds


@then("the short one is complete")
def check_short(context):
    assert context.short.reply.events == list(range(1, 11))
    assert context.short.reply.is_whole


@when("a caller disconnects from a stream midway")
def disconnect(context):
    async def script(world):
        reading = StreamReading(world, 400, SMALL_SIZE)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(reading.read)
            await reading.wait_for_events(5)
            nursery.cancel_scope.cancel()
        await trio.sleep(0.3)
        context.still_open = sum(e.open_streams for e in world.endpoints)

    context.ingress.run(script)


@then("no engine works on it 0.3 seconds later")
def check_run_ended(context):
    assert context.still_open == 0


@given("the gateway makes no copy before it stops a run")
def given_no_first_copies(context):
    context.ingress.disabled = frozenset({Mechanism.FIRST_COPIES})
    for endpoint in context.ingress.endpoints:
        # The end of the stream arrives before the answer, which names no copy.
        endpoint.stop_answer_seconds = 0.1


@then("it was not run again, and its caller can see that it is incomplete")
def check_not_rerun(context):
    assert context.ingress.runs("model") == 1, context.ingress.runs("model")
    assert not context.reading.reply.is_whole
