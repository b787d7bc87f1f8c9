"""Steps for a suspended box, whose monotonic clock doesn't count the suspension."""

from __future__ import annotations

import time

import trio
from behave import given, then, when
from support.ingress_world import IngressWorld

from piershore.boot_clock import BootClock, read_boot_time

SUSPEND_AFTER_SECONDS = 0.05
MAX_WAIT_SECONDS = 6.0


class SuspendedTime:
    """Time since the box was booted, including suspensions of the box."""

    def __init__(self):
        self.suspended_seconds = 0.0

    def __call__(self):
        return time.monotonic() + self.suspended_seconds


def use_suspendable_clock(context):
    context.time = SuspendedTime()
    context.ingress.clock = BootClock(context.time)


@given("a gateway in front of endpoints that don't answer")
def given_silent(context):
    context.ingress = IngressWorld()
    context.ingress.add_endpoints("desk", 3, ["silent"] * 3)
    context.ingress.configuration["routes"][1]["target_latency_ms"] = 1_000


@when("a repeatable request waits and the box is suspended for {seconds:g} s")
def suspend_call(context, seconds):
    use_suspendable_clock(context)

    async def script(world):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_call, context)
            while not world.arrivals():
                await trio.sleep(0.005)
            await trio.sleep(SUSPEND_AFTER_SECONDS)
            context.time.suspended_seconds += seconds
            context.resumed_at = time.monotonic()

    context.ingress.run(script)


async def _call(context):
    context.reply = await context.ingress.call("repeatable")
    context.answered_at = time.monotonic()


@then(
    "no endpoint gets it after the suspension, and it is answered within {seconds:g} s"
)
def check_timed_out(context, seconds):
    assert len(context.ingress.arrivals()) == 1, len(context.ingress.arrivals())
    assert context.answered_at - context.resumed_at < seconds
    assert context.reply.status == 504, vars(context.reply)


@when(
    "an endpoint leaves while the box is suspended for {seconds:g} s and its watches are"
    " lost"
)
def suspend_watch(context, seconds):
    use_suspendable_clock(context)

    async def script(world):
        _, daemon = world.gateways[0]
        leaving = world.endpoints[0]
        await _wait_for_watch_start(world)
        world.store.is_deaf = True
        world.list_endpoint(leaving, "draining")
        await trio.sleep(0.05)
        world.store.is_deaf = False
        context.time.suspended_seconds += seconds
        resumed_at = time.monotonic()
        with trio.move_on_after(MAX_WAIT_SECONDS):
            while not daemon._state.directory.is_leaving(leaving.identity):
                await trio.sleep(0.005)
        context.known_after = time.monotonic() - resumed_at

    context.ingress.run(script)


async def _wait_for_watch_start(world):
    """Wait until a watch starts, so that it doesn't end soon."""
    started = len(world.store.watch_times)
    while not any(kind == "servers" for kind, _ in world.store.watch_times[started:]):
        await trio.sleep(0.005)


@then("the gateway knows that within {seconds:g} s after the suspension")
def check_known(context, seconds):
    assert context.known_after < seconds, context.known_after


@then("it includes the time during which the box is suspended")
def check_clock(context):
    read = SuspendedTime()
    clock = BootClock(read)
    before = clock.current_time()
    read.suspended_seconds += 7.0
    assert 7.0 <= clock.current_time() - before < 8.0
    assert clock.deadline_to_sleep_time(before + 7.0) <= 0.0
    assert abs(BootClock().current_time() - read_boot_time()) < 1.0
    assert abs(time.clock_gettime(time.CLOCK_BOOTTIME) - read_boot_time()) < 1.0
