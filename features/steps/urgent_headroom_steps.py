"""Steps for the memory that long generations leave free for more urgent work."""

from __future__ import annotations

import json
import tempfile
from dataclasses import replace
from pathlib import Path
from statistics import mean

import trio
from behave import given, then, when
from hypothesis import strategies as st
from support.core_checks import checked, ENGINE
from support.gateway_states import state_of
from support.ingress_world import route
from support.stream_reading import SMALL_SIZE, StreamReading

from devtools.bench.fleet_experiment import COMPETING, is_in_aim
from devtools.bench.fleet_simulation import FleetRun
from piershore.core.fleet.endpoint_load import EndpointLoad, NO_LOAD
from piershore.core.fleet.generation_admission import has_memory
from piershore.core.fleet.generation_work import GenerationSize, GenerationWork
from piershore.core.fleet.length_estimate import LengthEstimate
from piershore.core.fleet.urgent_headroom import FleetSize, UrgentHeadroom
from piershore.core.mechanism import Mechanism

SEED = 45
SERVICE = "model"
URGENT, LONG = 0, 2
MEMORY_TOKENS = 27_000
FLEET = FleetSize(gateways=29, engines=21)
LOADS = {
    "1.8 times as many": {"rate": 1.8 * COMPETING.rate},
    "all equally urgent": {"urgent_short": False},
}


def light(tokens):
    return GenerationWork(GenerationSize(tokens, 10), LengthEstimate.exactly(0))


def long(tokens):
    return GenerationWork(GenerationSize(tokens, 1_000), LengthEstimate.exactly(100))


@given("29 gateways before 21 engines, with 26 generations a second, {load}")
def given_competing_fleet(context, load):
    context.settings = replace(COMPETING, **LOADS[load])


@when(
    "they serve for {seconds:d} seconds, three times, and long generations leave headroom"
)
def serve_with_headroom(context, seconds):
    settings = replace(context.settings, headroom=True).lasting(float(seconds))
    runs = (FleetRun(settings, seed) for seed in range(SEED, SEED + 3))
    context.streams = [stream for run in runs for stream in run.run()]


@then(
    "{share:d} of 100 short generations are served within their target latency and pauses"
)
def check_short_in_time(context, share):
    short = [s for s in context.streams if s.priority == URGENT]
    in_time = mean(is_in_aim(s, context.settings.long_aim) for s in short)
    assert in_time >= share / 100, in_time


@when("they serve for {seconds:d} seconds with and without headroom")
def serve_twice(context, seconds):
    context.runs = [
        FleetRun(replace(context.settings, headroom=h).lasting(float(seconds)), SEED)
        for h in (True, False)
    ]


@then("each generation has started and ended at the same moment in both runs")
def check_same_runs(context):
    first, second = (
        [(s.identity, s.first_at, s.last_at, s.refusals) for s in run.run()]
        for run in context.runs
    )
    assert first == second


@given(
    "light generations of {tokens:d} tokens arrive at a gateway {rate:g} times a second"
)
def given_light_work(context, tokens, rate):
    context.headroom, context.now = UrgentHeadroom(), 0.0
    arrive(context, rate, 100.0)


def arrive(context, rate, seconds):
    for _ in range(round(rate * seconds)):
        context.now += 1 / rate
        work = light(2_500)
        context.headroom.record_arrival(SERVICE, URGENT, work, context.now)


@given("one is served in {seconds:g} s, but {queued:g} s where it queues")
def given_served(context, seconds, queued):
    for served in (seconds, queued, seconds, queued):
        context.headroom.record_served(SERVICE, URGENT, light(2_500), served)


def headroom_at(context, priority=LONG, fleet=FLEET, now=None):
    now = context.now if now is None else now
    return context.headroom.headroom(SERVICE, priority, MEMORY_TOKENS, fleet, now)


@then(
    "with {gateways:d} gateways and {engines:d} engines of 27000 tokens "
    "{requests:d} are left room"
)
def check_requests(context, gateways, engines, requests):
    headroom = headroom_at(context, fleet=FleetSize(gateways, engines))
    assert headroom.requests == requests, headroom
    assert headroom.tokens == 2_500 * requests


@then("long generations of its priority or a more urgent one leave no room")
def check_priorities(context):
    assert headroom_at(context).tokens
    assert not headroom_at(context, priority=URGENT).tokens
    assert not headroom_at(context, priority=URGENT - 1).tokens


@then("some is left 20 s after the last arrival, and none after 30 s")
def check_expired(context):
    assert headroom_at(context, now=context.now + 20).tokens
    assert not headroom_at(context, now=context.now + 30.1).tokens


@when("they arrive {rate:g} times a second for {seconds:g} s")
def arrive_in_burst(context, rate, seconds):
    arrive(context, rate, seconds)
    context.burst_rate = FLEET.gateways * rate


@then("the measured rate is within a tenth of the burst's")
def check_burst(context):
    measured = headroom_at(context).arrivals_per_second
    assert abs(measured - context.burst_rate) < context.burst_rate / 10, measured


@then("it leaves no room before a light generation was served, and some 3 s later")
def check_start(context):
    context.headroom, context.now = UrgentHeadroom(), 0.0
    assert not headroom_at(context).tokens
    arrive(context, 1, 3)
    assert not headroom_at(context).tokens
    context.headroom.record_served(SERVICE, URGENT, light(2_500), 0.5)
    assert headroom_at(context).tokens


@then(
    "no sequence of sizes and times reserves more than a quarter of an engine's memory"
)
def check_bounds(context):
    numbers = st.one_of(st.integers(-10, 10**12), st.sampled_from([0, 1, 2_500]))
    times = st.one_of(st.floats(), st.floats(0, 3))

    @checked(
        st.lists(st.tuples(numbers, times)), st.integers(0, 9), st.integers(0, 999)
    )
    def check(works, gateways, engines):
        headroom = UrgentHeadroom()
        for now, (tokens, seconds) in enumerate(works):
            headroom.record_arrival(SERVICE, URGENT, light(tokens), float(now))
            headroom.record_served(SERVICE, URGENT, light(tokens), seconds)
        fleet = FleetSize(gateways, engines)
        reserved = headroom.headroom(
            SERVICE, LONG, MEMORY_TOKENS, fleet, float(len(works))
        )
        assert 0 <= reserved.tokens <= MEMORY_TOKENS / 4 + 1, reserved


@then("an empty engine accepts what it accepts without headroom")
def check_empty_engine(context):
    @checked(st.integers(0, 40_000))
    def check(tokens):
        before = has_memory(NO_LOAD, long(tokens), ENGINE)
        assert has_memory(NO_LOAD, long(tokens), ENGINE, 8_500) == before


@given("the gateway leaves no headroom")
def given_no_headroom(context):
    context.ingress.disabled = frozenset({Mechanism.URGENT_HEADROOM})


@when(
    "urgent streams have been served, and a peer reports all memory but the headroom "
    "in use"
)
def request_with_headroom_left(context):
    world = context.ingress
    world.log_output, context.log = tempfile.mkstemp()
    world.configuration["routes"].append(
        route("urgent", SERVICE, "streaming", priority=URGENT, public=True)
    )
    # Free memory for the long stream alone, but not for it and an urgent one.
    held = int(0.9 * ENGINE.memory_tokens) - 2_000
    almost_full = EndpointLoad(8, held, held, 0)

    async def script(world):
        for _ in range(8):
            await world.call("urgent", size="2500,40", key="")
        loads = {engine.identity: almost_full for engine in world.endpoints}
        now = trio.current_time()
        state_of(world).fleet_load.apply_report("10.0.0.9", loads, now)
        runs = world.runs(SERVICE)
        context.long = StreamReading(world, 200, SMALL_SIZE)
        await context.long.read()
        context.long_runs = world.runs(SERVICE) - runs
        context.urgent = await world.call("urgent", size="2500,40", key="")

    world.run(script)


@then("a long stream is refused and has not run, and an urgent one is complete")
def check_refused_for_headroom(context):
    assert context.long.reply.status == 503
    assert b"engines_crowded" in context.long.reply.body
    assert context.long_runs == 0
    assert context.urgent.status == 200 and context.urgent.is_whole


@then("a long stream is complete")
def check_long_complete(context):
    assert context.long.reply.events == list(range(1, 201))


@then("the log has the figures that the headroom is derived from")
def check_log(context):
    _, daemon = context.ingress.gateways[0]
    # The last lines are written with the next flush.
    lines = Path(context.log).read_bytes() + b"".join(daemon._log._handler.lines)
    events = [json.loads(line) for line in lines.splitlines()]
    changed = next(e for e in events if e["event"] == "headroom_changed")
    assert changed["reserved_requests"] > 0
    assert changed["reserved_tokens"] >= 2_500 * changed["reserved_requests"]
    assert changed["arrivals_per_second"] and changed["held_seconds"]
    assert (changed["gateways"], changed["engines"]) == (1, 2)
