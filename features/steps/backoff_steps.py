"""Steps for endpoints that refuse requests and ask callers to back off."""

from __future__ import annotations

import tempfile
from dataclasses import replace
from itertools import count
from math import isclose
from pathlib import Path

import orjson
import trio
from behave import then, when
from notice_steps import play_runs, SHORT
from support.core_checks import fleet_of
from support.gateway_states import known_endpoint, state_of
from support.placements import placement_over
from support.stream_reading import StreamReading

from piershore.core.fleet.endpoint_directory import EndpointDirectory
from piershore.core.fleet.endpoint_health import EndpointHealth
from piershore.core.fleet.fleet_load import FleetLoad
from piershore.core.fleet.requested_backoffs import RequestedBackoffs
from piershore.http1.message import ResponseHead
from piershore.platform.headers import PlatformDialect

PAUSE_SECONDS = 0.01
MAX_RETRY_AFTER_RATIO = 1.25
"""Retries of callers are spread over up to this multiple of the backoff."""
SERVICES = {"the desk": "desk", "the model": "model"}
BACKOFF_SECONDS = 5.0
STEP_SECONDS = 1 / 64
LARGE_SIZE = "11000,{}"
"""Prompt tokens of a stream that gets a backup."""


@when("for 9 seconds one refuses calls and requests a backoff of {backoff:g} s")
def play_backoffs(context, backoff):
    play_runs(context, rest=backoff)


@then("at most {maximum:d} calls from one gateway reach it within a backoff")
def check_arrivals_in_backoffs(context, maximum):
    worst = [max(run.rest_arrivals()) for run in context.runs]
    assert max(worst) <= maximum, worst


@then("no call is refused")
def check_none_refused(context):
    refused = [run.refused for run in context.runs]
    assert not any(refused), refused


@when("an endpoint of the desk refuses a call and requests a backoff of {backoff:g} s")
def request_backoff(context, backoff):
    async def script(world):
        endpoint = world.endpoints[0]
        endpoint.rest = backoff
        endpoint.sheds_until = trio.current_time() + backoff / 2
        context.replies = []
        while not endpoint.rests:
            context.replies.append(await world.call("once"))
        context.requested = endpoint.rests[0]
        end = context.requested.at + backoff
        while trio.current_time() < end or not has_more(endpoint, end):
            context.replies.append(await world.call("once"))
            await trio.sleep(PAUSE_SECONDS)
        context.endpoint = endpoint

    context.ingress.run(script)


def has_more(endpoint, after):
    return any(arrival.at > after for arrival in endpoint.arrivals)


@then("it gets no call from the gateway within that time, and some after it")
def check_backoff(context):
    requested = context.requested
    within = [
        arrival.at - requested.at
        for arrival in context.endpoint.arrivals
        if requested.at < arrival.at < requested.at + requested.seconds
    ]
    assert not within, within


@then("all calls are served")
def check_all_served(context):
    assert {reply.status for reply in context.replies} == {200}


@then(
    'the backoff requested by a {status:d} answer with Retry-After "{value}" is {backoff}'
)
def check_value(context, status, value, backoff):
    headers = tuple((b"retry-after", v.encode()) for v in value.split(" and "))
    notice = PlatformDialect().read_notice(ResponseHead(status, headers))
    if backoff == "nothing":
        assert notice.rest_seconds is None, notice
    else:
        assert isclose(notice.rest_seconds, float(backoff.removesuffix(" s"))), notice


@then("a later, shorter backoff doesn't end a longer one")
def check_longest(context):
    backoffs = RequestedBackoffs()
    endpoint = next(iter(fleet_of(1)))
    backoffs.record(endpoint.identity, 3.0, 10.0)
    backoffs.record(endpoint.identity, 1.0, 11.0)
    assert backoffs.is_active(endpoint.identity, 12.9)
    assert isclose(backoffs.seconds_left(endpoint.identity, 12.0), 1.0)
    assert not backoffs.is_active(endpoint.identity, 13.0)
    backoffs.record(endpoint.identity, 1.0, 13.5)
    backoffs.record(endpoint.identity, 3.0, 14.0)
    assert backoffs.is_active(endpoint.identity, 16.9)
    backoffs.drop_expired(17.0)
    assert len(backoffs) == 0


@then("a backoff of one incarnation doesn't apply to the next one")
def check_successor(context):
    backoffs = RequestedBackoffs()
    endpoint = replace(next(iter(fleet_of(1))), born=1)
    backoffs.record(endpoint.identity, 3.0, 10.0)
    assert not backoffs.is_active(replace(endpoint, born=2).identity, 10.0)


def standins_of(world, service):
    return [e for e in world.endpoints if e.service == service]


def record_backoffs(world, standins, seconds):
    """Record that endpoints have just requested a backoff of a gateway."""
    state = state_of(world)
    for standin in standins:
        identity = known_endpoint(world, standin).identity
        state.backoffs.record(identity, seconds, trio.current_time())


async def send(world, kind, **named):
    size = SHORT if kind == "stream" else ""
    return await world.call(kind, size=size, **named)


@when("all endpoints of {service} request a backoff of {backoff:g} s")
def request_all_backoffs(context, service, backoff):
    async def script(world):
        standins = standins_of(world, SERVICES[service])
        for standin in standins:
            standin.rest = backoff
            standin.sheds_until = trio.current_time() + backoff
        kind = "stream" if SERVICES[service] == "model" else "once"
        while not all(standin.rests for standin in standins):
            await send(world, kind)
        context.standins = standins
        context.first_end = min(s.rests[0].at for s in standins) + backoff
        context.replies = {}
        for kind in ("once", "repeatable", "stream"):
            started = trio.current_time()
            reply = await send(world, kind)
            context.replies[kind] = reply, started, trio.current_time()

    context.ingress.run(script)


@then(
    'a "{kind}" request is refused within {seconds:g} s, to retry when the first backoff'
    " ends"
)
def check_retry_after(context, kind, seconds):
    reply, started, ended = context.replies[kind]
    assert reply.status == 503, vars(reply)
    assert b'"endpoints_resting"' in reply.body
    assert ended - started < seconds
    remaining = context.first_end - ended
    retry_after = float(reply.headers["retry-after"])
    assert (
        remaining
        <= retry_after
        <= MAX_RETRY_AFTER_RATIO * (context.first_end - started) + 0.01
    )


@then("no endpoint got a request within its backoff")
def check_none_within(context):
    assert all(len(standin.arrivals) == 1 for standin in context.standins)


@when('a "{kind}" request comes {milliseconds:d} ms before the end of all backoffs')
def send_before_end(context, kind, milliseconds):
    async def script(world):
        record_backoffs(world, world.endpoints, milliseconds / 1_000)
        context.reply = await send(world, kind)

    context.ingress.run(script)


@then("it is served")
def check_served(context):
    assert context.reply.status == 200, vars(context.reply)


def call_while(context, action):
    """Call `happens` for the first endpoint to which a call connects, meanwhile."""

    async def script(world):
        state = state_of(world)
        take = state.pool.acquire
        slow = []

        async def take_slowly(endpoint, longest_idle):
            connection = await take(endpoint, longest_idle)
            if not slow:
                slow.append(endpoint)
                action(state, endpoint)
            return connection

        state.pool.acquire = take_slowly
        context.reply = await world.call("once", request="abc")
        context.avoided = slow[0]
        context.is_ejected = state.health.failure_rate(slow[0].identity) > 0

    context.ingress.run(script)


@when("an endpoint requests a backoff while a call to it connects")
def request_while_connecting(context):
    def request(state, endpoint):
        state.backoffs.record(endpoint.identity, 1.0, trio.current_time())

    call_while(context, request)


@then("the call is served elsewhere")
def check_elsewhere(context):
    assert context.reply.status == 200, vars(context.reply)
    ran_at = [e.identity for e in context.ingress.endpoints if e.arrivals]
    assert ran_at != [context.avoided.name]
    assert len(ran_at) == 1
    assert not context.is_ejected


@when("an endpoint answers 503 with Retry-After, without saying that nothing ran")
def answer_unproven(context):
    async def script(world):
        endpoint = world.endpoints[0]
        for other in world.endpoints[1:3]:
            state_of(world).directory.mark_leaving(other.identity)

        async def answer(arrival):
            endpoint.note_run(arrival)
            await endpoint.respond(arrival, 503, b"", ("Retry-After", "2"), seal=False)

        endpoint._shed = answer
        endpoint.sheds_until = trio.current_time() + 1.0
        context.reply = await world.call("once")
        context.later = await world.call("once")

    context.ingress.run(script)


@then("the caller isn't told that nothing has run, and the endpoint's backoff applies")
def check_unproven(context):
    assert context.reply.status == 502, vars(context.reply)
    assert context.later.status == 503
    assert len(context.ingress.endpoints[0].arrivals) == 1


def crash_under_stream(context, prepare):
    """Call `prepare` with the backup of a large stream, then crash its engine."""

    async def script(world):
        context.reading = StreamReading(world, 300, LARGE_SIZE)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(context.reading.read)
            await context.reading.wait_for_events(120)
            engine = context.reading.running_endpoint()
            context.backup = next(e for e in world.endpoints if e is not engine)
            assert world.memory.copies, "the stream has no backup"
            prepare(world, context.backup)
            engine.crash()

    context.ingress.run(script)


@when(
    "the engine of a large stream crashes {backoff:g} s before the end of its backup's"
    " backoff"
)
def crash_before_backoff_ends(context, backoff):
    def prepare(world, backup):
        record_backoffs(world, [backup], backoff)
        context.rest_ends = trio.current_time() + backoff

    crash_under_stream(context, prepare)


@then("the backup gets nothing within that time, and the stream ends {end}")
def check_continued(context, end):
    assert all(a.at >= context.rest_ends for a in context.backup.arrivals)
    assert context.reading.reply.is_whole == (end == "whole")


@when("an endpoint requests a backoff, and then a call is served")
def serve_during_backoff(context):
    output, context.log = tempfile.mkstemp()
    context.ingress.log_output = output

    async def script(world):
        record_backoffs(world, world.endpoints[:1], BACKOFF_SECONDS)
        await world.call("once", request="abc")
        world.gateways[0][1]._log.flush()

    context.ingress.run(script)


@then("the log of that call names the endpoint as resting")
def check_log(context):
    lines = Path(context.log).read_bytes().splitlines()
    events = [orjson.loads(line) for line in lines]
    started = next(e for e in events if e["event"] == "attempt_started")
    assert started["resting"] == ["i-0"], started


@when("for 9 seconds one refuses calls without a backoff, at {rate:g} calls a second")
def play_refusals(context, rate):
    play_runs(context, rest=None, rate=rate)


@when("an endpoint of the desk refuses calls while {count:d} come one after the other")
def refuse_calls(context, count):
    async def script(world):
        endpoint = world.endpoints[0]
        endpoint.sheds_until = float("inf")
        context.replies = []
        for _ in range(count):
            context.replies.append(await world.call("once"))
            await trio.sleep(PAUSE_SECONDS)
        context.endpoint = endpoint

    context.ingress.run(script)


@then("at most {maximum:d} of them reach it in a second")
def check_refusing(context, maximum):
    times = [arrival.at for arrival in context.endpoint.arrivals]
    worst = max(sum(at <= other < at + 1.0 for other in times) for at in times)
    assert worst <= maximum, times


@then(
    "an endpoint that refuses is ejected for {first:g} to {longest:g} s, and chosen if"
    " all refuse"
)
def check_left_out(context, first, longest):
    health, now = EndpointHealth(), 0.0
    seconds = []
    for _ in range(6):
        assert health.record_refusal("i-0", now)
        until = next(t for t in times_from(now) if not health.is_ejected("i-0", t))
        seconds.append(until - now)
        now = until
    assert isclose(seconds[0], first, abs_tol=STEP_SECONDS)
    assert isclose(max(seconds), longest, abs_tol=STEP_SECONDS)
    assert seconds == sorted(seconds)
    health.record_refusal("i-0", now)
    health.record_success("i-0")
    assert not health.is_ejected("i-0", now)
    directory = EndpointDirectory()
    directory.put(next(iter(fleet_of(1))))
    health.record_refusal("i-0", now)
    placement = placement_over(directory, FleetLoad(), health=health)
    assert placement.for_call("model", now).endpoint.name == "i-0"


def times_from(start):
    """Yield times from `start` on, in steps of `STEP_SECONDS`."""
    return (start + step * STEP_SECONDS for step in count())


@then("it is still ejected after {count:d} ejections")
def check_many_ejections(context, count):
    health, now = EndpointHealth(), 0.0
    for _ in range(count):
        health.eject("i-0", now)
        assert health.is_ejected("i-0", now)
        now += 10.0
