"""Steps for the start of a gateway, whose callers' port is open before it serves."""

from __future__ import annotations

import socket
import tempfile
from pathlib import Path
from unittest.mock import patch

import trio
from behave import given, then, when
from support.ingress_world import IngressWorld
from support.stream_reading import wait_for_peers

from devtools.ports import free_port
from piershore.core.attempts.leaving import RESTART_SECONDS
from piershore.core.fleet.endpoint import Address
from piershore.early_listener import open_early_listener, pop_early_listener
from piershore.http1.client_connection import ClientConnection
from piershore.ingress.callers import listeners
from piershore.platform.callers_port import open_callers_port
from piershore.platform.settings_lines import PATH_VARIABLE

UNREAD_SECONDS = 0.05
"""How long a request stays unread before the gateway starts."""
SETTLE_SECONDS = 0.3
"""Time in which a forwarded request reaches its endpoint."""
LONG_PATIENCE_SECONDS = 30.0
HOST = "127.0.0.1"


@given("a starting gateway whose port is already open")
def given_starting(context):
    world = context.ingress = IngressWorld()
    world.add_endpoints("desk", 3)
    world.add_endpoints("model", 2)
    world._start_gateways = 0
    context.patience = LONG_PATIENCE_SECONDS
    context.late_configuration = None


@given("a configuration that is stored after the start")
def given_late_configuration(context):
    context.late_configuration = context.ingress.configuration
    context.ingress.configuration = None


@given("no configuration, and callers that wait at most {seconds:g} s for it")
def given_no_configuration(context, seconds):
    context.ingress.configuration = None
    context.patience = seconds


async def _start(context, world, settings):
    """Start the gateway whose port is already open."""
    with patch.object(listeners, "READY_PATIENCE_SECONDS", context.patience):
        await trio.sleep(UNREAD_SECONDS)
        await world.start_gateway(0, settings=settings, wait=False)
        if context.late_configuration is not None:
            await trio.sleep(UNREAD_SECONDS)
            world.store.put("config", "main", context.late_configuration)


@when('a caller sends a "{kind}" request before it serves')
def send_early(context, kind):
    async def call(world, address):
        head = world.head(kind, ("content-length", "2"), request="abc")
        context.reply = await world.send_to(address, head, b"{}")

    async def script(world):
        settings = world.settings(0)
        address = settings.callers_address
        open_early_listener(address.host, address.port)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(call, world, address)
            await _start(context, world, settings)

    context.ingress.run(script)


@when('{callers:d} callers send a "{kind}" request before it serves and close')
def send_and_close(context, callers, kind):
    async def script(world):
        settings = world.settings(0)
        address = settings.callers_address
        open_early_listener(address.host, address.port)
        for _ in range(callers):
            connection = await ClientConnection.open(address.host, address.port, 1.0)
            head = world.head(kind, ("content-length", "2"))
            await connection.send(head, b"{}")
            await connection.close()
        await _start(context, world, settings)
        await world.wait_until(world.is_ready)
        await trio.sleep(SETTLE_SECONDS)

    context.ingress.run(script)


@when("it reports that it is ready")
def wait_ready(context):
    async def script(world):
        settings = world.settings(0)
        open_early_listener(
            settings.callers_address.host, settings.callers_address.port
        )
        await _start(context, world, settings)
        await world.wait_until(world.is_ready)
        context.replies = [await world.call("once") for _ in range(8)]

    context.ingress.run(script)


@then("{count:d} new connections are served")
def check_served(context, count):
    statuses = [reply.status for reply in context.replies]
    assert statuses == [200] * count, statuses


@then(
    "each of its connections to the store breaks after {seconds:d} s without a sign of life"
)
def check_probed(context, seconds):
    async def script(world):
        _, daemon = world.gateways[0]
        followers = (daemon._configuration, daemon._endpoints)
        for follower in followers:
            connection = follower._feed._client._connection
            options = [
                connection._stream.socket.getsockopt(socket.IPPROTO_TCP, option)
                for option in (
                    socket.TCP_KEEPIDLE,
                    socket.TCP_KEEPINTVL,
                    socket.TCP_KEEPCNT,
                )
            ]
            idle, interval, count = options
            assert idle + interval * count == seconds, options
            probes = connection._stream.socket.getsockopt(
                socket.SOL_SOCKET, socket.SO_KEEPALIVE
            )
            assert probes == 1

    context.ingress.run(script)


@then("nothing ran and nothing reached an endpoint")
def check_nothing_ran(context):
    arrivals = list(context.ingress.arrivals())
    assert not arrivals, len(arrivals)
    assert not context.ingress.runs("desk") + context.ingress.runs("model")


@given('a settings file with "{fault}"')
def given_faulty_file(context, fault):
    context.address = Address(HOST, free_port())
    folder = Path(tempfile.mkdtemp(prefix="settings-"))
    context.settings_file = folder / "node.conf"
    context.holder = None
    lines = {
        "no address": b"node_name=front-1\n",
        "no port number": b"listen.front=127.0.0.1:none\n",
        "a port in use": f"listen.front={context.address}\n".encode(),
        "bytes that are no text": b"\xff\xfe\n",
    }
    if fault in lines:
        context.settings_file.write_bytes(lines[fault])
    if fault == "a port in use":
        context.holder = socket.create_server((HOST, context.address.port))


@when("a process opens the callers' port at its start")
def open_port(context):
    variables = {PATH_VARIABLE: str(context.settings_file)}
    with patch.dict("os.environ", variables):
        open_callers_port()


@then("no port is opened")
def check_no_port(context):
    assert pop_early_listener(HOST, context.address.port) is None
    if context.holder is not None:
        context.holder.close()


STOPPING_SECONDS = 3.0


@when("both have been stopping for some seconds and a caller requests a long stream")
def request_while_stopping(context):
    async def script(world):
        await wait_for_peers(world)
        now = trio.current_time()
        for settings, daemon in world.gateways.values():
            daemon._state.leaving_since = now - STOPPING_SECONDS
            daemon._state.stops_at = (
                now - STOPPING_SECONDS + settings.stop_grace_seconds
            )
        _, first = world.gateways[0]
        while first._peers.living_hosts():
            await trio.sleep(0.01)
        context.grace = world.gateways[0][0].stop_grace_seconds
        context.reply = await world.call("stream", size="100,8000", request="abc")

    context.ingress.run(script)


@then("it is refused with the time after which a gateway serves again")
def check_retry_after(context):
    assert context.reply.status == 503, vars(context.reply)
    retry_after = float(context.reply.headers["retry-after"])
    expected = context.grace - STOPPING_SECONDS + RESTART_SECONDS
    assert expected - 1.0 < retry_after <= expected, retry_after
    assert not context.ingress.runs("model")
