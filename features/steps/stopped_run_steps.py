"""Steps for generations that go on at another engine."""

from __future__ import annotations

import trio
from behave import given, then, when
from ingress_stream_steps import LARGE_SIZE, SLOW_LINK_MBPS
from support.ingress_world import IngressWorld
from support.stream_reading import SMALL_SIZE, StreamReading

from devtools.overlapping_runs import overlapping_runs
from standins.published_endpoint import Silence

BACKUP_SECONDS = 1.2
"""From the first event until the backup is complete for certain."""
STOP_DELAY_SECONDS = 0.5
NOTICE_SECONDS = 0.3
PORT_SECONDS = 0.05
"""From the end of an engine's connections to that of its port."""


@given("{count:d} engines, which work on after a close, with {condition}")
def given_engines(context, count, condition):
    world = context.ingress = IngressWorld()
    world.add_endpoints("model", count)
    for endpoint in world.endpoints:
        endpoint.drops_closed = False
    engine = world.configuration["services"][1]["engine"]
    if condition == "slow links":
        engine["link_mbps"] = SLOW_LINK_MBPS
    if condition == "a resumable route":
        engine["backups"] = False
        world.configuration["routes"][2]["stream_resume"] = True
    if condition == "stops that are refused once":
        for endpoint in world.endpoints:
            endpoint.busy_stops = 1
    if condition == "stops that arrive after 0.5 s":
        for endpoint in world.endpoints:
            endpoint.stop_delay_seconds = STOP_DELAY_SECONDS
    if condition == "answers that end with the connection":
        for endpoint in world.endpoints:
            endpoint.ends_with_connection = True
    if condition == "targets that lose their connection":
        world.configuration["routes"][2]["stream_resume"] = True
        for endpoint in world.endpoints:
            endpoint.resets_continued = True


@when(
    "a stream of {count:d} events is read and its engine {fault} after {after:d}",
)
def read_small(context, count, fault, after):
    read_disturbed(context, StreamReading, SMALL_SIZE, count, fault, after)


@when(
    "a backed up stream of {count:d} events is read and its engine {fault} after "
    "{after:d}",
)
def read_large(context, count, fault, after):
    read_disturbed(context, StreamReading, LARGE_SIZE, count, fault, after)


def read_disturbed(context, reading_type, size, count, fault, after):
    context.count = count

    async def script(world):
        context.reading = reading = reading_type(world, count, size)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(reading.read)
            await reading.wait_for_events(after)
            source = reading.running_endpoint()
            if size == LARGE_SIZE:
                await trio.sleep(BACKUP_SECONDS)
            context.disturbed_at = trio.current_time()
            await FAULTS[fault](world, source)
        context.overlaps = list(overlapping_runs(world.endpoints))
        context.engine_runs = [r for e in world.endpoints for r in e.engine_runs]

    context.ingress.run(script)


async def leave(world, source):
    world.list_endpoint(source, "draining")


async def reset_connection(world, source):
    await source.reset_streams()


async def leave_out(world, source):
    source.skip_event()


async def crash(world, source):
    source.crash()


async def stop_responding(world, source):
    source.silence = Silence.GONE


async def close_new_connections(world, source):
    source.closes_new = True


async def leave_and_end(world, source):
    await leave(world, source)
    await trio.sleep(NOTICE_SECONDS)
    source.crash()


async def leave_and_linger(world, source):
    await leave(world, source)
    await trio.sleep(NOTICE_SECONDS)
    await source.reset_streams()
    await trio.sleep(PORT_SECONDS)
    source.crash()


async def vanish_and_end(world, source):
    world.store.remove("servers", source.identity)
    await trio.sleep(NOTICE_SECONDS)
    source.crash()


FAULTS = {
    "leaves": leave,
    "resets its connection": reset_connection,
    "leaves out an event": leave_out,
    "crashes": crash,
    "stops responding": stop_responding,
    "has too many connections": close_new_connections,
    "leaves and ends": leave_and_end,
    "leaves, ends and closes its port": leave_and_linger,
    "is removed and ends": vanish_and_end,
}


@then("no two engines worked on it at a time")
def check_no_overlap(context):
    assert not context.overlaps, [
        f"{o.engine} for {o.seconds:.2f} s beside {o.later_engine}"
        for o in context.overlaps
    ]


@then("it went on within {seconds:g} s")
def check_went_on(context, seconds):
    (continued,) = [run for run in context.engine_runs if run.is_continued]
    paused = continued.began_at - context.disturbed_at
    assert paused < seconds, paused
