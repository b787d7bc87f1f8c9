"""Steps for two simultaneous faults."""

from __future__ import annotations

from behave import then, when
from once_steps import (
    first_call,
    freeze_until_takeover,
    kill_owner,
    read_slot_table,
)
from stream_steps import serving_number, set_engines_paused
from support.world import AGENT_COUNT, ENDPOINT_NUMBERS, GATEWAYS, MODEL

from devtools.deployment import wait_until

LONG_CALL_SECONDS = 2.0


def both_own_slots(world):
    slots = read_slot_table(world)["layouts"][-1]["slots"]
    owners = {slot["intervals"][-1]["owner"]["endpoint"] for slot in slots}
    return owners == {f"order-{number}" for number in ENDPOINT_NUMBERS}


@when("the platform goes down and the owner is killed while the call runs")
def kill_owner_in_outage(context):
    world = context.world
    wait_until(lambda: both_own_slots(world), "both agents to own slots")
    for gateway in GATEWAYS:
        world.deployment.wait_links(gateway, AGENT_COUNT)
    first, arguments = first_call(world, LONG_CALL_SECONDS)
    world.deployment.set_faults(outage=True)
    kill_owner(world, first)
    again = world.call_once("gateway-2", world.values["key"], **arguments)
    world.results += [first.result(60), again]


@then("calls with keys of the other owner still run exactly once")
def check_other_owner(context):
    world = context.world
    for gateway in GATEWAYS:
        result = world.call_once(gateway, tag=f"after-{gateway}")
        assert result.is_whole, result
        assert world.executions()[result.key] == 1


@when("its owner loses answers to writes, is frozen until a takeover and thawed")
def lose_answers_and_freeze(context):
    world = context.world
    first, arguments = first_call(world, 0)
    world.deployment.set_faults(lose_answers=3)
    freeze_until_takeover(world, first)
    world.results.append(first.result(60))
    for gateway in GATEWAYS:
        world.results.append(world.call_once(gateway, world.values["key"], **arguments))


@when("all links are cut")
def cut_links(context):
    context.world.streams[-1].wait_for_tokens(5)
    for relay in context.world.relays.values():
        relay.cut()


@when("an engine is killed during generations while the other agent is replaced")
def kill_and_replace(context):
    world = context.world
    set_engines_paused(world, True)
    futures = [
        world.submit(world.caller(gateway).generate, MODEL, "stack_up_check", 60 + n)
        for n in range(4)
        for gateway in GATEWAYS
    ]
    number = int(serving_number(world))
    other = next(n for n in ENDPOINT_NUMBERS if n != number)
    stopped = world.deployment.process(f"review-{other}")
    stopped.terminate()
    world.deployment.process(f"engine-{number}").kill()
    set_engines_paused(world, False)
    wait_until(lambda: not stopped.is_running, "the other agent to stop")
    assert stopped.wait() == 0
    world.start_agent(f"review-{other}")
    world.results = [future.result(90) for future in futures]


@then("every answer is complete or reported as lost, and none mixes generations")
def check_results(context):
    for result in context.world.results:
        assert not result.fault, result
        assert result.is_whole or result.outcome in ("unknown", "not_run"), result
        if result.outcome == "not_run":
            assert result.code in ("no_endpoint", "leaving"), result
