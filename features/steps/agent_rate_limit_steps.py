"""Steps for rate limits that endpoints advertise to their agents."""

from __future__ import annotations

import trio
from agent_backoff_steps import AgentHarness, engine_sender, run_script, service_sender
from behave import then, when
from hypothesis import strategies as st
from support.core_checks import checked

from devtools.rate_window import allowed_requests, most_in_window, WINDOW_SECONDS
from piershore.core.limits.endpoint_rate_limiter import (
    EndpointRateLimiter,
    MAX_REORDERING_SECONDS,
)
from piershore.core.outcome import Outcome
from standins.engine import EngineStandin
from standins.engine_model import EngineSettings
from standins.service import ServiceStandin

RATE = 2.0
GAP_SECONDS = 0.1
REQUEST_COUNT = 40
LATER_REQUEST_COUNT = 5


ENDPOINTS = {
    "a plain service": (ServiceStandin, service_sender),
    "an engine": (lambda: EngineStandin(EngineSettings(), 1.0), engine_sender),
}


@when(
    "{endpoint} advertises 2 requests a second to its agent, and 40 arrive within 4 s"
)
def advertise_to_agent(context, endpoint):
    standin, sender = ENDPOINTS[endpoint]

    async def script(agent, nursery):
        send = sender(agent, nursery)
        agent.standin.naming.rate = RATE
        send(1)
        await agent.wait_for(1, "answered", "ended")
        for number in range(2, 2 + REQUEST_COUNT):
            send(number)
            await trio.sleep(GAP_SECONDS)
        for number in range(2, 2 + REQUEST_COUNT):
            await agent.wait_for(number, "answered", "ended", "refused")
        context.received_at = list(agent.standin.naming.times)
        agent.standin.naming.rate = None
        await trio.sleep(MAX_REORDERING_SECONDS + 1 / RATE)
        send(100)
        await agent.wait_for(100, "answered", "ended", "refused")
        later = range(101, 101 + LATER_REQUEST_COUNT)
        for number in later:
            send(number)
        for number in later:
            await agent.wait_for(number, "answered", "ended", "refused")
        context.later_results = [
            agent.frames_of(number)[0][-1] for number in (100, *later)
        ]

    run_script(context, AgentHarness(standin()), script)


@then("its agent uses the rate limit and never exceeds it")
def check_sent(context):
    highest_count = most_in_window(context.received_at, 0.0)
    assert highest_count <= allowed_requests(RATE), highest_count
    assert len(context.received_at) >= RATE * WINDOW_SECONDS * 0.8, len(
        context.received_at
    )


@then("the others are refused as not run with {code} and a time to retry")
def check_refused(context, code):
    ends = [context.agent.frames_of(number) for number in range(2, 2 + REQUEST_COUNT)]
    refused = [message for kinds, message in ends if kinds[-1] == "refused"]
    assert len(refused) >= REQUEST_COUNT / 2, len(refused)
    for message in refused:
        assert message.reason == code, message
        assert message.outcome == Outcome.NOT_RUN, message
        assert 0 < message.retry_after_seconds <= WINDOW_SECONDS, message


@then("once it advertises no rate limit, no request is refused")
def check_later(context):
    assert "refused" not in context.later_results, context.later_results


@then(
    "in any 4 s there are no more permits than the rate allows and one second's worth"
)
def check_permits(context):
    @checked(
        st.floats(0.1, 100),
        st.lists(st.floats(0, 0.5), min_size=20, max_size=200),
        examples=100,
    )
    def check(rate, gaps):
        limit = EndpointRateLimiter()
        limit.record_answer(rate, 0.0)
        now, sent = 0.0, []
        for gap in gaps:
            now += gap
            if limit.try_acquire(now):
                sent.append(now)
            else:
                assert limit.seconds_until_available(now) > 0
        burst = max(1.0, rate)
        assert most_in_window(sent, 0.0) <= rate * WINDOW_SECONDS + burst


@then(
    "an answer without a rate ends the agent's limit, unless it overlaps one with a rate"
)
def check_end(context):
    limit = EndpointRateLimiter()
    assert limit.try_acquire(0.0)
    limit.record_answer(0.5, 1.0)
    assert limit.try_acquire(1.0)
    assert not limit.try_acquire(1.1)
    limit.record_answer(None, 1.2)
    assert not limit.try_acquire(1.3)
    limit.record_answer(None, 1.0 + MAX_REORDERING_SECONDS)
    assert limit.try_acquire(1.0 + MAX_REORDERING_SECONDS)
    limit.record_answer(0.0, 3.0)
    assert limit.try_acquire(3.0), (
        "one request must probe whether a rate of 0 still applies"
    )
    assert not limit.try_acquire(4.0)
