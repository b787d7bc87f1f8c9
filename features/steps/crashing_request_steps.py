"""Steps for requests that crash the endpoints that run them."""

from __future__ import annotations

from dataclasses import replace
from functools import partial

import trio
from behave import given, then, when
from support.ingress_world import IngressWorld
from support.stream_reading import wait_for_peers

from devtools.bench.crash_simulation import CrashRun, CrashSettings
from devtools.bench.fleet_settings import FleetSettings
from piershore.core.attempts.attempt_outcome import NOT_RUN_STATUSES
from piershore.core.fleet.placement_policy import DEFAULT_PLACEMENT
from standins.published_endpoint import CRASHING_BODY, Silence

SEED = 30
SMALL = "100,40"
LONG = "100,4000"
REPEATED_BODY = b"the same call again"
GIVE_UP = ("deadline-ms", "300")
PATIENT = ("deadline-ms", "1500")
LINGER_SECONDS, REMOVED_AFTER_SECONDS = 0.3, 0.05
UNBROKEN_SECONDS = 0.1
RUN_SECONDS = 20.0
"""Time for a stream to begin at an endpoint on a busy machine."""
REPORT_SECONDS = 0.5
"""Time for crash reports to reach all gateways; a small fleet needs some ms."""


@when("for {seconds:g} seconds a request that crashes engines is sent every {gap:g} s")
def play_crashes(context, seconds, gap):
    settings = FleetSettings(DEFAULT_PLACEMENT, seconds, rate=6.0, refuses=True)
    context.run = CrashRun(settings, SEED, CrashSettings(gap))
    context.run.run()


@then("it crashes at most {maximum:d} engines")
def check_ended(context, maximum):
    assert len(context.run.crashes) <= maximum, context.run.crashes


@given("{gateways:d} gateways before {engines:d} engines")
def given_gateways(context, gateways, engines):
    context.ingress = IngressWorld()
    context.ingress.add_endpoints("model", engines)
    context.ingress._start_gateways = gateways


SERVICES = {"the model": "model", "the desk": "desk"}
KINDS = {"the model": "stream", "the desk": "once"}
TIMES = 5
CHECKED_SECONDS = 1.0
"""Time after which a gateway knows whether an endpoint has crashed."""


@given("{count:d} endpoints of {service} behind 1 gateway")
def given_service(context, count, service):
    context.ingress = IngressWorld()
    context.ingress.add_endpoints(SERVICES[service], count)


async def send_repeatedly(world, service):
    kind = KINDS[service]
    size = SMALL if kind == "stream" else ""
    for _ in range(TIMES):
        await world.call(kind, size=size, body=CRASHING_BODY)
        await trio.sleep(CHECKED_SECONDS)


@when(
    '{service} answers a crashing request with "{answer}" once, and it is sent 5 times'
    " more"
)
def answer_unusably(context, service, answer):
    async def script(world):
        for endpoint in world.endpoints:
            endpoint.faults = [answer]
        kind = KINDS[service]
        size = SMALL if kind == "stream" else ""
        reply = await world.call(kind, size=size, body=CRASHING_BODY)
        assert reply.status == 502, vars(reply)
        for endpoint in world.endpoints:
            endpoint.faults.clear()
        await send_repeatedly(world, service)

    context.ingress.run(script)


@when(
    "its endpoints' ports {do} connections for {seconds:g} s after a crash, and a"
    " request crashes them"
)
def crash_slowly(context, do, seconds):
    async def script(world):
        for endpoint in world.endpoints:
            endpoint.lingers_seconds = seconds
            endpoint.closes_lingering = do == "close"
        await send_repeatedly(world, "the model")

    context.ingress.run(script)


async def give_up_call(world):
    """Send a call that is not answered in time; return the endpoint that got it."""
    for endpoint in world.endpoints:
        endpoint.faults = ["silent"]
    reply = await world.call("once", GIVE_UP, body=REPEATED_BODY)
    assert reply.status == 504, vars(reply)
    (silent,) = [e for e in world.endpoints if not e.faults]
    for endpoint in world.endpoints:
        endpoint.faults.clear()
    return silent


async def answer_others(world, endpoint, seconds):
    """Send other calls for some seconds, and until `endpoint` has answered the last."""
    end = trio.current_time() + seconds
    while endpoint.arrivals[-1].at < end:
        reply = await world.call("once", body=b"%f" % trio.current_time())
        assert reply.status == 200, vars(reply)


@when(
    "a call is given up at two endpoints, and each crashes after {seconds:g} s of other "
    "answers"
)
def crash_later(context, seconds):
    async def script(world):
        for _ in range(2):
            endpoint = await give_up_call(world)
            await answer_others(world, endpoint, seconds)
            endpoint.crash()
            world.store.remove("servers", endpoint.identity)
            await trio.sleep(CHECKED_SECONDS)
        context.reply = await world.call("once", body=REPEATED_BODY)

    context.ingress.run(script)


@when(
    "a call is given up at two endpoints, and each crashes {seconds:g} s later under "
    "other calls"
)
def crash_under_others(context, seconds):
    async def script(world):
        async with trio.open_nursery() as nursery:
            for _ in range(2):
                endpoint = await give_up_call(world)
                await trio.sleep(seconds)
                await begin_others(world, endpoint, nursery)
                await trio.sleep(UNBROKEN_SECONDS)
                endpoint.crash()
                await trio.sleep(CHECKED_SECONDS)
        context.reply = await world.call("once", body=REPEATED_BODY)

    context.ingress.run(script)


async def begin_others(world, endpoint, nursery):
    """Send other calls that get no answer, until `endpoint` has one of them."""
    count = len(endpoint.arrivals)
    for other in world.endpoints:
        other.faults = ["silent"] * 10
    while len(endpoint.arrivals) == count:
        body = b"%f" % trio.current_time()
        nursery.start_soon(partial(world.call, "once", PATIENT, body=body))
        await trio.sleep(0.02)
    for other in world.endpoints:
        other.faults.clear()


async def wait_for_run(world, excluded=()):
    """Return the engine that runs a stream; `excluded` ones may have lost it."""
    with trio.fail_after(RUN_SECONDS):
        while True:
            for endpoint in world.endpoints:
                if endpoint.made and endpoint not in excluded:
                    return endpoint
            await trio.sleep(0.01)


async def read_stream(world):
    await world.call("stream", size=LONG, body=REPEATED_BODY)


async def crash_moved(world, source, sources):
    source.silence = Silence.EVENTS_LOST
    await wait_for_run(world, sources)
    source.crash()
    world.store.remove("servers", source.identity)


async def remove_entry(world, source, sources):
    world.store.remove("servers", source.identity)
    await wait_for_run(world, sources)


def disturb_stream(context, disturb):
    """Disturb two engines of a stream in turn; send it again while it still runs."""

    async def script(world):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(read_stream, world)
            sources = []
            for _ in range(2):
                source = await wait_for_run(world, sources)
                sources.append(source)
                await disturb(world, source, sources)
            await trio.sleep(REPORT_SECONDS)
            context.reply = await world.call("stream", size=SMALL, body=REPEATED_BODY)
            nursery.cancel_scope.cancel()

    context.ingress.run(script)


@when("a stream is moved away from two engines whose events are lost, which then crash")
def crash_after_move(context):
    disturb_stream(context, crash_moved)


@when("a stream has begun at two engines, and the entry of each is removed")
def remove_entries(context):
    disturb_stream(context, remove_entry)


@then("the same {kind} is served by another endpoint")
def check_same_served(context, kind):
    assert context.reply.status == 200, vars(context.reply)


@when("a request crashes endpoints whose entries go while their ports take connections")
def crash_and_remove(context):
    async def remove_crashed(world):
        removed = set()
        while True:
            for endpoint in world.endpoints:
                if endpoint.crashed_at is not None and endpoint not in removed:
                    removed.add(endpoint)
                    await trio.sleep(REMOVED_AFTER_SECONDS)
                    world.store.remove("servers", endpoint.identity)
            await trio.sleep(0.005)

    async def script(world):
        for endpoint in world.endpoints:
            endpoint.lingers_seconds = LINGER_SECONDS
        world.nursery.start_soon(remove_crashed, world)
        await send_repeatedly(world, "the model")

    context.ingress.run(script)


async def send_crashing(context, number):
    reply = await context.ingress.call(
        "stream", size=SMALL, body=CRASHING_BODY, number=number
    )
    context.replies.append(reply)


async def send_in_turn(context, times):
    """Send the request to gateways in turn, waiting for crash reports in between."""
    for turn in range(times):
        await send_crashing(context, turn % len(context.ingress.gateways))
        await trio.sleep(REPORT_SECONDS)


def place_engines_in_data_halls(world):
    """Place a different engine in each gateway's own data hall."""
    for number, (_, daemon) in world.gateways.items():
        near = world.endpoints[number].identity
        directory = daemon._state.directory
        for endpoint in directory.of_service("model"):
            data_hall = "own" if endpoint.name == near else "other"
            directory.put(replace(endpoint, data_hall=data_hall))
        daemon._state.placement._data_hall = "own"


def run_script(context, script):
    context.replies = []

    async def script_with_peers(world):
        await wait_for_peers(world)
        await script(world)

    context.ingress.run(script_with_peers)


@when(
    "a caller sends a request that crashes engines {times:d} times, to gateways in turn"
)
def send_elsewhere(context, times):
    async def script(world):
        await send_in_turn(context, times)

    run_script(context, script)


@when(
    "a request that crashes engines is sent to all gateways at once, then {times:d} times"
)
def send_at_once(context, times):
    async def script(world):
        place_engines_in_data_halls(world)
        async with trio.open_nursery() as nursery:
            for number in world.gateways:
                nursery.start_soon(send_crashing, context, number)
        crashed = [e for e in world.endpoints if e.crashed_at is not None]
        assert len(crashed) == len(world.gateways), "two gateways used one engine"
        await trio.sleep(REPORT_SECONDS)
        for turn in range(times):
            await send_crashing(context, turn % len(world.gateways))

    run_script(context, script)


@when("a request that crashes engines is sent {times:d} times, then to a new gateway")
def send_to_new(context, times):
    async def script(world):
        await send_in_turn(context, times)
        number = len(world.gateways)
        await world.start_gateway(number)
        await wait_for_peers(world)
        await send_crashing(context, number)

    run_script(context, script)


@then("at most {maximum:d} engines have crashed")
def check_crashed(context, maximum):
    crashed = [e for e in context.ingress.endpoints if e.crashed_at is not None]
    assert len(crashed) <= maximum, len(crashed)


@then("the last {count:d} answers say that it has not run")
def check_not_run(context, count):
    statuses = [reply.status for reply in context.replies]
    assert all(s in NOT_RUN_STATUSES for s in statuses[-count:]), statuses
    assert all("retry-after" in r.headers for r in context.replies[-count:])


@given(
    "1 gateway before {count:d} endpoints of the desk, up to {maximum:d} for each call"
)
def given_desk(context, count, maximum):
    context.ingress = IngressWorld()
    context.ingress.add_endpoints("desk", count)
    context.ingress.configuration["routes"][1]["max_attempts"] = maximum


@when("a caller sends a call that crashes them")
def send_call(context):
    async def script(world):
        context.reply = await world.call("repeatable", body=CRASHING_BODY)

    context.ingress.run(script)


@then("at most {maximum:d} endpoints have crashed")
def check_endpoints(context, maximum):
    check_crashed(context, maximum)


@then("the call is answered 502 without a Retry-After header")
def check_failed(context):
    assert context.reply.status == 502, vars(context.reply)
    assert "retry-after" not in context.reply.headers


@when("a request that crashes engines is quarantined, and then others are sent")
def send_others(context):
    async def script(world):
        await send_in_turn(context, 2)
        sent_at = trio.current_time()
        await send_crashing(context, 2)
        context.refused_after = trio.current_time() - sent_at
        context.others = [
            await world.call("stream", size=SMALL, body=b"another prompt", number=2),
            await world.call("stream", size=SMALL, body=b"a third one", number=0),
        ]
        names = {"path_prefix": "/other/", "name": "other"}
        changed = {**world.configuration["routes"][2], **names}
        world.configuration["routes"].append(changed)
        world.configuration["version"] += 1
        world.store.put("config", "main", world.configuration)
        await trio.sleep(REPORT_SECONDS)
        for endpoint in world.endpoints:
            endpoint.crashing_body = None
        context.others.append(
            await world.call("other", size=SMALL, body=CRASHING_BODY, number=1)
        )

    run_script(context, script)


@then("it is refused within {seconds:g} s with 429 and the time of the next probe")
def check_quarantined(context, seconds):
    reply = context.replies[-1]
    assert reply.status == 429, vars(reply)
    assert b'"endpoints_crashed"' in reply.body
    assert 25.0 < float(reply.headers["retry-after"]) <= 30.0
    assert context.refused_after < seconds


@then("those with another body or another path are served")
def check_others(context):
    assert [reply.status for reply in context.others] == [200] * 3


@when(
    "a caller sends a call {times:d} times while they close new connections, and once"
    " later"
)
def send_to_closing(context, times):
    async def script(world):
        for endpoint in world.endpoints:
            endpoint.closes_new = True
        context.replies = [await world.call("repeatable") for _ in range(times)]
        for endpoint in world.endpoints:
            endpoint.closes_new = False
        context.replies.append(await world.call("repeatable"))

    context.ingress.run(script)


@then("the last one is served")
def check_last(context):
    statuses = [reply.status for reply in context.replies]
    assert statuses[-1] == 200, statuses
