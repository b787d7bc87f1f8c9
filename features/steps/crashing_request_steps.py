"""Steps for requests that crash whoever runs them."""

from __future__ import annotations

from dataclasses import replace

import trio
from behave import given, then, when
from support.ingress_world import IngressWorld
from support.stream_reading import wait_for_peers

from devtools.bench.crash_simulation import CrashRun, CrashSettings
from devtools.bench.fleet_simulation import FleetSettings
from piershore.core.attempts.attempt_outcome import NOT_RUN_STATUSES
from piershore.core.fleet.placement_policy import DEFAULT_PLACEMENT
from standins.published_endpoint import CRASHING_BODY

SEED = 30
SMALL = "100,40"
NEWS_SECONDS = 0.5
"""Gateways of a small fleet tell each other of a crash within some ms."""


@when(
    "for {seconds:g} seconds a request comes each {gap:g} s that crashes the engines"
    " that run it"
)
def play_crashes(context, seconds, gap):
    settings = FleetSettings(DEFAULT_PLACEMENT, seconds, rate=6.0)
    context.run = CrashRun(settings, SEED, CrashSettings(gap))
    context.run.run()


@then("at most {most:d} engines end under it")
def check_ended(context, most):
    assert len(context.run.crashes) <= most, context.run.crashes


@given("{gateways:d} gateways before {engines:d} engines")
def given_gateways(context, gateways, engines):
    context.ingress = IngressWorld()
    context.ingress.add_endpoints("model", engines)
    context.ingress._start_gateways = gateways


async def send_crashing(context, number):
    reply = await context.ingress.call(
        "stream", size=SMALL, body=CRASHING_BODY, number=number
    )
    context.replies.append(reply)


def with_own_halls(world):
    """Let each gateway find the next engine in a data hall of its own."""
    for number, (_, daemon) in world.gateways.items():
        near = world.endpoints[number].identity
        directory = daemon._state.directory
        for endpoint in directory.of_service("model"):
            hall = "own" if endpoint.name == near else "other"
            directory.put(replace(endpoint, data_hall=hall))
        daemon._state.placement._data_hall = "own"


def play(context, script):
    context.replies = []

    async def whole(world):
        await wait_for_peers(world)
        await script(world)

    context.ingress.run(whole)


@when(
    "a caller sends a request that crashes engines {times:d} times, each time elsewhere"
)
def send_elsewhere(context, times):
    async def script(world):
        for turn in range(times):
            await send_crashing(context, turn % len(world.gateways))
            await trio.sleep(NEWS_SECONDS)

    play(context, script)


@when(
    "a request that crashes engines is sent to all gateways at once, then {times:d} times"
)
def send_at_once(context, times):
    async def script(world):
        with_own_halls(world)
        async with trio.open_nursery() as nursery:
            for number in world.gateways:
                nursery.start_soon(send_crashing, context, number)
        crashed = [e for e in world.endpoints if e.crashed_at is not None]
        assert len(crashed) == len(world.gateways), "one engine crashed for two"
        await trio.sleep(NEWS_SECONDS)
        for turn in range(times):
            await send_crashing(context, turn % len(world.gateways))

    play(context, script)


@when(
    "a request that crashes engines is sent {times:d} times, then to a gateway that starts"
)
def send_to_new(context, times):
    async def script(world):
        for turn in range(times):
            await send_crashing(context, turn % len(world.gateways))
            await trio.sleep(NEWS_SECONDS)
        number = len(world.gateways)
        await world.start_gateway(number)
        await wait_for_peers(world)
        await send_crashing(context, number)

    play(context, script)


@then("at most {most:d} engines have crashed")
def check_crashed(context, most):
    crashed = [e for e in context.ingress.endpoints if e.crashed_at is not None]
    assert len(crashed) <= most, len(crashed)


@then("the last {count:d} answers say that it has not run")
def check_not_run(context, count):
    statuses = [reply.status for reply in context.replies]
    assert all(s in NOT_RUN_STATUSES for s in statuses[-count:]), statuses
    assert all("retry-after" in r.headers for r in context.replies[-count:])
