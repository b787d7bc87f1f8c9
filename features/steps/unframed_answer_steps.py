"""Steps for answers that only the end of their connection ends."""

from __future__ import annotations

from unittest.mock import patch

import trio
from behave import given, then, when
from stopped_run_steps import read_disturbed
from support.endpoint_entries import VALID_ENTRY
from support.ingress_world import IngressWorld
from support.stream_reading import SMALL_SIZE, StreamReading

from piershore.ingress.live_stream import LiveStream
from piershore.ingress.moves.stop_order import StopOrder
from piershore.ingress.ports import StopOutcome
from piershore.platform.endpoint_codec import decode_endpoint
from piershore.platform.engine_mover import EngineMover

SEND_SECONDS = 0.05
"""How late the task that sends an order runs again; a busy gateway has such turns."""


@given("engines without moves or backups, with answers that end with the connection")
def given_unframed(context):
    world = context.ingress = IngressWorld()
    world.add_endpoints("model", 3)
    engine = world.configuration["services"][1]["engine"]
    engine["moves"] = engine["backups"] = False
    for endpoint in world.endpoints:
        endpoint.ends_with_connection = True


@when(
    "a stream of {count:d} events is read and its engine leaves after {after:d}, "
    "with a slow sender"
)
def read_with_slow_sender(context, count, after):
    send = EngineMover.send_stop

    async def send_slowly(*arguments):
        await send(*arguments)
        await trio.sleep(SEND_SECONDS)

    with patch.object(EngineMover, "send_stop", send_slowly):
        read_disturbed(context, StreamReading, SMALL_SIZE, count, "leaves", after)


@then("the caller sees that its stream is incomplete")
def check_incomplete(context):
    reply = context.reading.reply
    assert len(reply.events) < context.count
    assert not reply.is_whole, len(reply.events)


def start_sending(order):
    order.begin_sending()


def refuse(order):
    order.begin_sending()
    order.record_outcome(StopOutcome.REFUSED)


def find_no_run(order):
    order.begin_sending()
    order.record_outcome(StopOutcome.NO_RUN)


def lose_answer(order):
    order.begin_sending()
    order.record_outcome(StopOutcome.UNANSWERED)
    order.begin_sending()
    order.record_outcome(StopOutcome.NO_RUN)


ORDER_STATES = {
    "is still being sent": start_sending,
    "was answered by a refusal": refuse,
    "found no run": find_no_run,
    "was never answered": lose_answer,
}


@then("the end of its answer there {meaning}")
def check_earlier_order(context, meaning):
    endpoint = decode_endpoint("i-1", VALID_ENTRY)
    other = decode_endpoint("i-2", VALID_ENTRY)
    stream = LiveStream(exchange=None, endpoint=other, work=None)
    order = StopOrder("abc", endpoint)
    ORDER_STATES[context.active_outline["state"]](order)
    stream.stop_orders.append(order)
    assert not stream.may_have_been_stopped
    stream.continue_at(endpoint, None)
    assert stream.may_have_been_stopped is (meaning == "may be a stop")
