"""Steps for edits and keys when the store is restored from an older copy."""

from __future__ import annotations

import time
from random import Random
from threading import Event, Thread

from behave import then, when
from config_steps import ACCOUNT, edit, read
from once_steps import holds_all_slots, value_of
from support.world import AGENT_COUNT, GATEWAYS, SERVICE

from devtools.deployment import wait_until
from piershore.core.configuration.objects import ObjectKind
from piershore.core.ownership.minted_key import MintedKey
from piershore.gateway.account_directory import key_hash
from piershore.platform.http_platform_store import CONFIGURATION_KIND, SLOT_KIND

POLL_SECONDS = 0.05
KEY_COUNT = 12
RESEND_SECONDS = 4.0
LIMIT = 77
NEW_KEY = "another-key"
OTHER_ACCOUNT = "accounts/surulere"


def objects_in_force(world, gateway, collection="accounts"):
    """Return the objects in force at a gateway, by name."""
    items = world.deployment.admin(gateway, "GET", collection).json()["items"]
    return {item["name"]: item["spec"] for item in items}


def stored(world, kind, name):
    """Return an object's value in the store, or None."""
    platform = world.deployment.url("platform")
    url = f"{platform}/objects/{CONFIGURATION_KIND}/{kind}:{name}"
    answer = world.deployment.client.get(url)
    if answer.status_code == 404:
        return None
    return value_of(answer.json())


def limit_of(spec):
    return spec["overrides"]["concurrent_requests"]


def change(world):
    edit(world, LIMIT).raise_for_status()
    return lambda spec: spec is not None and limit_of(spec) == LIMIT


def create(world):
    spec = {**read(world).json()["spec"], "key_hashes": [key_hash(NEW_KEY)]}
    world.values["name"] = "apapa"
    answer = world.deployment.admin(
        "gateway-2", "PUT", "accounts/apapa", spec, {"If-None-Match": "*"}
    )
    answer.raise_for_status()
    return lambda spec: spec is not None


def delete(world):
    headers = {"If-Match": read(world).headers["ETag"]}
    answer = world.deployment.admin("gateway-1", "DELETE", ACCOUNT, None, headers)
    answer.raise_for_status()
    return lambda spec: spec is None


def change_key(world):
    headers = {"If-Match": read(world).headers["ETag"]}
    changes = {"key_hashes": [key_hash(NEW_KEY)]}
    answer = world.deployment.admin("gateway-1", "PATCH", ACCOUNT, changes, headers)
    answer.raise_for_status()
    return lambda spec: spec is not None and spec["key_hashes"] == [key_hash(NEW_KEY)]


def wait_everywhere(world, is_right, name, what):
    for gateway in GATEWAYS:
        wait_until(
            lambda gateway=gateway: is_right(
                objects_in_force(world, gateway).get(name)
            ),
            f"{what} at {gateway}",
        )


def watch_view(world, is_right, name):
    """Record in the background whenever a gateway has another value in force."""
    world.values["wrong"] = []
    stop = world.values["stop_view"] = Event()

    def watch():
        while not stop.wait(POLL_SECONDS):
            for gateway in GATEWAYS:
                spec = objects_in_force(world, gateway).get(name)
                if not is_right(spec):
                    world.values["wrong"].append((gateway, spec))

    Thread(target=watch, daemon=True).start()


def edit_and_restore_store(world, make_edit):
    world.values["name"] = "yaba"
    world.deployment.keep_copy()
    is_right = world.values["is_right"] = make_edit(world)
    name = world.values["name"]
    world.values["version"] = read(world, f"accounts/{name}").headers.get("ETag")
    wait_everywhere(world, is_right, name, "the edit")
    watch_view(world, is_right, name)
    world.deployment.come_back()


EDITS = {
    "an account is changed": change,
    "an account is created": create,
    "an account is deleted": delete,
    "an account's key is changed": change_key,
}


def edit_step(make_edit):
    def run(context):
        edit_and_restore_store(context.world, make_edit)

    return run


for text, make_edit in EDITS.items():
    when(f"{text} and the store is restored from an older copy")(edit_step(make_edit))


@then("the edit stays in force at both gateways and is written to the store again")
def check_stays(context):
    world = context.world
    name, is_right = world.values["name"], world.values["is_right"]
    wait_until(
        lambda: is_right(stored(world, ObjectKind.ACCOUNT, name)), "the store's object"
    )
    wait_everywhere(world, is_right, name, "the edit")
    world.values["stop_view"].set()
    assert not world.values["wrong"], world.values["wrong"][:3]


@then("the next edit is in force at both gateways")
def check_next(context):
    world = context.world

    def is_accepted():
        return edit(world, 55, "gateway-2", path=OTHER_ACCOUNT).is_success

    wait_until(is_accepted, "the next edit")
    wait_everywhere(world, lambda spec: limit_of(spec) == 55, "surulere", "it")


@when("{count:d} edits are lost when the store is restored from an older copy")
def lose_edits(context, count):
    world = context.world
    world.deployment.keep_copy()
    for number in range(count):
        edit(world, number + 1).raise_for_status()
    world.deployment.come_back()


@then("both gateways discover a new agent")
def check_new_agent(context):
    world = context.world
    world.deployment.start_engine("engine-3")
    world.start_agent("review-3")
    for gateway in GATEWAYS:
        world.deployment.wait_boxes(gateway, 7)


@then("an edit of the accepted version is accepted or refused temporarily")
def check_edit_of_lost(context):
    world = context.world
    etags = {"If-Match": world.values["version"]}
    changes = {"overrides": {"concurrent_requests": LIMIT + 1}}
    answer = world.deployment.admin("gateway-1", "PATCH", ACCOUNT, changes, etags)
    if answer.status_code == 503:
        assert "Retry-After" in answer.headers
    else:
        # 412: the store has the lost edit again, under a newer version.
        assert answer.status_code in (200, 412), answer.text
    world.values["stop_view"].set()


@then("the new edit comes into force at both gateways")
def check_edit_in_force(context):
    world = context.world

    def is_accepted():
        return edit(world, LIMIT + 1).is_success

    wait_until(is_accepted, "the edit")

    def is_right(spec):
        return limit_of(spec) == LIMIT + 1

    wait_everywhere(world, is_right, "yaba", "the edit")
    assert is_right(stored(world, ObjectKind.ACCOUNT, "yaba"))


def check_once(world):
    executions = world.executions()
    assert all(executions[key] == 1 for key in world.values["keys"]), executions


@when("order-1 is killed, and order-2 takes over its mint times and runs keys of them")
def replace_owner(context):
    world = context.world
    world.deployment.keep_copy()
    world.deployment.process("order-1").kill()
    wait_until(lambda: holds_all_slots(world, "order-2"), "the takeover")
    world.values["keys"] = [world.caller().mint_key(SERVICE) for _ in range(KEY_COUNT)]
    for key in world.values["keys"]:
        wait_until(
            lambda key=key: world.call_once("gateway-1", key, tag="one").is_whole,
            "the call",
        )
    check_once(world)
    world.deployment.process("order-2").freeze()


@when("the store is restored from an older copy and order-1 restarts")
def restore_with_successor(context):
    world = context.world
    world.values["era"] = world.deployment.come_back()
    world.start_agent("order-1")
    wait_until(
        lambda: owns_changed_slot(world, "order-1"), "the successor's mint times"
    )


def slot_records(world):
    """Return all records of slot leases in the store."""
    url = f"{world.deployment.url('platform')}/objects/{SLOT_KIND}"
    items = world.deployment.client.get(url).json()["items"]
    return [value_of(item) for item in items]


def owns_changed_slot(world, endpoint):
    """Return whether the restarted endpoint owns a slot in a changed record."""
    boxes = world.deployment.admin("gateway-1", "GET", "status").json()["boxes"]
    if not any(box["box"] == endpoint and box["state"] == "live" for box in boxes):
        return False
    first = world.values.setdefault("records", slot_records(world))
    return any(
        slot["intervals"] and slot["intervals"][-1]["owner"]["endpoint"] == endpoint
        for record in slot_records(world)
        if record not in first
        for slot in record["layouts"][-1]["slots"]
    )


@then("order-1 runs none of the keys again")
def check_not_again(context):
    world = context.world
    deadline = time.monotonic() + RESEND_SECONDS
    while time.monotonic() < deadline:
        for key in world.values["keys"]:
            for gateway in GATEWAYS:
                result = world.call_once(gateway, key, tag="one")
                assert result.outcome != "not_run", result
        check_once(world)
    world.deployment.process("order-2").thaw()
    for gateway in GATEWAYS:
        world.deployment.wait_links(gateway, AGENT_COUNT)


@then("calls with keys that callers mint succeed again, each run at most once")
def check_own_keys(context):
    world = context.world
    random = Random(1)
    keys = []

    def completes_with_minted_key():
        key = MintedKey.mint(int(time.time() * 1_000), random).text
        keys.append(key)
        return world.call_once("gateway-1", key, tag="own").is_whole

    wait_until(completes_with_minted_key, "a call with a caller's own key")
    executions = world.executions()
    assert all(executions[key] <= 1 for key in keys), executions
