"""Steps for parts of prompts that crash the engines that run them."""

from __future__ import annotations

import trio
from behave import given, step, then, when
from support.ingress_world import IngressWorld
from support.part_traffic import CRASHING_PART, FIRST_PART, PartTraffic, SECOND_PART
from support.stream_reading import wait_for_peers

from standins.published_endpoint import CrashPoint

POSITIONS = {"first": 0, "second": 1, "third": 2}
CONTACT_SECONDS = 3.0
"""Time that gateways have to learn of a crash."""
MAX_CRASHES, MAX_LATER_RUNS = 5, 3


@given("{gateways:d} gateways and {engines:d} engines that a part crashes {when}")
def given_fleet(context, gateways, engines, when):
    context.ingress = IngressWorld()
    context.ingress.add_endpoints("model", engines)
    context.ingress._start_gateways = gateways
    context.engine_options = {"crash_point": CrashPoint(when)}


@step("streams end with their connection")
def set_ended_by_connection(context):
    context.engine_options["ends_with_connection"] = True


@step("of {rate:g} streams a second a share of {share:g} has the part {place}")
def given_traffic(context, rate, share, place):
    world = context.ingress
    context.traffic = PartTraffic(world, rate, share, POSITIONS[place])
    context.traffic.engine_options = context.engine_options
    context.traffic.open_gateways = list(range(world._start_gateways))
    for endpoint in world.endpoints:
        context.traffic.set_up(endpoint)


async def play(context, before, seconds):
    await wait_for_peers(context.ingress)
    context.began_at = trio.current_time()
    await context.traffic.run(before, seconds)
    context.ended_at = trio.current_time()


@when("they are sent for {before:g} s without the part, and for {seconds:g} s with it")
def send_streams(context, before, seconds):
    context.ingress.run(lambda world: play(context, before, seconds))


@when(
    "after {seconds:g} s with it a gateway starts, and gets {times:d} requests with the"
    " part as soon as it is ready"
)
def start_gateway(context, seconds, times):
    async def script(world):
        await play(context, 0.0, seconds)
        number = len(world.gateways)
        await world.start_gateway(number)
        context.replies = []
        for _ in range(times):
            parts = [FIRST_PART, SECOND_PART, CRASHING_PART]
            context.replies.append(await context.traffic.send(parts, number))

    context.ingress.run(script)


@then("the last {count:d} are answered 429 with the time of the next probe")
def check_refused(context, count):
    replies = context.replies[-count:]
    assert [reply.status for reply in replies] == [429] * count
    assert all("retry-after" in reply.headers for reply in replies)


@then(
    "at most {crashes:d} engines crash, and at most {runs:d} runs with the part follow"
)
def check_crashes(context, crashes, runs):
    times = context.traffic.crash_times()
    began = context.traffic.runs_with_part()
    context.crash_times = times
    later = len(began)
    if len(times) >= crashes:
        later = sum(at > times[crashes - 1] + CONTACT_SECONDS for at in began)
    relative = [round(at - context.began_at, 2) for at in times]
    print(f"{len(times)} crashes, {len(began)} runs, {later} later: {relative}")
    assert len(times) <= crashes, relative
    assert len(times) < crashes or later <= runs, later


@then("no stream that its engine broke off looks complete")
def check_incomplete(context):
    assert not context.traffic.wrongly_whole, context.traffic.wrongly_whole


@then("sound streams are served {ratio:g} as often as before")
def check_sound(context, ratio):
    traffic = context.traffic
    times = context.crash_times
    last = times[min(len(times), MAX_CRASHES) - 1]
    before = traffic.served_share(context.began_at, traffic.crashing_since)
    after = traffic.served_share(last + 2 * CONTACT_SECONDS, context.ended_at)
    print(f"served {before:.3f} before, {after:.3f} after")
    assert after >= ratio * before, (before, after)
