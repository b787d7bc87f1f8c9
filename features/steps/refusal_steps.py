"""Steps for requests that are refused."""

from __future__ import annotations

from behave import then, when
from support.world import ENDPOINT_NUMBERS, MODEL, ONCE_KIND, PLAIN_KIND, SERVICE

from devtools.caller import Caller
from devtools.deployment import wait_until


def set_limits(world, **limits):
    path = "accounts/surulere"
    etag = world.deployment.admin("gateway-1", "GET", path).headers["ETag"]
    answer = world.deployment.admin(
        "gateway-1", "PATCH", path, {"overrides": limits}, {"If-Match": etag}
    )
    answer.raise_for_status()


def exhaust_rate(world):
    set_limits(world, requests_per_second=0.01)
    wait_until(
        lambda: world.caller().call(SERVICE, PLAIN_KIND, tag="x").code,
        "the rate limit to be exceeded",
    )


def exhaust_concurrency(world):
    set_limits(world, concurrent_requests=1)
    world.submit(world.caller().call, SERVICE, PLAIN_KIND, tag="holder", seconds=5)
    wait_until(lambda: world.tags()["holder"], "the call that uses up the concurrency")


def drain_all(world):
    for number in ENDPOINT_NUMBERS:
        for name in (f"order-{number}", f"review-{number}"):
            path = f"endpoints/{name}/drain"
            world.deployment.admin("gateway-1", "POST", path).raise_for_status()

    def all_drained():
        boxes = world.deployment.admin("gateway-1", "GET", "status").json()["boxes"]
        return not any(b["state"] == "live" and b["role"] == "agent" for b in boxes)

    wait_until(all_drained, "the endpoints to be drained")


def kill_all(world, prefix):
    for number in ENDPOINT_NUMBERS:
        world.deployment.process(f"{prefix}-{number}").kill()


def kill_agents(world):
    kill_all(world, "order")

    def are_silent():
        boxes = world.deployment.admin("gateway-1", "GET", "status").json()["boxes"]
        states = [b["state"] for b in boxes if b["box"].startswith("order")]
        return states == ["silent", "silent"]

    wait_until(are_silent, "the agents to be reported silent")


def restart_services(world):
    for number in ENDPOINT_NUMBERS:
        world.deployment.start_service(f"desk-{number}")
    world.deployment.wait_standins()


def send(world, cause, tag):
    caller = world.caller()
    if cause == "its bearer key is unknown":
        unknown_caller = Caller(world.deployment.url("gateway-1"), "nobody")
        world.callers.append(unknown_caller)
        return unknown_caller.call(SERVICE, PLAIN_KIND, tag=tag)
    if cause == "its kind is unknown":
        return caller.call(SERVICE, "nothing", tag=tag)
    if cause == "its service is unknown":
        return caller.call("nowhere", PLAIN_KIND, tag=tag)
    if cause == "its account may not use the service":
        path = "accounts/surulere"
        etag = world.deployment.admin("gateway-1", "GET", path).headers["ETag"]
        world.deployment.admin(
            "gateway-1", "PATCH", path, {"services": [MODEL]}, {"If-Match": etag}
        ).raise_for_status()
        return caller.call(SERVICE, PLAIN_KIND, tag=tag)
    if cause == "its account is over its rate limit":
        exhaust_rate(world)
        return caller.call(SERVICE, PLAIN_KIND, tag=tag)
    if cause == "its account is over its concurrency limit":
        exhaust_concurrency(world)
        return caller.call(SERVICE, PLAIN_KIND, tag=tag)
    if cause == "its key has no mint time":
        return caller.call(SERVICE, ONCE_KIND, "a-key", tag=tag)
    if cause.startswith("all endpoints are drained"):
        drain_all(world)
        kind = ONCE_KIND if "not repeatable" in cause else PLAIN_KIND
        return caller.call(SERVICE, kind, tag=tag)
    if cause == "all services are down":
        kill_all(world, "desk")
        result = caller.call(SERVICE, PLAIN_KIND, tag=tag)
        restart_services(world)
        return result
    if cause == "all agents are killed":
        kill_agents(world)
        return caller.call(SERVICE, PLAIN_KIND, tag=tag)
    raise AssertionError(cause)


@when('a call tagged "{tag}" is sent and {cause}')
def send_refused(context, tag, cause):
    world = context.world
    world.results.append(send(world, cause, tag))


@then("it is refused with code {code} and outcome {outcome}")
def check_refused(context, code, outcome):
    result = context.world.results[-1]
    assert (result.code, result.outcome) == (code, outcome), result


@then('the services executed "{tag}" {count:d} times')
def check_executed(context, tag, count):
    assert context.world.tags()[tag] == count, context.world.tags()


@when("a call with a key has run and is repeated, but {cause}")
def send_again_refused(context, cause):
    world = context.world
    key = world.caller().mint_key(SERVICE)
    first = world.call_once("gateway-1", key, tag="kept")
    assert first.is_whole, first
    gateway, account_key = "gateway-1", "key-surulere"
    if cause == "its account is over its rate limit":
        exhaust_rate(world)
    elif cause == "its account is over its concurrency limit":
        exhaust_concurrency(world)
    elif cause == "its bearer key is unknown":
        account_key = "nobody"
    elif cause == "all agents are killed":
        kill_agents(world)
    elif cause == "its owner is drained":
        drain_all(world)
    caller = Caller(world.deployment.url(gateway), account_key)
    world.callers.append(caller)
    world.results.append(caller.call(SERVICE, ONCE_KIND, key, tag="kept"))
    assert world.executions()[key] == 1


@then("it is not reported as not_run")
def check_possibly_run(context):
    result = context.world.results[-1]
    assert result.code and result.outcome != "not_run", result


@when("a generation is sent and {cause}")
def send_generation(context, cause):
    world = context.world
    if cause == "all endpoints are drained":
        drain_all(world)
    else:
        exhaust_rate(world)
    world.results.append(world.caller().generate(MODEL, "stack_up_check", 5))


@then("no engine has started a generation")
def check_engines(context):
    world = context.world
    for number in ENDPOINT_NUMBERS:
        url = f"{world.deployment.url(f'engine-{number}')}/_generations"
        assert world.deployment.client.get(url).json()["started"] == 0


@then("the refusal says when to retry")
def check_retry_after(context):
    assert context.world.results[-1].body["retry_after"] >= 1


@when("a {request} runs at the only endpoint and its agent is killed")
def kill_only_agent(context, request):
    world = context.world
    prefix = "order" if request == "call" else "review"
    world.deployment.process(f"{prefix}-2").kill()
    wait_until(
        lambda: state_of(world, f"{prefix}-2") == "silent",
        "the agent to be reported silent",
    )
    if request == "call":
        caller = world.caller()
        future = world.submit(caller.call, SERVICE, PLAIN_KIND, tag="m", seconds=20)
        wait_until(lambda: world.tags()["m"], "the call to run")
    else:
        url = world.deployment.url("engine-1")
        world.deployment.client.post(url + "/_pause", json={"paused": True})
        future = world.submit(world.caller().generate, MODEL, "stack_up_check", 50)
        count = world.deployment.client.get
        wait_until(lambda: count(url + "/_generations").json()["started"], "it to run")
    world.deployment.process(f"{prefix}-1").kill()
    world.results.append(future.result(60))


def state_of(world, box_name):
    boxes = world.deployment.admin("gateway-1", "GET", "status").json()["boxes"]
    return next(box["state"] for box in boxes if box["box"] == box_name)
