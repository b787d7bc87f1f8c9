"""Steps for a gateway's link to an agent, without processes."""

from __future__ import annotations

import trio
from behave import given, then, when

from piershore.core.configuration.config_view import ConfigView
from piershore.core.configuration.objects import EndpointStatus
from piershore.gateway.agent_link import AgentLink
from piershore.wire.link_pb2 import AgentFrame, AgentHello, Heartbeat, HeldInterval

HELD = HeldInterval(layout_start=0, slot_count=1, slot=0, start=5, end=9)


def receive(link, frame):
    async def take():
        link._frame_received(frame)

    trio.run(take)


class SilentClient:
    """A connection that sends nothing."""

    def send(self, frame):
        """Drop a frame."""


@given("a link whose agent has greeted and told nothing else yet")
def given_greeted(context):
    status = EndpointStatus(
        service="desk", data_hall="ikeja", address="127.0.0.1:1", incarnation="new"
    )
    context.link = AgentLink("gateway-1", "order-1", status, ConfigView())
    context.link._client = SilentClient()
    hello = AgentHello(endpoint="order-1", incarnation="new", complete_to=0)
    receive(context.link, AgentFrame(hello=hello))


@then("the link takes no requests yet")
def check_not_open(context):
    assert not context.link.state.is_open


@when("the agent's first heartbeat comes")
def first_heartbeat(context):
    beat = Heartbeat(complete_to=0, intervals=[HELD])
    receive(context.link, AgentFrame(heartbeat=beat))


@then("the link takes requests for the keys that the agent may run")
def check_open(context):
    assert context.link.state.is_open
    (held,) = context.link.intervals
    assert (held.interval.start, held.interval.end) == (5, 9)
