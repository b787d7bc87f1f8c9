"""Steps for gateways of which one gets most new connections."""

from __future__ import annotations

from random import Random

import trio
from behave import given, then, when
from support.ingress_world import IngressWorld
from support.stream_reading import wait_for_peers

from devtools.rate_window import allowed_requests, CONTACT_SECONDS, most_in_window
from piershore.http1.exceptions import ExchangeBrokenError, NotConnectedError

SEED = 1


@given(
    "{gateways:d} gateways and {endpoints:d} endpoints that accept {rate:g} calls a"
    " second each"
)
def given_limited(context, gateways, endpoints, rate):
    context.ingress = IngressWorld()
    context.ingress.add_endpoints("desk", endpoints)
    context.ingress._start_gateways = gateways
    context.rate = rate
    for endpoint in context.ingress.endpoints:
        endpoint.rate_limit = f"{rate:g}"


@when(
    "of {load:g} calls a second {share:g} come to one gateway after {before:g} s, for"
    " {seconds:g} s"
)
def send_calls(context, load, share, before, seconds):
    random = Random(SEED)
    context.calls = []

    async def send(world, number):
        at = trio.current_time()
        try:
            reply = await world.call("once", number=number)
            context.calls.append((at, reply.status == 200))
        except (NotConnectedError, ExchangeBrokenError):
            context.calls.append((at, False))

    async def script(world):
        await wait_for_peers(world)
        context.began_at = trio.current_time()
        context.skewed_at = context.began_at + before
        async with trio.open_nursery() as nursery:
            while trio.current_time() < context.skewed_at + seconds:
                number = random.randrange(len(world.gateways))
                is_skewed = trio.current_time() >= context.skewed_at
                if is_skewed and random.random() < share:
                    number = 0
                nursery.start_soon(send, world, number)
                await trio.sleep(random.expovariate(load))

    context.ingress.run(script)


@then("calls are served at the first attempt {ratio:g} as often as before")
def check_served(context, ratio):
    def share(begin, end):
        served = [is_served for at, is_served in context.calls if begin <= at < end]
        return sum(served) / len(served)

    before = share(context.began_at + CONTACT_SECONDS, context.skewed_at)
    after = share(context.skewed_at + CONTACT_SECONDS, float("inf"))
    print(f"served {before:.3f} before, {after:.3f} after")
    assert after >= ratio * before, (before, after)


@then("the endpoints never get more than they accept")
def check_rates(context):
    for endpoint in context.ingress.endpoints:
        times = [arrival.at for arrival in endpoint.arrivals]
        maximum = most_in_window(times, context.began_at + CONTACT_SECONDS)
        allowed = allowed_requests(context.rate)
        assert maximum <= allowed, (endpoint.identity, maximum, allowed)
