"""Steps for endpoints that restart under the same name."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import trio
from behave import given, then, when
from hypothesis import strategies as st
from support.core_checks import checked, endpoint
from support.ingress_world import IngressWorld
from support.stream_reading import SMALL_SIZE, StreamReading

from piershore.core.fleet.endpoint import EndpointStage
from piershore.core.fleet.endpoint_directory import EndpointDirectory
from piershore.core.fleet.endpoint_load import EndpointLoad, NO_LOAD
from piershore.core.streams.silence import (
    EndpointReport,
    evaluate_silence,
    SilenceDecision,
    SilentStream,
)

FIRST_START_MS, SECOND_START_MS = 1_700_000_000_000, 1_700_000_009_000
LARGE_SIZE = "11000,{}"
"""Stream size whose prompt is long enough for a backup."""
SIZES = {"large": LARGE_SIZE, "small": SMALL_SIZE}


@then("only the newest incarnation observed of each name is listed")
def check_directory(context):
    @checked(st.integers(0, 10_000))
    def check(seed):
        random = Random(seed)
        directory, newest = EndpointDirectory(), {}
        for step in range(60):
            listed = _draw(random)
            if random.random() < 0.2:
                drawn = [listed, *(_draw(random) for _ in range(3))]
                departures = directory.replace_all(
                    drawn, directory.revision + 1, step, after_outage=False
                )
                # Of two entries with the same name the last one is listed.
                updated = {e.name: e for e in drawn}.values()
            else:
                departures, updated = directory.put(listed), (listed,)
            for entry in updated:
                newest[entry.name] = max(entry.born, newest.get(entry.name, 0))
            for known in directory:
                assert known.born == newest[known.name]
            for departure in departures:
                name = departure.endpoint.name
                if departure.is_restarted:
                    assert departure.endpoint.born < newest[name]
                    assert departure.is_gone
            names = [known.name for known in directory]
            assert len(names) == len(set(names))
            assert all(directory.identity_of(e.name) == e.identity for e in directory)


def _draw(random):
    stage = random.choice(list(EndpointStage))
    name = f"i-{random.randrange(4)}"
    return replace(endpoint(name, stage), born=FIRST_START_MS + random.randrange(5))


@given("model engines whose entries have a start time")
def given_start_times(context):
    world = context.ingress = IngressWorld()
    world.add_endpoints("model", 3)
    for engine in world.endpoints:
        engine.born = FIRST_START_MS


@when("a {size} stream of {count:d} events runs and its endpoint restarts")
def restart_midway(context, size, count):
    async def script(world):
        context.count = count
        context.reading = StreamReading(world, count, SIZES[size])
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_read, context)
            await context.reading.wait_for_events(100)
            source = context.reading.running_endpoint()
            source.start_anew(SECOND_START_MS)
            context.restarted_at = trio.current_time()
            world.list_endpoint(source)
            await _wait_for_incarnation(world, source, SECOND_START_MS)

    context.ingress.run(script)


async def _read(context):
    await context.reading.read()
    context.ended_at = trio.current_time()


async def _wait_for_incarnation(world, engine, born):
    _, daemon = world.gateways[0]
    directory = daemon._state.directory
    with trio.fail_after(5):
        while directory.identity_of(engine.identity) != f"{engine.identity}@{born}":
            await trio.sleep(0.005)


@then("it was continued at another endpoint within {seconds:g} s")
def check_continued(context, seconds):
    arrivals = [a for e in context.ingress.endpoints for a in e.arrivals]
    continued = [a.at for a in arrivals if "kv-from" in a.headers]
    assert len(continued) == 1, continued
    assert continued[0] - context.restarted_at < seconds


@then("it ended for its caller within {seconds:g} s")
def check_ended_soon(context, seconds):
    assert context.ended_at - context.restarted_at < seconds


@then("a silent stream is given up if a later incarnation answers")
def check_later_incarnation(context):
    stream = SilentStream("r", 5, can_resume_elsewhere=False, born=FIRST_START_MS)
    report = EndpointReport(is_leaving=False, generated_events={}, born=SECOND_START_MS)
    assert evaluate_silence(stream, report, 0) is SilenceDecision.GIVE_UP


@then("a report from an earlier incarnation is ignored")
def check_earlier_incarnation(context):
    stream = SilentStream("r", 5, can_resume_elsewhere=True, born=SECOND_START_MS)
    report = EndpointReport(
        is_leaving=True, generated_events={"r": 50}, born=FIRST_START_MS
    )
    assert evaluate_silence(stream, report, 0) is SilenceDecision.WAIT


async def _restart(world, *, late_entry=None):
    """Restart the first engine while the others drain, and request a stream."""
    _, daemon = world.gateways[0]
    state, engine = daemon._state, world.endpoints[0]
    before = f"{engine.identity}@{FIRST_START_MS}"
    state.fleet_load.apply_report("10.0.0.9", {before: EndpointLoad(9, 9, 9, 9)}, 0.0)
    for _ in range(4):
        state.health.record_failure(before, trio.current_time())
    engine.born = SECOND_START_MS
    world.list_endpoint(engine)
    await _wait_for_incarnation(world, engine, SECOND_START_MS)
    if late_entry is not None:
        world.store.put("servers", engine.identity, late_entry)
    for other in world.endpoints[1:]:
        world.list_endpoint(other, "draining")
    with trio.fail_after(5):
        while not all(
            state.directory.is_leaving(f"{other.identity}@{FIRST_START_MS}")
            for other in world.endpoints[1:]
        ):
            await trio.sleep(0.005)
    now, identity = trio.current_time(), f"{engine.identity}@{SECOND_START_MS}"
    assert state.fleet_load.at(identity) == NO_LOAD
    assert not state.health.is_ejected(identity, now)
    assert state.health.failure_rate(identity) == 0.0
    return await world.call("stream", size="100,8")


@when("an engine that leaves and fails restarts")
def leave_and_restart(context):
    async def script(world):
        engine = world.endpoints[0]
        world.list_endpoint(engine, "draining")
        await trio.sleep(0.2)
        context.reply = await _restart(world)
        context.engine = engine

    context.ingress.run(script)


@when("an engine restarts and its earlier entry, now leaving, arrives late")
def restart_with_late_entry(context):
    async def script(world):
        old = world.endpoints[0].entry("draining")
        context.reply = await _restart(world, late_entry=old)
        context.engine = world.endpoints[0]

    context.ingress.run(script)


@then("it gets new work, and state of its earlier incarnation is ignored")
def check_new_work(context):
    assert context.reply.status == 200, vars(context.reply)
    assert context.engine.runs.total() == 1, context.engine.runs
