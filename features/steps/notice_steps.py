"""Steps for what endpoints ask in the heads of their answers."""

from __future__ import annotations

import trio
from behave import given, then, when
from support.stream_reading import wait_for_peers

from devtools.bench.call_simulation import CallRun, CallSettings

SEEDS = range(4)
CALLS = 20
PROMISED_SECONDS = 2.0
"""An endpoint that has said that it leaves gets nothing new so long after."""
LEAVES = "server-leaving"


@given("{gateways:d} gateways before {endpoints:d} endpoints of a plain service")
def given_plain(context, gateways, endpoints):
    context.sizes = {"gateways": gateways, "endpoints": endpoints}


def play(context, **settings):
    context.runs = [
        CallRun(CallSettings(**context.sizes, **settings), seed) for seed in SEEDS
    ]
    for run in context.runs:
        run.run()


@when("for 9 seconds one says in its answers that it leaves")
def play_leaving(context):
    play(context, leaves=True)


@then(
    "no call that came {seconds:g} s after such an answer is sent there by the same"
    " gateway"
)
def check_late(context, seconds):
    late = [len(list(run.late_arrivals(seconds))) for run in context.runs]
    assert not any(late), late


async def told(world, number):
    """Call until an answer says that its endpoint leaves."""
    while LEAVES not in (await world.call("once", number=number)).headers:
        pass


async def calls_reaching(world, endpoint, number):
    """Return how many of some calls at a gateway reach an endpoint."""
    before = len(endpoint.arrivals)
    for _ in range(CALLS):
        await world.call("once", number=number)
    return len(endpoint.arrivals) - before


@when("an endpoint of the desk says in its answers that it leaves")
def tell_leaving(context):
    async def script(world):
        await wait_for_peers(world)
        endpoint = world.endpoints[0]
        endpoint.tells_leaving = True
        await told(world, 0)
        context.reached = [await calls_reaching(world, endpoint, 0)]
        await trio.sleep(PROMISED_SECONDS)
        context.reached.append(await calls_reaching(world, endpoint, 1))

    context.ingress.run(script)


@then("the gateway that has passed on such an answer sends nothing more there")
def check_own(context):
    assert context.reached[0] == 0, context.reached


@then("{seconds:g} s after it the other gateway doesn't, either")
def check_other(context, seconds):
    assert context.reached[1] == 0, context.reached
