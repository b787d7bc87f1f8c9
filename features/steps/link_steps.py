"""Steps for a gateway's link to an agent, without other processes."""

from __future__ import annotations

from unittest.mock import patch

import trio
from behave import given, then, when
from trio.testing import MockClock

from piershore.core.configuration.codec import encode
from piershore.core.configuration.config_view import ConfigView
from piershore.core.configuration.objects import (
    EndpointStatus,
    ObjectKind,
    Service,
    ServiceType,
)
from piershore.core.configuration.stored_object import ObjectName, StoredObject
from piershore.gateway import agent_link, config_source
from piershore.gateway.agent_link import AgentLink
from piershore.gateway.agent_links import AgentLinks
from piershore.gateway.config_source import ConfigSource
from piershore.wire.link_pb2 import (
    AgentFrame,
    AgentHello,
    ConfigBatch,
    Heartbeat,
    HeldInterval,
)

HELD_INTERVAL = HeldInterval(layout_start=0, slot_count=1, slot=0, start=5, end=9)


def receive(link, frame):
    async def deliver():
        link._frame_received(frame)

    trio.run(deliver)


class SilentClient:
    """A link client that sends and receives nothing."""

    def __init__(self, *arguments):
        pass

    def start(self):
        """Do nothing."""

    def send(self, frame):
        """Drop a frame."""

    def close(self):
        """Do nothing."""


@given("a link whose agent has sent only its hello frame")
def given_greeted(context):
    status = EndpointStatus(
        service="desk", data_hall="ikeja", address="127.0.0.1:1", incarnation="new"
    )
    context.link = AgentLink("gateway-1", "order-1", status, ConfigView())
    context.link._client = SilentClient()
    hello = AgentHello(endpoint="order-1", incarnation="new", complete_to=0)
    receive(context.link, AgentFrame(hello=hello))


@then("the link accepts no requests yet")
def check_not_open(context):
    assert not context.link.state.is_open


@when("the agent's first heartbeat arrives")
def first_heartbeat(context):
    heartbeat = Heartbeat(complete_to=0, intervals=[HELD_INTERVAL])
    receive(context.link, AgentFrame(heartbeat=heartbeat))


@then("the link accepts requests for the keys that the agent may run")
def check_open(context):
    assert context.link.state.is_open
    (held,) = context.link.intervals
    assert (held.interval.start, held.interval.end) == (5, 9)


class IdleNursery:
    """A nursery that starts nothing."""

    def start_soon(self, function, *arguments):
        """Ignore the task, so that the link stays unconnected."""


def announce(context, incarnation, version):
    status = EndpointStatus("desk", "ikeja", "127.0.0.1:1", incarnation)
    name = ObjectName(ObjectKind.ENDPOINT, "order-1")
    context.view.apply(StoredObject(name, version, encode(status)))
    context.links._update_links()


@given("a gateway whose link reconnected to a restarted agent before its announcement")
def given_found_first(context):
    context.view = ConfigView()
    spec = Service(ServiceType.PLAIN, ("order",))
    service = ObjectName(ObjectKind.SERVICE, "desk")
    context.view.apply(StoredObject(service, 1, encode(spec)))
    context.links = AgentLinks(
        "gateway-1", "ikeja", "least_work_of_two", 8, context.view
    )
    context.links._nursery = IdleNursery()
    announce(context, "old", 2)
    (context.link,) = context.links.all
    context.link._client = SilentClient()
    hello = AgentHello(endpoint="order-1", incarnation="new", complete_to=0)
    receive(context.link, AgentFrame(hello=hello))
    first_heartbeat(context)


@when("the gateway receives the new agent's announcement")
def announce_new(context):
    announce(context, "new", 3)


@then("the gateway keeps that link and opens no other")
def check_one_link(context):
    assert context.links.all == (context.link,)
    assert context.link.state.is_open and context.link.state.takes_work


@given("a link that waits to reconnect")
def given_waiting(context):
    status = EndpointStatus("desk", "ikeja", "127.0.0.1:1", "old")
    context.link = AgentLink("gateway-1", "order-1", status, ConfigView())


@when("its agent is replaced before it reconnects")
def replace_agent(context):
    context.opened = 0

    async def connect():
        context.opened += 1
        return True

    async def run():
        context.link._connect_once = connect
        async with trio.open_nursery() as nursery:
            nursery.start_soon(context.link.run)
            await trio.testing.wait_all_tasks_blocked()
            context.link.retire()
            with trio.move_on_after(60.0):
                await trio.sleep_forever()
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


@then("it doesn't reconnect")
def check_not_reopened(context):
    assert context.opened == 1, context.opened


def run_open_link(context, script):
    """Run a script with an open link in virtual time, then keep what was logged."""
    context.lines = []

    def log(event, **fields):
        context.lines.append((event, fields))

    async def run():
        clock = trio.lowlevel.current_clock()
        async with trio.open_nursery() as nursery:
            given_waiting(context)
            nursery.start_soon(context.link.run)
            await trio.testing.wait_all_tasks_blocked()
            hello = AgentHello(endpoint="order-1", incarnation="old", complete_to=0)
            context.link._frame_received(AgentFrame(hello=hello))
            beat(context)
            await script(clock)
            nursery.cancel_scope.cancel()

    with (
        patch.object(agent_link, "LinkClient", SilentClient),
        patch.object(agent_link, "log_state_change", log),
    ):
        trio.run(run, clock=MockClock(autojump_threshold=0))


def beat(context):
    context.link._frame_received(AgentFrame(heartbeat=Heartbeat(complete_to=0)))


@when(
    "a gateway stands still for {paused:g} s after a heartbeat, and reads the next "
    "{late:g} s later"
)
def stand_still(context, paused, late):
    async def script(clock):
        await trio.sleep(0.1)
        clock.jump(paused)
        await trio.sleep(late)
        beat(context)
        await trio.sleep(1.0)
        context.is_open = context.link.state.is_open

    run_open_link(context, script)


@then("its link to the agent stays open")
def check_still_open(context):
    assert context.is_open, context.lines


async def run_on(clock):
    await trio.sleep(0.1)


async def stand_still_once(clock):
    if trio.current_time() == 0.0:
        await trio.sleep(0.3)
        clock.jump(2.0)
    await trio.sleep(0.1)


async def stand_still_often(clock):
    await trio.sleep(0.8)
    clock.jump(0.2)


PAUSES = {
    "runs": run_on,
    "stands still once for 2 s": stand_still_once,
    "stands still for 0.2 s each second": stand_still_often,
}


@when("an agent falls silent and its gateway {pauses}")
def fall_silent(context, pauses):
    async def script(clock):
        started = trio.current_time()
        while context.link.state.is_open and trio.current_time() < started + 60.0:
            await PAUSES[pauses](clock)
        context.closed_after = trio.current_time() - started

    run_open_link(context, script)


@then("the link is closed within {seconds:g} s, which its log line tells")
def check_closed(context, seconds):
    assert context.closed_after <= seconds, context.closed_after
    (closed,) = [fields for event, fields in context.lines if event == "link_closed"]
    assert closed["cause"] == "silent"
    assert 3.0 <= closed["silent_seconds"] <= seconds


@when(
    "a gateway that follows a relay stands still for {seconds:g} s, and then reads what "
    "came"
)
def stand_still_following(context, seconds):
    def follow(address, request, on_batch, on_close):
        context.receive = on_batch
        return SilentClient()

    async def run():
        clock = trio.lowlevel.current_clock()
        source = ConfigSource("gateway-1", "ikeja", None, ConfigView(), None, 1.0, [])
        async with trio.open_nursery() as nursery:
            nursery.start_soon(follow_relay, context, source)
            await trio.testing.wait_all_tasks_blocked()
            context.receive(ConfigBatch(complete_to=1))
            await trio.sleep(0.1)
            clock.jump(seconds)
            await trio.sleep(0.2)
            context.receive(ConfigBatch(complete_to=2))
            await trio.sleep(1.0)
            nursery.cancel_scope.cancel()

    context.is_following = True
    with patch.object(config_source, "follow_peer", follow):
        trio.run(run, clock=MockClock(autojump_threshold=0))


async def follow_relay(context, source):
    source._should_relay = lambda: False
    await source._follow("127.0.0.1:1")
    context.is_following = False


@then("it goes on following that relay")
def check_following(context):
    assert context.is_following
