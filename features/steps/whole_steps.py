"""Steps for complete answers to concurrent callers."""

from __future__ import annotations

from random import Random

from behave import then, when
from support.world import GATEWAYS, MODEL, PLAIN_KIND, SERVICE

from devtools.deployment import wait_until


@when("{count:d} callers send generations and calls that take 0 to 400 ms")
def send_mixed(context, count):
    world = context.world
    random = Random(5)
    gateways = list(GATEWAYS)
    futures = []
    for number in range(count):
        caller = world.caller(random.choice(gateways))
        if number % 3 == 0:
            length = random.randint(3, 60)
            futures.append(
                world.submit(caller.generate, MODEL, "stack_up_check", length, number)
            )
        else:
            seconds = random.random() * 0.4
            futures.append(
                world.submit(
                    caller.call, SERVICE, PLAIN_KIND, tag=f"t{number}", seconds=seconds
                )
            )
    world.results = [future.result(90) for future in futures]


@then("every caller has the complete answer to its request")
@then("every later caller has the complete answer to its request")
def check_complete(context):
    faulty = [result for result in context.world.results if not result.is_whole]
    assert context.world.results and not faulty, faulty


@when("{count:d} slow calls run at gateway-1 and it is killed and restarted")
def restart_gateway(context, count):
    world = context.world
    for number in range(count):
        caller = world.caller()
        world.submit(caller.call, SERVICE, PLAIN_KIND, tag=f"slow{number}", seconds=3)
    wait_until(lambda: sum(world.tags().values()) == count, "the slow calls to run")
    world.deployment.process("gateway-1").kill()
    world.deployment.start_gateway("gateway-1", GATEWAYS["gateway-1"])
    world.deployment.wait_ready("gateway-1")
    world.wait_until_serving()


@when("{count:d} other calls are sent to it")
def send_others(context, count):
    world = context.world
    futures = [
        world.submit(
            world.caller().call, SERVICE, PLAIN_KIND, tag=f"other{number}", seconds=1
        )
        for number in range(count)
    ]
    world.results = [future.result(90) for future in futures]
