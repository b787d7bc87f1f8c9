"""Steps for configuration that operators edit."""

from __future__ import annotations

from threading import Event, Thread

from behave import given, then, when
from support.world import GATEWAYS

from devtools.deployment import wait_until
from piershore.gateway.account_directory import key_hash

ACCOUNT = "accounts/yaba"


def read(world, path=ACCOUNT, gateway="gateway-1"):
    return world.deployment.admin(gateway, "GET", path)


def edit(world, limit, gateway="gateway-1", etag=None, path=ACCOUNT):
    etag = etag or read(world, path, gateway).headers["ETag"]
    changes = {"overrides": {"concurrent_requests": limit}}
    return world.deployment.admin(gateway, "PATCH", path, changes, {"If-Match": etag})


@given("the configuration version of every box is recorded")
def watch_versions(context):
    world = context.world
    world.values["back"] = []
    stop = world.values["stop"] = Event()
    newest: dict[str, int] = {}

    def watch():
        while not stop.wait(0.05):
            for gateway in GATEWAYS:
                try:
                    boxes = world.deployment.admin(gateway, "GET", "status").json()
                except Exception:
                    continue
                for box in boxes["boxes"]:
                    record_version(box)

    def record_version(box):
        # A restarted box begins without a configuration, so it isn't checked.
        name, version = box["box"], box["complete_to"]
        if box["state"] != "live" or name in world.values.get("restarted", ()):
            return
        if version < newest.get((name, box["role"]), 0) and version:
            world.values["back"].append((name, newest[name, box["role"]], version))
        newest[name, box["role"]] = version

    Thread(target=watch, daemon=True).start()


def edit_with_lost_answer(world):
    world.deployment.set_faults(lose_answers=1)
    return edit(world, 77)


def edit_with_dropped_change(world):
    world.deployment.set_faults(drop_changes=1)
    return edit(world, 77)


def edit_with_stale_reads(world):
    etag = read(world).headers["ETag"]
    world.deployment.set_faults(stale_reads=True)
    answer = edit(world, 76, etag=etag)
    answer.raise_for_status()
    return edit(world, 77, etag=answer.headers["ETag"])


def edit_before_outage(world):
    # The outage begins as the edit is accepted: no watch delivers it.
    world.deployment.set_faults(outage_after_write=True)
    return edit(world, 77)


def edit_and_restart_relay(world):
    world.values["restarted"] = {"gateway-2"}
    answer = edit(world, 77)
    world.deployment.process("gateway-2").kill()
    world.deployment.start_gateway("gateway-2", GATEWAYS["gateway-2"])
    world.deployment.wait_ready("gateway-2")
    return answer


def edit_with_suspended_relay(world):
    process = world.deployment.process("gateway-2")
    process.freeze()
    answer = edit(world, 77)
    wait_until(lambda: in_force(world, answer, silent_allowed=1), "the other boxes")
    process.thaw()
    return answer


def edit_and_restart_agent(world):
    world.values["restarted"] = {"order-1"}
    world.deployment.process("order-1").kill()
    answer = edit(world, 77)
    world.start_agent("order-1")
    return answer


def edit_without_fault(world):
    return edit(world, 77)


FAULTS = {
    "nothing fails": edit_without_fault,
    "the answer to the write is lost": edit_with_lost_answer,
    "the watch drops a change": edit_with_dropped_change,
    "the platform's reads are stale": edit_with_stale_reads,
    "the platform becomes unavailable after the write": edit_before_outage,
    "a relay is killed and restarted": edit_and_restart_relay,
    "a relay is suspended and resumes with old state": edit_with_suspended_relay,
    "an agent is killed and restarted": edit_and_restart_agent,
}


@when("an account is edited during a platform outage")
def edit_during_outage(context):
    world = context.world
    world.values["before"] = read(world).json()
    etag = read(world).headers["ETag"]
    world.deployment.set_faults(outage=True)
    world.values["answer"] = edit(world, 77, etag=etag)
    world.deployment.set_faults(outage=False)


@when("an account is edited, the answer is lost and a platform outage begins")
def edit_with_lost_answer_before_outage(context):
    world = context.world
    etag = read(world).headers["ETag"]
    world.deployment.set_faults(lose_answers=1, outage_after_write=True)
    world.values["answer"] = edit(world, 77, etag=etag)
    world.deployment.set_faults(outage=False, outage_after_write=False)


@then("the edit is refused with outcome unknown and comes into force later")
def check_unknown_edit(context):
    world = context.world
    answer = world.values["answer"]
    assert answer.status_code == 503, answer.text
    assert answer.json()["outcome"] == "unknown", answer.text

    def is_in_force():
        spec = read(world).json()["spec"]
        return spec["overrides"]["concurrent_requests"] == 77

    wait_until(is_in_force, "the edit")


def fault_step(fault):
    def inject(context):
        context.world.values["answer"] = FAULTS[fault](context.world)

    return inject


for name in FAULTS:
    when(f"an account is edited while {name}")(fault_step(name))


def in_force(world, answer, silent_allowed=0):
    path = f"rollout/{answer.json()['version']}"
    rollout = world.deployment.admin("gateway-1", "GET", path).json()
    silent = len(rollout["silent"]) <= silent_allowed
    return not rollout["lagging"] and silent and rollout["in_force"] > 0


@then("the edit is accepted once and in force on all boxes")
def check_in_force(context):
    world = context.world
    answer = world.values["answer"]
    assert answer.status_code == 200, answer.text
    wait_until(lambda: in_force(world, answer), "the edit to be in force")
    world.deployment.set_faults(
        outage=False, outage_after_write=False, stale_reads=False
    )
    for gateway in GATEWAYS:
        wait_until(
            lambda gateway=gateway: (
                read(world, gateway=gateway).json()["spec"]["overrides"][
                    "concurrent_requests"
                ]
                == 77
            ),
            "the edit",
        )
    assert read(world).json()["version"] == answer.json()["version"]


@then("no box reverted to an older version")
def check_never_reverted(context):
    context.world.values["stop"].set()
    assert not context.world.values["back"], context.world.values["back"]


@when("two operators edit the same version of an account at both gateways {n:d} times")
def edit_concurrently(context, n):
    world = context.world
    world.values["rounds"] = []
    for number in range(n):
        etag = read(world).headers["ETag"]
        futures = [
            world.submit(edit, world, 10 * number + 1 + place, gateway, etag)
            for place, gateway in enumerate(GATEWAYS)
        ]
        world.values["rounds"].append([future.result(30) for future in futures])


@then("each time one edit is accepted and the other gets 412 with the differences")
def check_concurrent_edits(context):
    for answers in context.world.values["rounds"]:
        assert sorted(a.status_code for a in answers) == [200, 412], answers
        loser = next(a for a in answers if a.status_code == 412)
        winner = next(a for a in answers if a.status_code == 200)
        body = loser.json()
        assert body["current_version"] == winner.json()["version"], body
        paths = [d["path"] for d in body["differences"]]
        assert "$.overrides.concurrent_requests" in paths, body


@then("the account has exactly the last accepted edit")
def check_last_accepted_edit(context):
    world = context.world
    last = world.values["rounds"][-1]
    winner = next(a for a in last if a.status_code == 200)
    assert read(world).json()["spec"] == winner.json()["spec"]


@when("an account is deleted and recreated with another key")
def recreate(context):
    world = context.world
    current = read(world)
    answer = world.deployment.admin(
        "gateway-1", "DELETE", ACCOUNT, None, {"If-Match": current.headers["ETag"]}
    )
    answer.raise_for_status()
    spec = {**current.json()["spec"], "key_hashes": [key_hash("another-key")]}
    answer = world.deployment.admin(
        "gateway-2", "PUT", ACCOUNT, spec, {"If-None-Match": "*"}
    )
    answer.raise_for_status()
    wait_until(lambda: in_force(world, answer), "the new account")


@then("only the new key works at both gateways")
def check_only_new_key_works(context):
    world = context.world
    for gateway in GATEWAYS:
        url = f"{world.deployment.url(gateway)}/v1/keys/order-desk"
        for key, status in (("key-yaba", 401), ("another-key", 200)):
            headers = {"Authorization": f"Bearer {key}"}
            answer = world.deployment.client.post(url, headers=headers)
            assert answer.status_code == status, (gateway, key, answer.text)


@when("both gateways are killed and one restarts during a platform outage")
def replace_in_outage(context):
    world = context.world
    world.deployment.process("gateway-1").kill()
    world.deployment.process("gateway-2").kill()
    world.deployment.set_faults(outage=True)
    world.deployment.start_gateway("gateway-1", GATEWAYS["gateway-1"])


@then("the new gateway is not ready and refuses requests with outcome not_run")
def check_not_ready(context):
    world = context.world
    client, url = world.deployment.client, world.deployment.url("gateway-1")
    wait_until(lambda: client.get(url + "/healthz").is_success, "the gateway")
    assert client.get(url + "/readyz").status_code == 503
    result = world.caller().call("order-desk", "panel_status", tag="early")
    assert result.status in (401, 503) and result.outcome == "not_run", result
    assert not world.tags()["early"]


@when("the platform outage ends")
def end_outage(context):
    context.world.deployment.set_faults(outage=False)


@then("the new gateway serves requests")
def check_serves_requests(context):
    world = context.world
    world.deployment.wait_ready("gateway-1")
    wait_until(
        lambda: world.caller().call("order-desk", "panel_status", tag="x").is_whole,
        "a call",
    )


@then("the edit is refused with platform_unavailable and nothing is stored")
def check_refused_edit(context):
    world = context.world
    answer = world.values["answer"]
    assert answer.status_code == 503, answer.text
    assert answer.json()["code"] == "platform_unavailable"
    assert "Retry-After" in answer.headers
    assert read(world).json() == world.values["before"]


@when("three more gateways start in data hall ikeja")
def start_more(context):
    world = context.world
    for number in (3, 4, 5):
        world.deployment.start_gateway(f"gateway-{number}", "ikeja")
    world.deployment.wait_boxes("gateway-1", 9)
    world.deployment.wait_boxes("gateway-5", 9)


@then("the platform sees at most {count:d} watches")
def check_watches(context, count):
    world = context.world
    url = world.deployment.url("platform") + "/_counts"

    def has_few_watches():
        return world.deployment.client.get(url).json()["watches"] <= count

    wait_until(has_few_watches, f"at most {count} watches")


@then("an edit comes into force on all {count:d} boxes")
def check_in_force_on_all_boxes(context, count):
    world = context.world
    answer = edit(world, 55)
    path = f"rollout/{answer.json()['version']}"

    def is_in_force_everywhere():
        rollout = world.deployment.admin("gateway-4", "GET", path).json()
        return rollout["in_force"] == count and not rollout["silent"]

    wait_until(is_in_force_everywhere, "all boxes")


@when("a gateway that knows its peer restarts during a platform outage")
def replace_with_peer(context):
    world = context.world
    peer = world.deployment.peer_address("gateway-2")
    world.deployment.set_faults(outage=True)
    world.deployment.process("gateway-1").kill()
    world.deployment.start_gateway("gateway-1", GATEWAYS["gateway-1"], peers=[peer])


@then("both gateways complete a generation during the outage")
def check_generations(context):
    world = context.world
    for gateway in GATEWAYS:
        result = world.caller(gateway).generate("design-review", "stack_up_check", 9)
        assert result.is_whole, result
