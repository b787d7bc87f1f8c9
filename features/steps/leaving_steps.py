"""Steps for endpoints and gateways that leave or are stopped."""

from __future__ import annotations

import signal
import tempfile
import time
from pathlib import Path

import trio
from behave import given, then, when
from support.world import GATEWAYS, MODEL, PLAIN_KIND, SERVICE

from devtools.deployment import wait_until
from devtools.soak.fleet import Fleet

CALLS = 20
LONG_CALL_SECONDS = 10
NOTICE_SECONDS = 5.0
STOP_SIGNALS = 5
STOP_GAP_SECONDS = 0.2
SIGNAL_GAP_SECONDS = 0.002


@given("nothing else happens")
def do_nothing(context):
    pass


@given("the platform is unavailable")
def stop_platform(context):
    context.world.deployment.set_faults(outage=True)


@given("the platform's list lags by 1 s")
def lag_list(context):
    context.world.deployment.set_faults(box_lag=1.0)


@given("long calls run at both endpoints of the order desk")
def run_long_calls(context):
    # An agent without requests exits immediately: it needs running calls to show that
    # it finishes these and gets no new ones.
    world = context.world
    world.values["long"] = []

    def run_at_both():
        caller = world.caller()
        tag = f"long{len(world.values['long'])}"
        world.values["long"].append(
            world.submit(
                caller.call, SERVICE, PLAIN_KIND, tag=tag, seconds=LONG_CALL_SECONDS
            )
        )
        wait_until(lambda: world.tags()[tag], "the call to run")
        return executions_at(world, 1) and executions_at(world, 2)

    wait_until(run_at_both, "calls at both endpoints")


@then("the long calls complete")
def check_long(context):
    assert context.world.values["calls run after leaving"]
    results = [future.result(60) for future in context.world.values["long"]]
    assert all(result.is_whole for result in results), results


def wait_until_unused(world, name):
    """Wait until no gateway sends the endpoint requests, and record if calls still run."""
    for gateway in GATEWAYS:

        def is_unused(gateway=gateway):
            boxes = world.deployment.admin(gateway, "GET", "status").json()["boxes"]
            states = [box["state"] for box in boxes if box["box"] == name]
            return not states or states[0] != "live"

        wait_until(is_unused, f"{gateway} to stop using {name}")
    long_calls = world.values.get("long", ())
    world.values["calls run after leaving"] = any(
        not call.done() for call in long_calls
    )


@when("order-1 leaves by SIGTERM")
def leave_by_signal(context):
    context.world.deployment.process("order-1").terminate()
    wait_until_unused(context.world, "order-1")


@when("order-1 leaves by an operator's drain")
def leave_by_drain(context):
    world = context.world
    answer = world.deployment.admin("gateway-2", "POST", "endpoints/order-1/drain")
    answer.raise_for_status()
    wait_until_unused(world, "order-1")


@when("order-1 leaves by its entry in the platform's list")
def leave_by_list(context):
    world = context.world
    address = world.deployment.address("order-1")
    world.deployment.enter_box("order-1", "agent", "ikeja", address, "leaving")
    wait_until_unused(world, "order-1")


@when("order-1 is restarted")
def restart(context):
    world = context.world
    process = world.deployment.process("order-1")
    assert process.wait() == 0
    world.start_agent("order-1")


@when("the drain of order-1 is ended")
def end_drain(context):
    answer = context.world.deployment.admin(
        "gateway-1", "POST", "endpoints/order-1/drain", {"drain": False}
    )
    answer.raise_for_status()


@then("new calls run only at order-2")
def check_elsewhere(context):
    world = context.world
    before = executions_at(world, 1)
    world.results = [
        world.caller(gateway).call(SERVICE, PLAIN_KIND, tag=f"x{number}")
        for gateway in GATEWAYS
        for number in range(CALLS // 2)
    ]
    assert executions_at(world, 1) == before


@then("no call was refused")
def check_none_refused(context):
    refused = [result for result in context.world.results if not result.is_whole]
    assert not refused, refused


@then("order-1 gets calls again")
def check_works(context):
    world = context.world
    before = executions_at(world, 1)

    def has_work():
        world.caller().call(SERVICE, PLAIN_KIND, tag="again")
        return executions_at(world, 1) > before

    wait_until(has_work, "a call at order-1")


def executions_at(world, number):
    url = f"{world.deployment.url(f'desk-{number}')}/_executions"
    return sum(world.deployment.client.get(url).json()["tags"].values())


@when("{name} is stopped while streams, unstreamed answers and calls run")
def stop_under_load(context, name):
    world = context.world
    start_load(world, 8)
    process = world.deployment.process(name)
    process.terminate()
    world.values["stopped"] = process


def start_load(world, count):
    world.values["load"] = []
    for number in range(count):
        gateway = list(GATEWAYS)[number % 2]
        length = 100 + 10 * number
        caller = world.caller(gateway)
        load = world.values["load"]
        load.append(world.submit(caller.stream, MODEL, "fabrication_report", length))
        load.append(world.submit(caller.generate, MODEL, "stack_up_check", length))
        load.append(
            world.submit(
                caller.call, SERVICE, PLAIN_KIND, tag=f"load{number}", seconds=1.0
            )
        )
    wait_until(lambda: sum(world.tags().values()) >= count, "the calls to run")
    wait_until(lambda: running_generations(world) >= 2, "generations to run")


def running_generations(world):
    total = 0
    for number in (1, 2):
        url = f"{world.deployment.url(f'engine-{number}')}/_generations"
        total += world.deployment.client.get(url).json()["running"]
    return total


@when("{name} gets SIGTERM repeatedly under load")
def stop_repeatedly(context, name):
    stop_under_load(context, name)
    process = context.world.values["stopped"]
    for _ in range(STOP_SIGNALS):
        time.sleep(STOP_GAP_SECONDS)
        if process.is_running:
            process.terminate()


async def end_gateway(folder):
    """Return the exit code of a gateway that gets SIGTERM until it exits."""
    fleet = Fleet(Path(folder), 1, {"desk": 1})
    try:
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            (gateway,) = fleet.gateways
            while gateway.is_starting:
                await trio.sleep(SIGNAL_GAP_SECONDS)
            while gateway.is_running:
                gateway.send_signal(signal.SIGTERM)
                await trio.sleep(SIGNAL_GAP_SECONDS)
            nursery.cancel_scope.cancel()
        return await gateway.wait_end(1.0)
    finally:
        fleet.close()


@then("it exits with 0 each of {times:d} times")
def check_ends(context, times):
    codes = []
    for _ in range(times):
        with tempfile.TemporaryDirectory() as folder:
            codes.append(trio.run(end_gateway, folder))
    assert codes == [0] * times, codes


@then("all of them complete and the process exits successfully")
def check_load(context):
    world = context.world
    results = [future.result(90) for future in world.values["load"]]
    assert all(result.is_whole for result in results), [
        r for r in results if not r.is_whole
    ]
    assert world.values["stopped"].wait() == 0


@when("gateway-1 answers a caller's requests after SIGTERM")
def answer_after_signal(context):
    world = context.world
    name = "gateway-1"
    world.deployment.process(name).terminate()
    world.deployment.process(name).wait()
    world.deployment.start_gateway(name, GATEWAYS[name], leave_notice=NOTICE_SECONDS)
    world.deployment.wait_ready(name)
    world.wait_until_serving()
    client = world.caller(name)._client
    world.deployment.process(name).terminate()
    wait_until(lambda: client.get("/readyz").is_error, "the gateway to leave")
    paths = (f"/v1/keys/{SERVICE}", "/v1/keys/unknown")
    context.answers = [client.get("/readyz"), *(client.post(path) for path in paths)]


@then("each of these answers says that its connection ends")
def check_told(context):
    assert [answer.status_code for answer in context.answers] == [503, 200, 404]
    for answer in context.answers:
        assert answer.headers.get("connection") == "close", answer.headers


@when("every agent and gateway is replaced in turn under load")
def replace_all(context):
    world = context.world
    world.results = []
    for name in ("review-1", "order-1", "review-2", "order-2", *GATEWAYS):
        start_load(world, 4)
        process = world.deployment.process(name)
        process.terminate()
        load = [future.result(90) for future in world.values["load"]]
        world.results += load
        assert process.wait() == 0, name
        if name in GATEWAYS:
            world.deployment.start_gateway(name, GATEWAYS[name])
            world.deployment.wait_ready(name)
        else:
            world.start_agent(name)
        world.wait_until_serving()


@then("all requests of all rounds completed")
def check_rounds(context):
    faulty = [r for r in context.world.results if not r.is_whole]
    assert context.world.results and not faulty, faulty
    duplicates = {k: n for k, n in context.world.executions().items() if k and n > 1}
    assert not duplicates, duplicates
