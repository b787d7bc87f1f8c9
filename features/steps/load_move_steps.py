"""Steps for generations that move because of load."""

from __future__ import annotations

from collections import Counter
from itertools import pairwise, product
from math import inf, nan
from random import Random

import trio
from behave import then, when
from ingress_stream_steps import FULL
from support.moving_fleet import endpoint, MovingFleet, SPEC
from support.stream_reading import SMALL_SIZE, StreamReading

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


def replaced(random, age):
    shares = [random.uniform(0.93, 1.0) for _ in range(16)] + [0.0] * 4
    return MovingFleet(random.random(), shares, 20, age)


def replaced_later(random, age):
    shares = [random.uniform(0.97, 1.0) for _ in range(16)] + [0.0]
    return MovingFleet(random.random(), shares, 20, age, opens_at=2.5)


def anything(random, age):
    shares = [random.uniform(0.2, 1.0) ** 0.5 for _ in range(random.randrange(3, 16))]
    slowness = [random.choice((0.6, 1.0, 1.6)) for _ in shares]
    return MovingFleet(random.random(), shares, random.randrange(2, 16), age, slowness)


def with_room(random, age):
    shares = [random.uniform(0.0, 0.8) for _ in range(12)]
    return MovingFleet(random.random(), shares, 8, age)


def uneven(random, age):
    shares, slowness = [0.5] * 8 + [0.0] * 2, [1.6, 1.0] * 4 + [0.6] * 2
    return MovingFleet(random.random(), shares, 6, age, slowness)


FLEETS = {
    "where a sixth of the engines was replaced": replaced,
    "whose one replacement is ready after 2.5 s": replaced_later,
    "of random sizes, loads and speeds": anything,
    "with memory to spare": with_room,
    "with slow endpoints and empty fast ones": uneven,
}


@when("{count:d} fleets {kind} serve for {seconds:d} s, by views up to {age:g} s old")
def serve(context, count, kind, seconds, age):
    def served(moves):
        fleets = [FLEETS[kind](Random(seed), age) for seed in range(count)]
        for fleet in fleets:
            fleet.run(seconds, moves=moves)
        return fleets

    context.fleets, context.without_moves = served(True), lambda: served(False)


@then("at most {share:g} of the generations that are preempted without moves are")
def check_preempted(context, share):
    preempted = sum(len(fleet.preempted) for fleet in context.fleets)
    without = sum(len(fleet.preempted) for fleet in context.without_moves())
    assert without > 0
    assert preempted <= share * without, (preempted, without)


@then("at most {most:d} gateways move generations to one engine at the same moment")
def check_simultaneous(context, most):
    assert any(fleet.moves for fleet in context.fleets)
    for fleet in context.fleets:
        begun = Counter((at, move.target.identity) for at, _, move in fleet.moves)
        assert max(begun.values(), default=0) <= most, begun


@then("nothing moves")
def check_nothing_moves(context):
    assert not any(fleet.moves for fleet in context.fleets)


@then("generations move away from slow endpoints only, to others")
def check_slow_left(context):
    moves = [move for fleet in context.fleets for _, _, move in fleet.moves]
    assert len(moves) >= len(context.fleets)
    assert all(m.source_slowness >= MIN_SLOWNESS > m.target_slowness for m in moves)


@then("no generation moves twice within its minimum stay")
def check_stay(context):
    check_distances(
        context, lambda gateway, move: move.stream.request, MIN_STAY_SECONDS
    )


@then("no gateway begins two moves within a second")
def check_rate(context):
    check_distances(context, lambda gateway, move: gateway, 1.0)


def check_distances(context, key, seconds):
    assert any(fleet.moves for fleet in context.fleets)
    for fleet in context.fleets:
        times = {}
        for at, gateway, move in fleet.moves:
            times.setdefault(key(gateway, move), []).append(at)
        for begun in times.values():
            assert all(b - a > seconds - 0.001 for a, b in pairwise(begun)), begun


@then("a planner decides by any loads and speeds without an error")
def check_absurd(context):
    source, target = endpoint(0), endpoint(1)
    streams = [MovableStream(str(i), source, 3_000, 500, 5, 0.0) for i in range(4)]
    loads = [EndpointLoad(*numbers) for numbers in product(ABSURD_TOKENS, repeat=3)]
    for here, there, speed in product(loads, loads, ABSURD_SPEEDS):
        known = {"0": here, "1": there}
        view = FleetView(
            SPEC,
            [source],
            lambda _: streams,
            lambda: [source, target],
            bool,
            known.get,
            lambda _: "g",
        )
        planner = LoadMovePlanner("g", dict.fromkeys(known, speed).get)
        moves = [planner.plan(view, now) for now in (0.0, 0.3, 0.4, 0.5)]
        assert sum(move is not None for move in moves) <= 1


async def refuse_copies(world):
    for one in world.endpoints:
        one.moves_refused_until = inf


async def crash_target(world):
    while not world.memory.copies:
        await trio.sleep(0.001)
    address = next(iter(world.memory.copies.values()))
    next(one for one in world.endpoints if one.address == address).crash()


async def take_store_down(world):
    world.store.fault = StoreFault.RESET
    world.store.cut_watches()
    await trio.sleep(0.3)


BEFORE = {
    "all engines refuse copies": refuse_copies,
    "the store is down": take_store_down,
}
AFTER = {"the target crashes after the copy": crash_target}


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
            if event in BEFORE:
                await BEFORE[event](world)
            _, daemon = world.gateways[0]
            loads = {context.reading.running_endpoint().identity: FULL}
            fleet_load = daemon._state.fleet_load
            fleet_load.apply_report("10.0.0.9", loads, trio.current_time())
            if event in AFTER:
                await AFTER[event](world)

    context.ingress.run(script)
