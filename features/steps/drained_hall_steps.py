"""Steps for data halls that operators drain."""

from __future__ import annotations

from dataclasses import replace
from itertools import pairwise

import trio
from behave import given, then, when
from hypothesis import strategies as st
from ingress_store_steps import cut_second_from_store
from support.core_checks import checked
from support.ingress_world import IngressWorld
from support.peer_reports import peer_report
from support.stream_reading import SMALL_SIZE, StreamReading, wait_for_peers

from piershore.core.fleet.drained_halls import DrainedHalls
from piershore.core.fleet.peer_report import PeerReport
from piershore.ingress.followers.drain_follower import DrainFollower
from piershore.ingress.gateway_state import GatewayState
from standins.published_store import StoreFault

DRAIN_KIND = "evacuations"
PROPAGATION_SECONDS = 3.0
"""Timeout until all gateways know of a drain; the requirement is 5 s."""
LARGE_SIZE = "11000,{}"
"""Prompt tokens of a stream that gets a backup."""
LATER_REQUESTS = 20


@given("2 gateways before endpoints in ikeja and lekki")
def given_two_halls(context):
    world = context.ingress = IngressWorld()
    world.add_endpoints("desk", 4)
    world.add_endpoints("model", 4)
    for endpoint in world.endpoints[::2]:
        endpoint.data_hall = "lekki"
    world._start_gateways = 2


@given("model engines in three data halls")
def given_three_halls(context):
    world = context.ingress = IngressWorld()
    world.add_endpoints("model", 3)
    for endpoint, data_hall in zip(
        world.endpoints, ("ikeja", "lekki", "apapa"), strict=True
    ):
        endpoint.data_hall = data_hall


@given("model engines in ikeja and one in lekki")
def given_three_engines(context):
    world = context.ingress = IngressWorld()
    world.add_endpoints("model", 3)
    world.endpoints[2].data_hall = "lekki"


def drain(world, data_hall):
    world.store.put(DRAIN_KIND, data_hall, {})


async def wait_drained(world, *data_halls):
    """Wait until all gateways know exactly these data halls as drained."""
    wanted = frozenset(data_halls)
    with trio.move_on_after(PROPAGATION_SECONDS):
        for _, daemon in world.gateways.values():
            while daemon._drains.view is None or (
                daemon._drains.view.data_halls != wanted
            ):
                await trio.sleep(0.01)


async def send_all(world):
    """Send requests to each gateway; return replies and the data halls they reached."""
    for endpoint in world.endpoints:
        endpoint.arrivals.clear()
    replies = []
    for number in world.gateways:
        for _ in range(LATER_REQUESTS):
            replies.append(await world.call("once", number=number))
            replies.append(await world.call("stream", size="100,8", number=number))
    data_halls = {e.data_hall for e in world.endpoints if e.arrivals}
    return replies, data_halls


def play_requests(context, event):
    """Run `event`, then send requests to each gateway."""

    async def script(world):
        await event(world)
        context.replies, context.data_halls = await send_all(world)

    context.ingress.run(script)


async def drain_ikeja(world):
    """Drain ikeja, and wait until all gateways know of it."""
    drain(world, "ikeja")
    await wait_drained(world, "ikeja")


async def drain_and_undrain_ikeja(world):
    """Drain and undrain ikeja, and wait until all gateways know of it."""
    await drain_ikeja(world)
    world.store.remove(DRAIN_KIND, "ikeja")
    await wait_drained(world)


@when("ikeja is drained at any time")
def drain_any_time(context):
    play_requests(context, drain_ikeja)


@when("ikeja is drained before the gateways start")
def drain_before(context):
    drain(context.ingress, "ikeja")

    async def nothing(world):
        pass

    play_requests(context, nothing)


@when("ikeja is drained while the store is {fault} for the second")
def drain_during_fault(context, fault):
    async def event(world):
        await wait_for_peers(world)
        await cut_second_from_store(world, StoreFault(fault))
        await drain_ikeja(world)

    play_requests(context, event)


@when("ikeja is drained again after it was undrained")
def drain_again(context):
    async def event(world):
        await drain_and_undrain_ikeja(world)
        await drain_ikeja(world)

    play_requests(context, event)


@when("ikeja is drained while watches get nothing and history is dropped")
def drain_in_gap(context):
    async def event(world):
        world.store.is_deaf = True
        drain(world, "ikeja")
        await trio.sleep(0.3)
        world.store.forget_history()
        world.store.cut_watches()
        world.store.is_deaf = False
        await wait_drained(world, "ikeja")

    play_requests(context, event)


@when("ikeja is drained, the store fails and a third gateway starts")
def drain_then_start(context):
    async def event(world):
        await wait_for_peers(world)
        await drain_ikeja(world)
        world.store.fault = StoreFault.RESET
        world.store.cut_watches()
        await world.start_gateway(2)

    play_requests(context, event)


@then("no later request reaches ikeja, and none fails")
def check_drained(context):
    assert {reply.status for reply in context.replies} == {200}
    assert context.data_halls == {"lekki"}


@when("ikeja is drained and undrained")
def drain_and_undrain(context):
    play_requests(context, drain_and_undrain_ikeja)


@then("both gateways send requests to ikeja again")
def check_undrained(context):
    assert {reply.status for reply in context.replies} == {200}
    # Both gateways are in ikeja and prefer it. Half of the requests could come from
    # one gateway alone.
    arrivals = (e.arrivals for e in context.ingress.endpoints if e.data_hall == "ikeja")
    assert sum(map(len, arrivals)) > len(context.replies) / 2


@when("ikeja and lekki are drained")
def drain_both(context):
    async def script(world):
        drain(world, "ikeja")
        drain(world, "lekki")
        await wait_drained(world, "ikeja", "lekki")
        started = trio.current_time()
        context.replies, context.data_halls = await send_all(world)
        context.seconds = (trio.current_time() - started) / len(context.replies)

    context.ingress.run(script)


@then("requests are refused at once with a Retry-After header, and haven't run")
def check_refused(context):
    assert {reply.status for reply in context.replies} == {503}
    assert all(float(r.headers["retry-after"]) > 0 for r in context.replies)
    assert not context.data_halls
    assert context.seconds < 0.2, context.seconds


@when("a stream of {count:d} events runs in a data hall that is drained midway")
def drain_midway(context, count):
    async def script(world):
        context.count = count
        context.reading = StreamReading(world, count, SMALL_SIZE)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(context.reading.read)
            await context.reading.wait_for_events(10)
            context.source = context.reading.running_endpoint()
            drain(world, context.source.data_hall)
            await wait_drained(world, context.source.data_hall)

    context.ingress.run(script)


@then("it completes where it began, without copies or probes in a drained data hall")
def check_stayed(context):
    world = context.ingress
    assert context.reading.reply.events == list(range(1, context.count + 1))
    assert context.reading.reply.is_whole
    assert context.source.runs["abc"] == 1
    assert not world.memory.copies
    assert not any(endpoint.reports for endpoint in world.endpoints)


@when("the data hall of a stream's backup is drained, and its endpoint crashes")
def drain_backup(context):
    async def script(world):
        context.reading = StreamReading(world, 400, LARGE_SIZE)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(context.reading.read)
            await context.reading.wait_for_events(100)
            source = context.reading.running_endpoint()
            copy_addresses = set(world.memory.copies.values())
            backup = next(e for e in world.endpoints if e.address in copy_addresses)
            drain(world, backup.data_hall)
            await wait_drained(world, backup.data_hall)
            backup.arrivals.clear()
            source.crash()
        context.backup = backup

    context.ingress.run(script)


@then("the drained data hall gets none of its requests")
def check_backup_unused(context):
    assert not context.backup.arrivals
    assert not context.reading.reply.is_whole


class _NoFeed:
    """A feed of a store that is never used."""

    heard_at = 0.0

    def resume_from(self, drained):
        pass


VIEWS = st.lists(
    st.tuples(
        st.integers(1, 30), st.frozensets(st.sampled_from(["ikeja", "lekki", "apapa"]))
    )
)


@then("the view with the highest revision is valid, whatever its source")
def check_views(context):
    @checked(VIEWS)
    def check(drawn):
        changes = []
        follower = DrainFollower(
            GatewayState("ikeja", None, None, None, None),
            _NoFeed(),
            4.0,
            lambda view, before, source: changes.append(view.data_halls),
        )
        highest = None
        for revision, data_halls in drawn:
            view = DrainedHalls(revision, data_halls)
            report = PeerReport.decode(_report_with(view).encode())
            follower.apply_from_peer(report.drained, "peer")
            if highest is None or revision > highest.revision:
                highest = view
            assert follower.view == highest
        assert all(now != then for then, now in pairwise(changes))


def _report_with(view):
    return replace(peer_report("10.0.0.1", 1), drained=view)
