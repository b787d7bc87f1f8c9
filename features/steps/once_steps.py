"""Steps for non-repeatable calls."""

from __future__ import annotations

import base64
import time
from random import Random

import orjson
from behave import then, when
from support.world import (
    AGENT_COUNT,
    ENDPOINT_NUMBERS,
    GATEWAYS,
    ONCE_KIND,
    PLAIN_KIND,
    SERVICE,
)

from devtools.deployment import wait_until
from piershore.core.configuration.objects import ObjectKind
from piershore.core.ownership.minted_key import MintedKey
from piershore.platform.http_platform_store import SLOT_KIND

LONG_CALL_SECONDS = 1.5


@when("a key for a non-repeatable call is minted at gateway-1")
def mint_key(context):
    world = context.world
    world.values["key"] = world.caller().mint_key(SERVICE)


def first_call(world, seconds):
    """Send the first call in the background and wait until it is executing."""
    key = world.values["key"]
    arguments = {"tag": "one", "seconds": seconds}
    first = world.submit(world.call_once, "gateway-1", key, **arguments)
    wait_until(lambda: world.executions()[key] > 0, "the call to be executed")
    world.values["owner"] = world.owner_of(key)
    return first, arguments


def repeat_call(context, gateway, seconds, inject_fault):
    world = context.world
    first, arguments = first_call(world, seconds)
    inject_fault(world, first)
    again = world.call_once(gateway, world.values["key"], **arguments)
    world.results += [first.result(60), again]


@when("the call is sent with it, and again to {gateway} while it runs")
def repeat_while_running(context, gateway):
    repeat_call(context, gateway, LONG_CALL_SECONDS, lambda world, first: None)


def wait_finished(world, first):
    assert first.result(60).is_whole


@when("the call is sent with it, and again to {gateway} after it has finished")
def repeat_after_finish(context, gateway):
    repeat_call(context, gateway, 0, wait_finished)


def kill_owner(world, first):
    world.deployment.process(world.values["owner"]).kill()


@when("the call is sent with it, and again to {gateway} after its owner was killed")
def repeat_after_kill(context, gateway):
    repeat_call(context, gateway, LONG_CALL_SECONDS, kill_owner)


def replace_owner(world, first):
    kill_owner(world, first)
    world.start_agent(world.values["owner"])
    world.wait_until_serving()


@when("the call is sent with it, and again to {gateway} after its owner was replaced")
def repeat_after_replacement(context, gateway):
    repeat_call(context, gateway, LONG_CALL_SECONDS, replace_owner)


def freeze_owner(world, first):
    world.deployment.process(world.values["owner"]).freeze()


@when("the call is sent with it, and again to {gateway} while its owner is frozen")
def repeat_while_frozen(context, gateway):
    repeat_call(context, gateway, LONG_CALL_SECONDS, freeze_owner)
    process = context.world.deployment.process(context.world.values["owner"])
    process.thaw()


def freeze_until_takeover(world, first):
    wait_finished(world, first)
    owner = world.deployment.process(world.values["owner"])
    owner.freeze()
    other = next(f"order-{n}" for n in ENDPOINT_NUMBERS if f"order-{n}" != owner.name)
    wait_until(lambda: holds_all_slots(world, other), "the takeover")
    owner.thaw()
    for gateway in GATEWAYS:
        world.deployment.wait_links(gateway, AGENT_COUNT)


def holds_all_slots(world, endpoint):
    table = read_slot_table(world)
    slots = table["layouts"][-1]["slots"]
    return all(s["intervals"][-1]["owner"]["endpoint"] == endpoint for s in slots)


def read_slot_table(world):
    platform = world.deployment.url("platform")
    url = f"{platform}/objects/{SLOT_KIND}/{ObjectKind.SLOTS}:{SERVICE}"
    return value_of(world.deployment.client.get(url).json())


def value_of(item):
    """Return the value of an object from the platform's answer."""
    return orjson.loads(base64.b64decode(item["spec"]["value"]))


@when(
    "the call is sent with it, and again to {gateway} after its owner was frozen until a takeover"
)
def repeat_after_takeover(context, gateway):
    repeat_call(context, gateway, 0, freeze_until_takeover)


def stop_platform(world, first):
    wait_finished(world, first)
    world.deployment.set_faults(outage=True)


@when("the call is sent with it, and again to {gateway} with the platform down")
def repeat_without_platform(context, gateway):
    repeat_call(context, gateway, 0, stop_platform)


def change_slots(world, first):
    wait_finished(world, first)
    path = f"services/{SERVICE}"
    etag = world.deployment.admin("gateway-1", "GET", path).headers["ETag"]
    answer = world.deployment.admin(
        "gateway-1", "PATCH", path, {"slots": 3}, {"If-Match": etag}
    )
    answer.raise_for_status()
    wait_until(
        lambda: len(read_slot_table(world)["layouts"][-1]["slots"]) == 3,
        "the new layout",
    )
    for gateway in GATEWAYS:
        world.wait_for_owners(gateway)


@when("the call is sent with it, and again to {gateway} after the slots were changed")
def repeat_after_slot_change(context, gateway):
    repeat_call(context, gateway, 0, change_slots)


def stop_owner(world, first):
    wait_finished(world, first)
    owner = world.deployment.process(world.values["owner"])
    owner.terminate()
    assert owner.wait() == 0


@when("the call is sent with it, and again to {gateway} after its owner has stopped")
def repeat_after_stop(context, gateway):
    repeat_call(context, gateway, 0, stop_owner)


@then("every answer is the same")
def check_same(context):
    for result in context.world.results:
        assert result.is_whole, (result.status, result.body)
    bodies = {str(result.body) for result in context.world.results}
    assert len(bodies) == 1, bodies


@then("no answer has outcome not_run")
def check_no_not_run(context):
    for result in context.world.results:
        assert result.outcome != "not_run", result.body
    again = context.world.results[-1]
    assert again.is_whole or again.outcome in ("unknown", "run"), again


@then("no key was executed more than once")
def check_once(context):
    doubled = {k: n for k, n in context.world.executions().items() if k and n > 1}
    assert not doubled, doubled


@when("a non-repeatable call is sent with a key minted by a clock {offset:d} ms off")
def call_with_skew(context, offset):
    world = context.world
    now = int(time.time() * 1000)
    key = MintedKey.mint(now + offset, Random(1)).text
    world.results.append(world.call_once("gateway-1", key, tag="skewed"))


@then("it is refused with outcome {outcome} and code {code}")
def check_refused(context, outcome, code):
    result = context.world.results[-1]
    assert (result.outcome, result.code) == (outcome, code), result


@then("nothing was executed")
def check_nothing(context):
    assert not context.world.executions(), context.world.executions()


@when("the platform is down until all leases have expired")
def expire_leases(context):
    world = context.world
    ends = [
        slot["intervals"][-1]["end"]
        for slot in read_slot_table(world)["layouts"][-1]["slots"]
    ]
    world.deployment.set_faults(outage=True)
    wait_until(lambda: time.time() * 1000 > max(ends) + 1000, "the leases to expire")


@then("a call without a key still runs exactly once")
def check_runs(context):
    result = context.world.call_once("gateway-2", tag="late")
    assert result.is_whole, result
    assert context.world.executions()[result.key] == 1


@when("the answers to the next {count:d} writes are lost while leases are extended")
def lose_answers(context, count):
    world = context.world
    before = read_slot_table(world)
    world.deployment.set_faults(lose_answers=count)

    def all_lost():
        faults = world.deployment.client.post(
            world.deployment.url("platform") + "/_faults", json={}
        ).json()
        return faults["lose_answers"] == 0 and read_slot_table(world) != before

    wait_until(all_lost, "the answers to be lost")


@then("{count:d} calls without a key run once each")
def check_calls(context, count):
    world = context.world
    futures = [
        world.submit(world.call_once, gateway, tag=f"{gateway}-{number}")
        for number in range(count // 2)
        for gateway in GATEWAYS
    ]
    results = [future.result(60) for future in futures]
    assert all(result.is_whole for result in results), results
    executions = world.executions()
    assert all(executions[result.key] == 1 for result in results)


@when("an account's template lists panel_status as non-repeatable")
def list_as_non_repeatable(context):
    world = context.world
    path = "templates/prototyping-shop"
    etag = world.deployment.admin("gateway-1", "GET", path).headers["ETag"]
    changes = {"parameters": {"non_repeatable_kinds": [ONCE_KIND, PLAIN_KIND]}}
    answer = world.deployment.admin(
        "gateway-1", "PATCH", path, changes, {"If-Match": etag}
    )
    answer.raise_for_status()


@then("panel_status requires a key with a mint time")
def check_needs_key(context):
    result = context.world.caller().call(SERVICE, PLAIN_KIND, "not-a-key", tag="x")
    assert result.code == "invalid_idempotency_key", result


@then("two panel_status calls with the same key are executed once")
def check_strict_once(context):
    world = context.world
    key = world.caller().mint_key(SERVICE)
    for gateway in GATEWAYS:
        result = world.caller(gateway).call(SERVICE, PLAIN_KIND, key, tag="strict")
        assert result.is_whole, result
    assert world.executions()[key] == 1


@when("a non-repeatable call is sent and its service is killed midway")
def kill_service_midway(context):
    world = context.world
    world.values["key"] = world.caller().mint_key(SERVICE)
    first, _ = first_call(world, 30)
    number = world.values["owner"].partition("-")[2]
    world.values["before"] = world.executions()
    world.deployment.process(f"desk-{number}").kill()
    world.deployment.start_service(f"desk-{number}")
    world.deployment.wait_standins()
    world.results.append(first.result(60))


@when("a non-repeatable call is sent and its service is already down")
def kill_service_before(context):
    world = context.world
    for number in ENDPOINT_NUMBERS:
        world.deployment.process(f"desk-{number}").kill()
    key = world.caller().mint_key(SERVICE)
    world.results.append(world.call_once("gateway-1", key, tag="gone"))
    for number in ENDPOINT_NUMBERS:
        world.deployment.start_service(f"desk-{number}")
    world.deployment.wait_standins()


@then("it is answered with outcome {outcome}")
def check_outcome(context, outcome):
    result = context.world.results[-1]
    assert result.outcome == outcome, result
