"""Steps for a gateway's link to an agent, without other processes."""

from __future__ import annotations

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
from piershore.gateway.agent_link import AgentLink
from piershore.gateway.agent_links import AgentLinks
from piershore.wire.link_pb2 import AgentFrame, AgentHello, Heartbeat, HeldInterval

HELD_INTERVAL = HeldInterval(layout_start=0, slot_count=1, slot=0, start=5, end=9)


def receive(link, frame):
    async def deliver():
        link._frame_received(frame)

    trio.run(deliver)


class SilentClient:
    """A link client that sends nothing."""

    def send(self, frame):
        """Drop a frame."""


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
