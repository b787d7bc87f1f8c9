"""Steps for token streams."""

from __future__ import annotations

import time

from behave import then, when

from devtools.caller import token_fault
from devtools.deployment import wait_until
from piershore.core.routing.aperture import choose_aperture
from piershore.gateway.agent_link import SILENCE_TIMEOUT_SECONDS

FREEZE_MARGIN_SECONDS = 1.0
"""Time for which the gateway is frozen beyond the silence timeout."""


def serving_number(world):
    """Return the number of the engine that generates the first stream."""
    if world.streams and world.streams[0].endpoint:
        return world.streams[0].endpoint.partition("-")[2]

    def started():
        for number in (1, 2):
            url = f"{world.deployment.url(f'engine-{number}')}/_generations"
            if world.deployment.client.get(url).json()["started"]:
                return str(number)
        return None

    return wait_until(started, "an engine to start")


def set_engines_paused(world, paused):
    for number in (1, 2):
        process = world.deployment.process(f"engine-{number}")
        if process.is_running:
            url = world.deployment.url(f"engine-{number}") + "/_pause"
            world.deployment.client.post(url, json={"paused": paused})


@when("a stream of {count:d} tokens is requested")
def request_stream(context, count):
    world = context.world
    set_engines_paused(world, True)
    world.stream(count)


def run_until(world, moment):
    """Let the engines run until the moment of the fault; return the serving one."""
    if moment == "before the first token":
        return serving_number(world)
    set_engines_paused(world, False)
    world.streams[0].wait_for_tokens(int(moment.split()[1]))
    return serving_number(world)


def kill_engine(world, number):
    world.deployment.process(f"engine-{number}").kill()


def kill_agent(world, number):
    world.deployment.process(f"review-{number}").kill()


def replace_agent(world, number):
    kill_agent(world, number)
    world.relays.pop(f"review-{number}").close()
    world.start_agent(f"review-{number}", relayed=True)


def cut_link(world, number):
    world.relays[f"review-{number}"].cut()


def stall_link(world, number):
    relay = world.relays[f"review-{number}"]
    relay.stall()
    wait_link_state(world, f"review-{number}", is_open=False)
    relay.resume()


def freeze_agent(world, number):
    process = world.deployment.process(f"review-{number}")
    process.freeze()
    wait_link_state(world, f"review-{number}", is_open=False)
    process.thaw()


def freeze_engine(world, number):
    process = world.deployment.process(f"engine-{number}")
    process.freeze()
    count = world.streams[0].count
    url = world.deployment.url("gateway-1") + "/healthz"
    for _ in range(20):
        world.deployment.client.get(url)
    process.thaw()
    world.streams[0].wait_for_tokens(count + 1)


def stop_platform(world, number):
    world.deployment.set_faults(outage=True)


def wait_link_state(world, endpoint, is_open):
    def matches():
        boxes = world.deployment.admin("gateway-1", "GET", "status").json()["boxes"]
        found = next(box for box in boxes if box["box"] == endpoint)
        return (found["state"] != "silent") == is_open

    wait_until(matches, f"{endpoint} open: {is_open}")


FAULTS = {
    "the engine is killed": kill_engine,
    "the agent is killed": kill_agent,
    "the agent is replaced": replace_agent,
    "the link is cut": cut_link,
    "the link stalls": stall_link,
    "the agent is frozen": freeze_agent,
    "the engine is frozen": freeze_engine,
    "the platform is down": stop_platform,
}


def fault_step(fault):
    def inject(context, moment):
        world = context.world
        number = run_until(world, moment)
        FAULTS[fault](world, number)
        set_engines_paused(world, False)

    return inject


for name in FAULTS:
    when(name + " {moment}")(fault_step(name))


@when("gateway-1 is frozen after {count:d} tokens")
def freeze_gateway(context, count):
    run_until(context.world, f"after {count}")
    process = context.world.deployment.process("gateway-1")
    process.freeze()
    time.sleep(SILENCE_TIMEOUT_SECONDS + FREEZE_MARGIN_SECONDS)
    process.thaw()


@then("gateway-1 has closed no link")
def check_links_kept(context):
    assert "link_closed" not in context.world.deployment.process("gateway-1").output


@when("gateway-1 is killed after {count:d} tokens")
def kill_gateway(context, count):
    run_until(context.world, f"after {count}")
    context.world.deployment.process("gateway-1").kill()
    context.world.streams[0].join()


@when("the caller resumes at gateway-2")
def resume_at_other_gateway(context):
    world = context.world
    world.stream(150, "gateway-2", world.streams[0].last_id)


@then("both parts together are complete, in order, from one generation")
def check_parts(context):
    first, second = context.world.streams
    second.join()
    assert second.finished, second.problem
    fault = token_fault(first.text + second.text, 150)
    assert not fault, fault


@then("the stream is complete, in order, from one generation")
def check_complete(context):
    stream = context.world.streams[0]
    stream.join()
    assert stream.finished, stream.problem
    assert not stream.fault(), stream.fault()


@then("the stream ends at once with {code}, without tokens of another generation")
def check_ended(context, code):
    stream = context.world.streams[0]
    stream.join()
    assert not stream.finished
    assert stream.problem and stream.problem["code"] == code, stream.problem
    assert stream.problem["outcome"] == "run"
    assert not stream.prefix_fault(), stream.prefix_fault()


@when("the caller disconnects after {count:d} tokens")
def disconnect_caller(context, count):
    world = context.world
    run_until(world, f"after {count}")
    set_engines_paused(world, True)
    world.callers[-1].close()
    world.values["dropped"] = world.streams[0]


@when("two readers resume it, one at each gateway")
def resume_twice(context):
    world = context.world
    dropped = world.values["dropped"]
    older = world.stream(200, "gateway-1", dropped.last_id)
    set_engines_paused(world, False)
    older.wait_for_tokens(10)
    newer = world.stream(200, "gateway-2", dropped.last_id)
    world.values["readers"] = (older, newer)


@then("the newer reader gets all remaining tokens and the older is cut off")
def check_readers(context):
    world = context.world
    older, newer = world.values["readers"]
    older.join()
    newer.join()
    shown = int(world.values["dropped"].last_id.rpartition("/")[2])
    assert newer.finished, newer.problem
    fault = token_fault(newer.text, 200, first=shown)
    assert not fault, fault
    assert older.problem["code"] == "superseded_reader", older.problem
    assert not token_fault(older.text, shown + older.count, first=shown)


@when("a stream of {count:d} tokens is requested and read slowly")
def request_slow_stream(context, count):
    stream = context.world.stream(count)
    stream.reading_allowed.clear()
    stream.wait_for_tokens(1)


@then("the second stream completes before the slow caller continues")
def check_second(context):
    slow, fast = context.world.streams
    set_engines_paused(context.world, False)
    fast.join()
    assert fast.finished and not fast.fault(), fast.fault()
    assert not slow.finished


@then("the slow stream completes as well")
def check_slow(context):
    slow = context.world.streams[0]
    slow.reading_allowed.set()
    slow.join()
    assert slow.finished and not slow.fault(), (slow.fault(), slow.problem)


@when("another account resumes it after {count:d} tokens")
def resume_as_other(context, count):
    world = context.world
    run_until(world, f"after {count}")
    caller = world.caller("gateway-2", "yaba")
    last_id = world.streams[0].last_id
    with caller.open_stream("design-review", "draft", 1, "", last_id) as response:
        response.read()
    with caller.open_stream(
        "design-review", "fabrication_report", 150, "", last_id
    ) as response:
        response.read()
        world.values["refusal"] = response.json()


@then("the resumption is refused with {code}")
def check_refusal(context, code):
    assert context.world.values["refusal"]["code"] == code


@when("another gateway without a link to its agent resumes it")
def resume_without_link(context):
    world = context.world
    set_engines_paused(world, False)
    first = world.streams[0]
    halls = {"review-1": "ikeja", "review-2": "ikeja"}
    name = next(
        name
        for name in (f"gateway-{number}" for number in range(3, 40))
        if first.endpoint not in choose_aperture(name, "ikeja", halls, 1)
    )
    world.deployment.start_gateway(name, "ikeja", aperture=1)
    world.deployment.wait_ready(name)
    linked = ({*halls} - {first.endpoint}).pop()
    process = world.deployment.process(name)
    wait_until(
        lambda: f"endpoint={linked} " in process.output, "a link to the other endpoint"
    )
    assert f"endpoint={first.endpoint} " not in process.output
    world.stream(150, name, first.last_id)
