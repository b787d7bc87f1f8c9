"""Steps for the soak's check that requests are served."""

from __future__ import annotations

import tempfile
from pathlib import Path

import trio
from behave import given, then, when
from trio.testing import MockClock

from devtools.soak.callers import Call
from devtools.soak.checks import find_lost_service
from devtools.soak.fleet import Fleet, SoakEndpoint
from devtools.soak.outages import Outages
from standins.published_endpoint import AskedRest
from standins.published_store import StoreFault

LISTENING_PORT = 9
PLAYED_SECONDS = 3.0
SUCCESSOR_AT_SECONDS = 1.0


@given("a soak's fleet with two endpoints of the desk")
def given_fleet(context):
    with tempfile.TemporaryDirectory() as folder:
        context.fleet = Fleet(Path(folder), 0, {"desk": 2})


def open_endpoint(context, endpoint: SoakEndpoint) -> None:
    endpoint.standin.port = LISTENING_PORT
    context.fleet.list_endpoint(endpoint, "ready")


def close_endpoints(context, state: str) -> None:
    now = trio.current_time()
    count = {"both": 2, "one": 1, "neither": 0}[state.split()[0]]
    for endpoint in context.fleet.endpoints[:count]:
        if "rest" in state:
            endpoint.standin.rests.append(AskedRest("a", now, 2 * PLAYED_SECONDS))
        else:
            endpoint.standin.tells_leaving = True


async def play(context, state: str) -> None:
    context.outages = Outages(context.fleet)
    async with trio.open_nursery() as nursery:
        for endpoint in context.fleet.endpoints:
            open_endpoint(context, endpoint)
        nursery.start_soon(context.outages.watch)
        await trio.sleep(SUCCESSOR_AT_SECONDS / 2)
        close_endpoints(context, state)
        await trio.sleep(SUCCESSOR_AT_SECONDS / 2)
        if "hides" in state:
            context.fleet.store.fault = StoreFault.BUSY
        if "successor" in state:
            endpoint = context.fleet.endpoints[0]
            endpoint.renew()
            open_endpoint(context, endpoint)
        await trio.sleep(PLAYED_SECONDS - SUCCESSOR_AT_SECONDS)
        context.ended_at = trio.current_time()
        nursery.cancel_scope.cancel()


@when("{state}, and 8 of 10 requests are refused as {code}")
def refuse_most(context, state, code):
    trio.run(play, context, state, clock=MockClock(autojump_threshold=0))
    context.calls = [call_of(context, 200, b"{}") for _ in range(2)]
    body = b'{"code":"%s"}' % code.encode()
    context.calls += [call_of(context, 503, body) for _ in range(8)]


def call_of(context, status: int, body: bytes) -> Call:
    return Call(
        identity="1",
        kind="once",
        account="key-a",
        gateway="front-0",
        life=1,
        sent_at=context.ended_at - 0.01,
        status=status,
        body=body,
        ended_at=context.ended_at,
    )


@then("the soak's check finds nothing")
def check_nothing(context):
    assert not list(find_lost_service(context.calls, context.outages))


@then("the soak's check finds a loss of service")
def check_loss(context):
    found = list(find_lost_service(context.calls, context.outages))
    assert found == ["only 2 of 10 requests were served"], found
