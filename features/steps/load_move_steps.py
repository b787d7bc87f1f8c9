"""Steps for generations that move because of load."""

from __future__ import annotations

from itertools import pairwise, product
from math import inf, nan
from random import Random

import trio
from behave import given, then, when
from ingress_stream_steps import FULL
from support.moving_fleet import MovingFleet, SPEC
from support.stream_reading import SMALL_SIZE, StreamReading

from piershore.core.fleet.endpoint import Address, Endpoint, EndpointStage
from piershore.core.fleet.endpoint_load import EndpointLoad
from piershore.core.fleet.load_moves import (
    FleetView,
    LoadMovePlanner,
    MIN_SLOWNESS,
    MIN_STAY_SECONDS,
    MovableStream,
)
from piershore.core.mechanism import Mechanism
from standins.published_store import StoreFault

ABSURD_TOKENS = (-(10**12), -1, 0, 10**12)
ABSURD_SPEEDS = (nan, inf, -1.0, 0.0, 1e-300, 1e300)


@given(
    "{gateways:d} gateways before engines of which {empty:d} are empty and {full:d} almost full"
)
def given_engines(context, gateways, empty, full):
    context.gateways, context.empty, context.full = gateways, empty, full


@given("their views are up to {age:g} s old")
def given_age(context, age):
    context.age = age


@when(
    "they serve for {seconds:d} seconds, with moves for load and without, from {seeds:d} seeds"
)
def serve_both(context, seconds, seeds):
    context.preempted = {True: 0, False: 0}
    for seed, moves in product(range(seeds), (True, False)):
        random = Random(seed)
        shares = [random.uniform(0.93, 1.0) for _ in range(context.full)]
        shares += [0.0] * context.empty
        fleet = MovingFleet(seed, shares, context.gateways, context.age)
        fleet.run(seconds, moves=moves)
        context.preempted[moves] += len(fleet.preempted)


@then("at most {share:g} of the preempted generations are preempted with moves")
def check_preempted(context, share):
    preempted = context.preempted
    assert preempted[False] > 0, preempted
    assert preempted[True] <= share * preempted[False], preempted


@when(
    "{count:d} random fleets serve for {seconds:d} seconds, by views up to {age:g} s old"
)
def serve_random(context, count, seconds, age):
    context.fleets = []
    for seed in range(count):
        random = Random(seed)
        shares = [
            random.uniform(0.2, 1.0) ** 0.5 for _ in range(random.randrange(3, 16))
        ]
        slowness = [random.choice((0.6, 1.0, 1.6)) for _ in shares]
        gateways = random.randrange(2, 16)
        fleet = MovingFleet(seed, shares, gateways, age, slowness)
        fleet.run(seconds)
        context.fleets.append(fleet)


@when(
    "{count:d} fleets that hold up to {share:g} of their memory serve for {seconds:d} seconds"
)
def serve_with_room(context, count, share, seconds):
    context.fleets = []
    for seed in range(count):
        random = Random(seed)
        shares = [random.uniform(0, share) for _ in range(12)]
        context.fleets.append(MovingFleet(seed, shares, 8, 1.0))
        context.fleets[-1].run(seconds)


@when(
    "{count:d} fleets with slow endpoints and empty fast ones serve for {seconds:d} seconds"
)
def serve_uneven(context, count, seconds):
    context.fleets = []
    for seed in range(count):
        fleet = MovingFleet(
            seed, [0.5] * 8 + [0.0] * 2, 6, 0.5, [1.6, 1.0] * 4 + [0.6] * 2
        )
        fleet.run(seconds)
        context.fleets.append(fleet)


@then("nothing moves")
def check_nothing_moves(context):
    assert not [move for fleet in context.fleets for move in fleet.moves]


@then("generations move away from slow endpoints only, to others")
def check_slow_left(context):
    moves = [move for fleet in context.fleets for _, _, move in fleet.moves]
    assert len(moves) >= len(context.fleets)
    assert all(m.source_slowness >= MIN_SLOWNESS > m.target_slowness for m in moves)


@then("no generation moves twice within its minimum stay")
def check_stay(context):
    for fleet in context.fleets:
        times = {}
        for at, _, move in fleet.moves:
            times.setdefault(move.stream.request, []).append(at)
        for moved in times.values():
            assert all(b - a >= MIN_STAY_SECONDS - 1e-6 for a, b in pairwise(moved)), (
                moved
            )


@then("no gateway begins more than {most:d} moves in a second")
def check_rate(context, most):
    assert any(fleet.moves for fleet in context.fleets)
    for fleet in context.fleets:
        for start, gateway, _ in fleet.moves:
            within = [g for at, g, _ in fleet.moves if start <= at < start + 1 - 1e-6]
            assert within.count(gateway) <= most


@then("a planner decides by any loads and speeds without an error")
def check_absurd(context):
    source, target = (
        Endpoint(name, "model", Address("h", 1), "a", 24, EndpointStage.READY)
        for name in "st"
    )
    loads = [EndpointLoad(*numbers) for numbers in product(ABSURD_TOKENS, repeat=3)]
    for here, there, speed in product(loads, loads, ABSURD_SPEEDS):
        known = {"s": here, "t": there}
        view = FleetView(SPEC, lambda: [source, target], bool, known.get, lambda _: "g")
        planner = LoadMovePlanner("g", dict.fromkeys(known, speed).get)
        streams = [MovableStream(str(i), source, 3_000, 500, 5, 0.0) for i in range(4)]
        moves = [planner.plan(streams, view, now) for now in (0.0, 0.3, 0.4, 0.5)]
        assert sum(move is not None for move in moves) <= 1


async def nothing(world, reading):
    """Disturb nothing."""


async def refuse_copies(world, reading):
    for endpoint in world.endpoints:
        endpoint.moves_refused_until = inf


async def crash_target(world, reading):
    while not world.memory.copies:
        await trio.sleep(0.001)
    address = next(iter(world.memory.copies.values()))
    next(e for e in world.endpoints if e.address == address).crash()


async def take_store_down(world, reading):
    world.store.fault = StoreFault.RESET
    world.store.cut_watches()
    await trio.sleep(0.3)


DISTURBANCES = {
    "nothing else happens": nothing,
    "all engines refuse copies": refuse_copies,
    "the target crashes after the copy": crash_target,
    "the store is down": take_store_down,
    "load_moves is disabled": nothing,
}


@when("a stream of {count:d} events is read, its engine becomes full, and {event}")
def read_while_full(context, count, event):
    context.count = count
    if event == "load_moves is disabled":
        context.ingress.disabled = frozenset({Mechanism.LOAD_MOVES})

    async def script(world):
        context.reading = StreamReading(world, count, SMALL_SIZE)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(context.reading.read)
            await context.reading.wait_for_events(10)
            if event != "the target crashes after the copy":
                await DISTURBANCES[event](world, context.reading)
            _, daemon = world.gateways[0]
            loads = {context.reading.running_endpoint().identity: FULL}
            fleet_load = daemon._state.fleet_load
            fleet_load.apply_report("10.0.0.9", loads, trio.current_time())
            if event == "the target crashes after the copy":
                await DISTURBANCES[event](world, context.reading)

    context.ingress.run(script)
