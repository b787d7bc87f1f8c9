"""Steps for endpoints that name the rate that they take."""

from __future__ import annotations

import trio
from behave import then, when
from notice_steps import SEEDS
from support.stream_reading import wait_for_peers

from devtools.bench.call_simulation import CallRun, CallSettings
from devtools.rate_window import allowed_requests, CONTACT_SECONDS, most_in_window

CALLS_SECONDS = 5.0
CALL_GAP_SECONDS = 0.02


@when("one of 3 endpoints names its rate for 9 seconds")
def play_rates(context):
    context.runs, context.counted = [], []
    for row in context.table:
        rate = float(row["rate"])
        settings = CallSettings(
            gateways=int(row["gateways"]), rate=float(row["load"]), rate_limit=rate
        )
        for seed in SEEDS:
            run = CallRun(settings, seed)
            run.run()
            context.runs.append(run)
            context.counted.append((run.most_at_limited(), allowed_requests(rate)))


@when("an endpoint of the desk names {rate:g} requests a second while calls come")
def name_rate(context, rate):
    async def script(world):
        await wait_for_peers(world)
        endpoint = world.endpoints[0]
        endpoint.rate_limit = f"{rate:g}"
        context.replies = []
        begun = trio.current_time()
        while trio.current_time() < begun + CALLS_SECONDS:
            number = len(context.replies) % len(world.gateways)
            context.replies.append(await world.call("once", number=number))
            await trio.sleep(CALL_GAP_SECONDS)
        times = [arrival.at for arrival in endpoint.arrivals]
        most = most_in_window(times, begun + CONTACT_SECONDS)
        context.counted = [(most, allowed_requests(rate))]

    context.ingress.run(script)


@then("it never gets more from gateways that know of it than it takes")
def check_rate(context):
    assert all(most <= allowed for most, allowed in context.counted), context.counted
