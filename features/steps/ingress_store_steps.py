"""Steps for gateways that follow the platform's store, and for leaving."""

from __future__ import annotations

from itertools import pairwise
from unittest.mock import patch

import trio
from behave import given, then, when
from ingress_call_steps import given_healthy
from ingress_stream_steps import check_stream
from support.ingress_world import (
    configuration,
)
from support.stream_reading import (
    IN_FORCE_SECONDS,
    SMALL_SIZE,
    StreamReading,
    wait_for_peers,
    wait_served,
    with_route,
)

from piershore.core.attempts.leaving import ROUTING_LAG_SECONDS
from piershore.core.fleet import report_timing
from piershore.core.fleet.endpoint import Address
from piershore.http1.client_connection import ClientConnection
from piershore.http1.exceptions import ExchangeBrokenError
from piershore.ingress.followers.endpoint_follower import BATCH_SECONDS
from piershore.platform.object_client import ObjectClient
from standins.published_store import PublishedStore, StoreFault


@when("a route is added while watches deliver nothing and the history is dropped")
def add_in_gap(context):
    async def script(world):
        world.store.is_deaf = True
        world.store.put("config", "main", with_route(8, "added"))
        # Some watches time out before the others are cut.
        await trio.sleep(4.3)
        world.store.forget_history()
        world.store.cut_watches()
        world.store.is_deaf = False
        await wait_served(world, "added")
        context.reply = await world.call("added")

    context.ingress.run(script)


@then("the route is served")
@then("the route is served by the second")
def check_served(context):
    assert context.reply.status == 200, vars(context.reply)


@when("{count:d} endpoints change {apart:d} ms apart")
def change_endpoints(context, count, apart):
    async def script(world):
        _, daemon = world.gateways[0]
        changed = world.endpoints[:count]
        context.changed_at = []
        for endpoint in changed:
            world.list_endpoint(endpoint, "draining")
            context.changed_at.append(trio.current_time())
            await trio.sleep(apart / 1_000)
        directory = daemon._state.directory
        with trio.fail_after(5):
            while not all(directory.is_leaving(e.identity) for e in changed):
                await trio.sleep(0.005)
        await trio.sleep(0.1)
        context.calls = [
            at for kind, at in world.store.watch_times if kind == "servers"
        ]

    context.ingress.run(script)


@then(
    "the gateway knows all changes, and no call came sooner than 30 ms after a change"
)
def check_calls_together(context):
    first = context.changed_at[0]
    later = [at for at in context.calls if at > first]
    assert later[0] - first >= BATCH_SECONDS, later
    gaps = [after - before for before, after in pairwise(later)]
    assert all(gap >= BATCH_SECONDS for gap in gaps), gaps


@when("{count:d} endpoints register {apart:d} ms apart as soon as it runs")
def register_endpoints(context, count, apart):
    async def script(world):
        _, daemon = world.gateways[0]
        identities = [f"new-{number}" for number in range(count)]
        for identity in identities:
            entry = world.endpoints[0].entry("ready")
            world.store.put("servers", identity, entry)
            await trio.sleep(apart / 1_000)
        directory = daemon._state.directory
        with trio.move_on_after(5):
            while not all(map(directory.get, identities)):
                await trio.sleep(0.005)
        context.known = set(filter(directory.get, identities))
        context.registered = set(identities)
        context.watched_kinds = [kind for kind, _ in world.store.watch_times]

    context.ingress.run(script)


@then("it knows each registered endpoint")
def check_all_known(context):
    assert context.known == context.registered


@then("it requested changes of endpoints at most {maximum:d} times")
def check_change_requests(context, maximum):
    assert context.watched_kinds.count("servers") <= maximum, context.watched_kinds


async def cut_second_from_store(world, fault):
    """Connect the second gateway to another store, which has the given fault."""
    _, second = world.gateways[1]
    cut = PublishedStore()
    cut.fault = fault
    await world.nursery.start(cut.serve)
    for follower in (second._configuration, second._endpoints):
        follower._feed._client._address = Address("127.0.0.1", cut.port)
        follower.restart()


@when("reports are sent every 10 s and the second learns of an added route from peers")
def add_in_large_fleet(context):
    async def script(world):
        await wait_for_peers(world)
        await cut_second_from_store(world, StoreFault.BUSY)
        with (
            patch.object(report_timing, "REPORTS_A_SECOND", 0.1),
            patch.object(report_timing, "EXPECTED_FORWARDERS", 0),
        ):
            # The current wait for the next report still uses the usual interval.
            await trio.sleep(0.5)
            world.store.put("config", "main", with_route(8, "added"))
            with trio.move_on_after(IN_FORCE_SECONDS):
                while (await world.call("added", number=1)).status == 404:
                    await trio.sleep(0.02)
            context.reply = await world.call("added", number=1)

    context.ingress.run(script)


@then("the route is served by the second within 4 s")
def check_served_soon(context):
    assert context.reply.status == 200, vars(context.reply)


@when("the store is {fault} for the second and a route is added")
def cut_second(context, fault):
    async def script(world):
        await wait_for_peers(world)
        await cut_second_from_store(world, StoreFault(fault))
        world.store.put("config", "main", with_route(8, "added"))
        await wait_served(world, "added", 1)
        context.reply = await world.call("added", number=1)

    context.ingress.run(script)


@when("the store returns to an older configuration")
def restore_older_configuration(context):
    async def script(world):
        world.store.put("config", "main", with_route(8, "added"))
        await wait_served(world, "added")
        world.store.put("config", "main", configuration(6))
        await trio.sleep(0.3)
        context.reply = await world.call("added")

    context.ingress.run(script)


@then("the newer one stays in force")
def check_newer(context):
    assert context.reply.status == 200


@when("a call's answer is cut off and the call is cancelled at once")
def cut_off_and_cancel(context):
    given_healthy(context)
    context.ingress._start_gateways = 0

    async def script(world):
        client = ObjectClient(Address("127.0.0.1", world.store.port))
        await client.list("config")
        with trio.CancelScope() as scope:

            async def break_off(connection):
                scope.cancel()
                raise ExchangeBrokenError("the answer was cut off")

            with patch.object(ClientConnection, "read_head", break_off):
                await client.list("config")
        context.listed = await client.list("config")
        await client.close()

    context.ingress.run(script)


@then("the next call is answered over a new connection")
def check_next_call(context):
    assert [item.name for item in context.listed.objects] == ["main"]


@when("the store goes down and a third gateway starts")
def start_third(context):
    async def script(world):
        await wait_for_peers(world)
        world.store.fault = StoreFault.RESET
        await world.start_gateway(2)
        context.reply = await world.call("once", number=2)

    context.ingress.run(script)


@then("the third gateway serves what its peers know")
def check_third(context):
    assert context.reply.status == 200


@given("a gateway that starts while the store is down")
def given_outage(context):
    given_healthy(context)
    context.ingress._start_gateways = 0

    async def script(world):
        world.store.fault = StoreFault.BUSY
        await world.start_gateway(0, wait=False)
        context.was_ready = await world.is_ready()
        context.reply = await world.call("once")
        world.store.fault = StoreFault.NONE
        await world.wait_until(world.is_ready)
        context.later = await world.call("once")

    context.ingress.run(script)


@then("it is not ready and answers 503 with a Retry-After header")
def check_not_ready(context):
    assert not context.was_ready
    assert context.reply.status == 503
    assert float(context.reply.headers["retry-after"]) > 0


@then("it serves once the store has recovered")
def check_recovered(context):
    assert context.later.status == 200


@when("all entries expire in an outage and one does not return after it")
def expire_entries(context):
    async def script(world):
        world.store.fault = StoreFault.RESET
        world.store.cut_watches()
        await trio.sleep(0.3)
        for endpoint in world.endpoints:
            world.store.remove("servers", endpoint.identity)
        context.during = [(await world.call("once")).status for _ in range(5)]
        world.store.fault = StoreFault.NONE
        await trio.sleep(1.0)
        context.during += [(await world.call("once")).status for _ in range(5)]
        for endpoint in world.endpoints[1:]:
            world.list_endpoint(endpoint)
        await trio.sleep(2.8)
        before = world.endpoints[0].runs.total()
        context.after = [(await world.call("once")).status for _ in range(20)]
        context.missing_ran = world.endpoints[0].runs.total() - before

    context.ingress.run(script)


@then("no request is refused during that time")
def check_no_refusal(context):
    assert set(context.during) == {200}, context.during


@then("3 seconds later the missing endpoint gets no request")
def check_missing(context):
    assert set(context.after) == {200}
    assert context.missing_ran == 0


@when("the first desk endpoint {leaves}")
def leave_endpoint(context, leaves):
    async def script(world):
        first = world.endpoints[0]
        if leaves == "is removed from the list":
            world.store.remove("servers", first.identity)
        else:
            world.list_endpoint(first, "draining")
        if leaves.endswith("then that it is ready"):
            await trio.sleep(0.1)
            world.list_endpoint(first, "ready")
        await trio.sleep(0.2)
        first.runs.clear()
        for _ in range(20):
            await world.call("once")
        context.later_runs = first.runs.total()

    context.ingress.run(script)


@then("it gets none of 20 later requests")
def check_no_new(context):
    assert context.later_runs == 0


@when("the gateway is told to stop while a stream runs")
def stop_gateway(context):
    async def script(world):
        _, daemon = world.gateways[0]
        context.reading = StreamReading(world, 100, SMALL_SIZE)
        context.count = 100
        async with trio.open_nursery() as nursery:
            nursery.start_soon(context.reading.read)
            await context.reading.wait_for_events(5)
            context.idle = await ClientConnection.open(
                world.address().host, world.address().port, 1.0
            )
            nursery.start_soon(daemon.leave)
            await trio.sleep(0.05)
            context.was_ready = await world.is_ready()
            context.reply = await world.call("once")
            await trio.sleep(ROUTING_LAG_SECONDS)
            context.refused = await world.call("stream", size="100,2000")
            context.short = await world.call("stream", size="100,20")
            context.idle_was_closed = not context.idle.is_clean()
            await context.idle.close()

    context.ingress.run(script)


@then("a stream that may not end in time is refused unrun, for an immediate retry")
def check_refused_leaving(context):
    assert context.idle_was_closed
    assert context.refused.status == 503
    assert 0 < float(context.refused.headers["retry-after"]) < 0.1
    assert context.short.events == [1, 2, 3, 4, 5]
    assert context.ingress.runs("model") == 2


@then("it immediately reports that it is not ready")
def check_not_ready_at_once(context):
    assert not context.was_ready


@then("the stream is completed, and so is a request sent after the stop")
def check_completed(context):
    # The other run is that of a short stream sent after the stop.
    check_stream(context, 2)
    assert context.reply.status == 200
    assert context.reply.headers["connection"] == "close"
