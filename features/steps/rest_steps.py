"""Steps for endpoints that turn requests away and ask for rest."""

from __future__ import annotations

import trio
from behave import then, when
from notice_steps import play

PAUSE_SECONDS = 0.01


@when("for 9 seconds one turns calls away and asks for {rest:g} s of rest")
def play_rest(context, rest):
    play(context, rest=rest)


@then("at most {most:d} calls of a gateway reach it within a rest")
def check_rests(context, most):
    worst = [max(run.rest_arrivals()) for run in context.runs]
    assert max(worst) <= most, worst


@then("no call is refused")
def check_none_refused(context):
    refused = [run.refused for run in context.runs]
    assert not any(refused), refused


@when("an endpoint of the desk turns a call away and asks for {rest:g} s of rest")
def ask_rest(context, rest):
    async def script(world):
        endpoint = world.endpoints[0]
        endpoint.rest = rest
        endpoint.sheds_until = trio.current_time() + rest / 2
        context.replies = []
        while not endpoint.rests:
            context.replies.append(await world.call("once"))
        context.asked = endpoint.rests[0]
        end = context.asked.at + rest
        while trio.current_time() < end or not has_more(endpoint, end):
            context.replies.append(await world.call("once"))
            await trio.sleep(PAUSE_SECONDS)
        context.endpoint = endpoint

    context.ingress.run(script)


def has_more(endpoint, after):
    return any(arrival.at > after for arrival in endpoint.arrivals)


@then("it gets no call from the gateway within that time, and some after it")
def check_rest(context):
    asked = context.asked
    within = [
        arrival.at - asked.at
        for arrival in context.endpoint.arrivals
        if asked.at < arrival.at < asked.at + asked.seconds
    ]
    assert not within, within


@then("all calls are served")
def check_all_served(context):
    assert {reply.status for reply in context.replies} == {200}
