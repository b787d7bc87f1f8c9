"""Steps for plain requests through a gateway of the platform."""

from __future__ import annotations

import time

import trio
from behave import given, then, when
from support.ingress_world import (
    HOST,
    IngressWorld,
    TIMEOUT_MS,
)
from support.stream_reading import wait_for_peers

from piershore.core.fleet.endpoint import Address
from piershore.http1.message import RequestHead

SUSPENSION_SECONDS = 0.2


@given('desk endpoints with the faults "{faults}"')
def given_faults(context, faults):
    context.ingress = IngressWorld()
    names = [name.strip() for name in faults.split(",")]
    context.ingress.shared_faults = names
    context.ingress.add_endpoints("desk", 3)
    # All endpoints share one list: faults occur in the order of the attempts.
    for endpoint in context.ingress.endpoints:
        endpoint.faults = names


@given('desk endpoints with the faults ""')
def given_no_faults(context):
    given_healthy(context)


@given("a gateway before healthy endpoints")
def given_healthy(context):
    context.ingress = IngressWorld()
    context.ingress.add_endpoints("desk", 3)
    context.ingress.add_endpoints("model", 2)


@given("2 gateways before healthy endpoints")
def given_two(context):
    given_healthy(context)
    context.ingress._start_gateways = 2


@when('a caller sends a "{kind}" request')
@when('a caller sends a "{kind}" request of {size:d} bytes')
def send_request(context, kind, size=2):
    async def script(world):
        context.reply = await world.call(kind, body=b"x" * size, request="abc")
        context.later = await world.call(kind, request="def")

    context.ingress.run(script)


@then("its status is {status:d}")
def check_status(context, status):
    assert context.reply.status == status, vars(context.reply)


@then("its status is {status:d} and it ran {runs:d} times")
def check_runs(context, status, runs):
    check_status(context, status)
    total = sum(e.runs["abc"] for e in context.ingress.endpoints)
    assert total == runs, total


@then("the headers and the body of the answer match its status")
def check_consistent(context):
    reply = context.reply
    if reply.status == 200:
        assert reply.headers["response-seal"] == "seal.abc"
        assert b'"request":"abc"' in reply.body
    if reply.status == 503:
        assert float(reply.headers["retry-after"]) > 0
    if reply.status in (502, 503, 504):
        assert "response-seal" not in reply.headers
    assert reply.is_whole
    assert reply.headers["attempt-id"] == "abc"


@then("the next request of the same caller succeeds")
def check_later(context):
    assert context.later.status == 200, vars(context.later)


@when('a caller sends {count:d} "{kind}" requests one after the other')
def send_repeatedly(context, count, kind):
    async def script(world):
        context.replies = [
            await world.call(kind, request=f"r{number}") for number in range(count)
        ]

    context.ingress.run(script)


@then("each gets its own complete answer, except for at most one 502")
def check_own(context):
    for number, reply in enumerate(context.replies):
        if reply.status == 200:
            assert f'"request":"r{number}"'.encode() in reply.body
            assert reply.headers["response-seal"] == f"seal.r{number}"
        else:
            assert reply.status == 502, vars(reply)
    good = sum(reply.status == 200 for reply in context.replies)
    assert good >= len(context.replies) - 1


def raw_request(path="/once/x", host=HOST, *lines, body=b""):
    head = [f"POST {path} HTTP/1.1", f"Host: {host}", "Attempt-Id: abc"]
    head += lines or ("Authorization: Token key-1", f"Content-Length: {len(body)}")
    return "\r\n".join([*head, "", ""]).encode() + body


KEYED = "Authorization: Token key-1"


FAULTY = {
    "two lengths": raw_request(
        "/once/x", HOST, KEYED, "Content-Length: 3", "Transfer-Encoding: chunked"
    )
    + b"0\r\n\r\n",
    "no request": b"this is no request\r\n\r\n",
    "bad deadline": raw_request(
        "/once/x", HOST, KEYED, "Content-Length: 0", "Deadline-Ms: soon"
    ),
    "bad token counts": raw_request(
        "/once/x", HOST, KEYED, "Content-Length: 0", "Token-Usage: many"
    ),
    "no time left": raw_request(
        "/once/x", HOST, KEYED, "Content-Length: 0", "Deadline-Ms: 0"
    ),
    "huge head": raw_request("/once/x", HOST, KEYED, "X: " + "x" * 9_000),
    "huge body": raw_request("/once/x", HOST, KEYED, "Content-Length: 200000"),
    "huge chunked body": raw_request(
        "/once/x", HOST, KEYED, "Transfer-Encoding: chunked"
    )
    + b"1ffff\r\n"
    + b"x" * 0x1FFFF
    + b"\r\n0\r\n\r\n",
    "slow head": b"POST /once/x HTTP/1.1\r\nHost: ",
    "unknown host": raw_request("/once/x", "other.example"),
    "unknown path": raw_request("/none/x"),
    "unknown key": raw_request(
        "/once/x", HOST, "Authorization: Token no", "Content-Length: 0"
    ),
    "no key": raw_request("/once/x", HOST, "Content-Length: 0"),
}


@when('a caller sends the faulty request "{fault}"')
def send_faulty(context, fault):
    async def script(world):
        status = await world.send_raw(FAULTY[fault])
        context.reply = type("Raw", (), {"status": status})()
        context.later = await world.call("once", request="later")

    context.ingress.run(script)
    assert context.later.status == 200


@when('a caller sends a "{kind}" request and the process is suspended')
def suspend_process(context, kind):
    async def script(world):
        _, daemon = world.gateways[0]
        dialect = daemon._state.dialect
        read_request = dialect.read_request

        def read_while_suspended(head):
            time.sleep(SUSPENSION_SECONDS)
            return read_request(head)

        dialect.read_request = read_while_suspended
        headers = [("deadline-ms", "100")]
        context.reply = await world.call(kind, *headers, request="abc", size="100,40")

    context.ingress.run(script)


@when('a caller sends a "repeatable" request and the metrics are read')
def read_metrics(context):
    async def script(world):
        await world.call("repeatable")
        # The gauges of the budget are set once a second.
        await trio.sleep(1.1)
        port = world.gateways[0][1]._metrics_port
        address = Address(world.address().host, port)
        head = RequestHead(b"GET", b"/metrics", ((b"host", b"h"),))
        context.reply = await world.send_to(address, head, b"")

    context.ingress.has_metrics = True
    context.ingress.run(script)


@then("they show the retry, the configuration, the endpoints and the retry budget")
def check_metrics(context):
    lines = dict(
        line.rsplit(" ", 1)
        for line in context.reply.body.decode().splitlines()
        if not line.startswith("#")
    )
    prefix = "piershore_ingress_"
    assert float(lines[prefix + 'retries_total{outcome="failed_answer"}']) >= 1
    assert lines[prefix + "config_version"] == "4.0"
    assert lines[prefix + 'endpoints{stage="ready"}'] == "3.0"
    assert float(lines[prefix + 'retries_left{service="desk"}']) > 0


SYSTEM_HEADERS = {
    "tenant": "other",
    "hold": "h",
    "pin-ms": "9",
    "kv-backup": "1.2.3.4:5",
    "kv-from": "1.2.3.4:5/h",
    "kv-fetch": "1.2.3.4:5",
    "priority": "0",
    "expected-instance": "i-x",
}


@when("a caller sends headers that only the gateway may set")
def send_system_headers(context):
    async def script(world):
        headers = [
            *SYSTEM_HEADERS.items(),
            ("connection", "x-mine, attempt-id"),
            ("x-mine", "1"),
            ("x-other", "2"),
            ("te", "trailers"),
        ]
        context.reply = await world.call("once", *headers)

    context.ingress.run(script)
    assert context.reply.status == 200
    context.headers = context.ingress.arrivals()[0].headers


@then("the endpoint gets none of them with the caller's value")
def check_stripped(context):
    for name, value in SYSTEM_HEADERS.items():
        assert context.headers.get(name) != value, name
    for name in ("x-mine", "te", "connection", "authorization"):
        assert name not in context.headers, name
    assert context.headers["x-other"] == "2"
    assert context.headers["attempt-id"]


@then("the endpoint gets the account, its own identity and the remaining time")
def check_set(context):
    assert context.headers["tenant"] == "surulere"
    assert context.headers["expected-instance"].startswith("i-")
    assert 0 < int(context.headers["deadline-ms"]) <= TIMEOUT_MS


@when("two desk endpoints are replaced by others at the same addresses")
def replace_endpoints(context):
    async def script(world):
        for endpoint in world.endpoints[:2]:
            endpoint.identity = f"{endpoint.identity}-new"
        context.reply = await world.call("once", request="abc")

    context.ingress.run(script)


@then('a "once" request runs once, at the third endpoint')
def check_third_endpoint(context):
    assert context.reply.status == 200
    assert [e.runs["abc"] for e in context.ingress.endpoints[:3]] == [0, 0, 1]


@when("a caller closes its connection after {seconds:f} seconds")
def close_early(context, seconds):
    async def script(world):
        with trio.move_on_after(seconds):
            await world.call("once", request="abc")
        arrival = world.arrivals()[0]
        with trio.move_on_after(0.3) as scope:
            assert not await arrival.stream.receive_some(1)
        context.too_late = scope.cancelled_caught

    context.ingress.run(script)


@then("the endpoint's connection is closed within {seconds:f} seconds")
def check_closed(context, seconds):
    assert not context.too_late


@when('a caller sends a "{kind}" request and the failure rates are read')
def send_and_read_rates(context, kind):
    async def script(world):
        await world.call(kind, request="abc")
        _, daemon = world.gateways[0]
        rates = [daemon._state.health.failure_rate(e.identity) for e in world.endpoints]
        context.failing = sum(rate > 0 for rate in rates)

    context.ingress.run(script)


@then("{number:d} endpoints have a failure rate above 0")
def check_failing(context, number):
    assert context.failing == number, context.failing


@given("2 gateways before one failing and two healthy endpoints")
def given_failing(context):
    world = context.ingress = IngressWorld()
    world._start_gateways = 2
    world.add_endpoints("desk", 1, ["fails"] * 99)
    world.add_endpoints("desk", 2)


@when('{count:d} "{kind}" requests have failed at the first gateway')
def fail_at_first(context, count, kind):
    async def script(world):
        await wait_for_peers(world)
        failed = 0
        while failed < count:
            failed += (await world.call(kind)).status == 500
            _, first = world.gateways[0]
            # Clears the ejection, so that this gateway chooses the endpoint again.
            first._state.health.forget(world.endpoints[0].identity)
        _, second = world.gateways[1]
        health = second._state.health
        while not health.is_ejected(world.endpoints[0].identity, trio.current_time()):
            await trio.sleep(0.01)
        now = trio.current_time()
        context.ejected = [health.is_ejected(e.identity, now) for e in world.endpoints]

    context.ingress.run(script)


@then("the second gateway ejects the failing endpoint and no other")
def check_ejected(context):
    assert context.ejected == [True, False, False], context.ejected
