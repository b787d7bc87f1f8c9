"""Steps for a store that is restored from an older copy."""

from __future__ import annotations

import tempfile
from dataclasses import replace
from functools import partial
from pathlib import Path

import orjson
import trio
from behave import given, then, when
from hypothesis import strategies as st
from support.core_checks import checked, fleet_of
from support.gateway_states import state_of
from support.ingress_world import configuration, IngressWorld, route
from support.store_returns import (
    endpoints_in_use,
    identities,
    POLL_SECONDS,
    remove_entry,
    restore_copy_from_before,
    restore_copy_without,
    SETTLE_SECONDS,
    wait_for_endpoints,
    write_unrelated_entries,
)
from support.stream_reading import wait_for_peers

from piershore.core.fleet.endpoint_directory import EndpointDirectory
from piershore.core.fleet.store_era import StoreEra
from piershore.core.fleet.store_revision import MAX_ERA, StoreRevision
from standins.published_endpoint import PublishedEndpoint

SHORT_SECONDS = 1.0
CALLS_PER_GATEWAY = 12
DRAIN_KEPT_SECONDS = 3.0
"""How long a lost drain is kept."""
ENTRY_EXPIRY_SECONDS = 3.6
"""Three heartbeats, after which the store drops an entry that isn't written."""


@given("2 gateways in front of 3 desk endpoints, {watching}")
def given_watching(context, watching):
    world = context.ingress = IngressWorld()
    world.add_endpoints("desk", 3)
    world._start_gateways = 2
    context.one_watches = watching == "one watching the store"


def run_script(context, script):
    async def run_with_watchers(world):
        await wait_for_peers(world)
        if context.one_watches:
            daemon = world.gateways[1][1]
            daemon._peers.should_watch = lambda: False
            for follower in (daemon._endpoints, daemon._configuration):
                follower.set_watch_condition(daemon._peers.should_watch)
        await script(world)

    context.ingress.run(run_with_watchers)


@when("the store is restored from a copy 30 changes older, without an endpoint")
def prepare_restore(context):
    context.steps = [lambda world: restore_copy_without(world, world.endpoints[2])]


@when("an endpoint is added and another one removed {when} it")
def change_endpoints(context, when):
    async def script(world):
        other = PublishedEndpoint("i-new", "desk", world.memory)
        await world.nursery.start(other.serve)
        await context.steps[0](world)
        if when == "after":
            await wait_era(world, 1, gateways=(0,))
        remove_entry(world, world.endpoints[0])
        world.list_endpoint(other)
        world.list_endpoint(world.endpoints[2])
        context.wanted = {"i-1", "i-2", "i-new"}
        context.known = await wait_for_endpoints(world, context.wanted)

    run_script(context, script)


@then("within {seconds:g} s both gateways use the listed endpoints and no other")
def check_known(context, seconds):
    assert context.known == [context.wanted] * 2, context.known


@then(
    "both gateways use the endpoint for {first:g} s more, and after {last:g} s neither does"
)
def check_kept(context, first, last):
    async def script(world):
        await context.steps[0](world)
        everyone = identities(world)
        left_early = []
        with trio.move_on_after(first):
            while True:
                left_early += [
                    n for n in (0, 1) if endpoints_in_use(world, n) != everyone
                ]
                await trio.sleep(POLL_SECONDS)
        assert not left_early
        remaining = everyone - {world.endpoints[2].identity}
        context.known = await wait_for_endpoints(world, remaining, last - first)
        assert context.known == [remaining] * 2, context.known

    run_script(context, script)


@when(
    "the store is restored without an endpoint, which writes its entry after {seconds:g} s"
)
def restore_and_list(context, seconds):
    async def script(world):
        everyone = identities(world)
        await restore_copy_without(world, world.endpoints[2])
        context.unknown = []

        async def record_unknown():
            while True:
                context.unknown += [
                    n for n in (0, 1) if endpoints_in_use(world, n) != everyone
                ]
                await trio.sleep(POLL_SECONDS)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(record_unknown)
            await trio.sleep(seconds)
            world.list_endpoint(world.endpoints[2])
            await trio.sleep(SETTLE_SECONDS - seconds)
            nursery.cancel_scope.cancel()

    run_script(context, script)


@then("neither gateway ever drops it")
def check_never_dropped(context):
    assert not context.unknown


async def send_all(world):
    for number in (0, 1):
        for _ in range(CALLS_PER_GATEWAY):
            await world.call("once", number=number)


@when("the store is restored from a copy in which an endpoint hadn't left yet")
def restore_before_leaving(context):
    async def script(world):
        leaving, *staying = world.endpoints
        leave = partial(world.list_endpoint, leaving, "draining")
        await restore_copy_from_before(world, leave, staying)
        await wait_era(world, 1)
        leaving.arrivals.clear()
        await send_all(world)
        context.endpoint = leaving

    run_script(context, script)


async def wait_era(world, era, gateways=(0, 1)):
    """Wait until gateways have read the list of endpoints in an era of the store."""
    with trio.fail_after(SETTLE_SECONDS):
        for number in gateways:
            while StoreRevision(state_of(world, number).directory.revision).era != era:
                await trio.sleep(POLL_SECONDS)


@then("neither gateway sends it requests")
def check_unsent(context):
    assert context.endpoint.arrivals == []


@when("the store is restored from a copy that still lists a removed endpoint")
def restore_with_removed(context):
    async def script(world):
        removed, *staying = world.endpoints
        await restore_copy_from_before(
            world, partial(remove_entry, world, removed), staying
        )
        await wait_era(world, 1)
        removed.arrivals.clear()
        with trio.move_on_after(ENTRY_EXPIRY_SECONDS):
            while True:
                await send_all(world)
        context.endpoint, context.sent = removed, len(removed.arrivals)
        removed.data_hall = "lekki"
        world.list_endpoint(removed)
        context.known = await wait_for_endpoints(world, identities(world))

    run_script(context, script)


@then("neither gateway sends it requests until its entry has expired")
def check_unsent_until_expiry(context):
    assert context.sent == 0, context.sent


@then("it is used again once it writes its entry")
def check_used_again(context):
    assert context.known == [identities(context.ingress)] * 2, context.known


def with_routes(version, *names):
    base = configuration(version)
    base["routes"].extend(route(name, "desk", "unsafe") for name in names)
    return base


@when("the store is restored from a copy with the previous configuration")
def restore_with_configuration(context):
    async def script(world):
        world.store.put("config", "main", with_routes(5, "old"))
        await wait_versions(world, 5)
        copy = world.store.copy()
        write_unrelated_entries(world, 30)
        world.store.put("config", "main", with_routes(6, "new"))
        await wait_versions(world, 6)
        world.store.come_back(copy)
        await wait_era(world, 1)
        context.statuses = []
        with trio.move_on_after(SHORT_SECONDS):
            while True:
                for number in (0, 1):
                    new = await world.call("new", number=number)
                    old = await world.call("old", number=number)
                    context.statuses.append((new.status, old.status))
        world.store.put("config", "main", with_routes(6, "new"))
        await trio.sleep(SHORT_SECONDS / 2)
        world.store.put("config", "main", with_routes(7, "new", "newer"))
        context.versions = await wait_versions(world, 7)

    run_script(context, script)


async def wait_versions(world, version):
    with trio.move_on_after(SETTLE_SECONDS):
        while any(state_of(world, n).configuration.version != version for n in (0, 1)):
            await trio.sleep(POLL_SECONDS)
    return [state_of(world, n).configuration.version for n in (0, 1)]


@then(
    "each gateway serves the route of the last configuration, and not the previous one"
)
def check_routes(context):
    assert set(context.statuses) == {(200, 404)}, set(context.statuses)


@then("a newer configuration is in force at both within {seconds:g} s")
def check_newer(context, seconds):
    assert context.versions == [7, 7], context.versions


@when("the store is restored from a copy without a drain, which is written again")
def restore_without_drain(context):
    async def script(world):
        drained = world.endpoints[0]
        drained.data_hall = "lekki"
        world.list_endpoint(drained)
        copy = world.store.copy()
        write_unrelated_entries(world, 30)
        world.store.put("evacuations", "lekki", {})
        remaining = identities(world) - {drained.identity}
        assert await wait_for_endpoints(world, remaining) == [remaining] * 2
        drained.arrivals.clear()
        world.store.come_back(copy)
        await trio.sleep(SHORT_SECONDS)
        await send_all(world)
        world.store.put("evacuations", "lekki", {})
        with trio.move_on_after(DRAIN_KEPT_SECONDS + SHORT_SECONDS):
            while True:
                await send_all(world)
        context.arrivals = len(drained.arrivals)
        copy = world.store.copy()
        world.store.remove("evacuations", "lekki")
        everyone = identities(world)
        assert await wait_for_endpoints(world, everyone) == [everyone] * 2
        world.store.come_back(copy)
        assert await wait_for_endpoints(world, remaining) == [remaining] * 2
        empty = world.store.copy()
        empty.objects["evacuations"].clear()
        world.store.come_back(empty)
        started = trio.current_time()
        context.known = await wait_for_endpoints(world, everyone, SETTLE_SECONDS)
        context.kept = trio.current_time() - started
        context.everyone = everyone

    run_script(context, script)


@when("the store is restored without a drain, and watches of drains stay open")
def restore_with_open_watch(context):
    async def script(world):
        drained = world.endpoints[0]
        drained.data_hall = "lekki"
        world.list_endpoint(drained)
        world.store.put("evacuations", "lekki", {})
        remaining = identities(world) - {drained.identity}
        assert await wait_for_endpoints(world, remaining) == [remaining] * 2
        await trio.sleep(SHORT_SECONDS)
        copy = world.store.copy()
        copy.objects["evacuations"].clear()
        world.store.come_back(copy, uncut_kind="evacuations")
        context.everyone = identities(world)
        context.known = await wait_for_endpoints(world, context.everyone)

    run_script(context, script)


@then("the drain has ended within {seconds:g} s")
def check_drain_ended(context, seconds):
    assert seconds == SETTLE_SECONDS
    assert context.known == [context.everyone] * 2, context.known


@then("no request was sent to the drained data hall")
def check_drained(context):
    assert context.arrivals == 0, context.arrivals


@then("a drain that isn't written again ends after {seconds:g} s")
def check_drain_end(context, seconds):
    assert context.known == [context.everyone] * 2, context.known
    assert context.kept >= seconds, context.kept


def capture_log(context):
    context.ingress.log_output, context.log = tempfile.mkstemp()


def findings(context):
    lines = Path(context.log).read_bytes().splitlines()
    events = [orjson.loads(line) for line in lines]
    return [e for e in events if e.get("kind") == "store era"]


@when('the store\'s answers have the era "{era}" after era {first:d}')
@when('the store\'s answers have the era "" after era {first:d}')
def answer_with_era(context, first, era=""):
    capture_log(context)

    async def script(world):
        world.store.era = first
        world.list_endpoint(world.endpoints[0], "ready")
        world.gateways[0][1]._endpoints.restart()
        await wait_era(world, first, gateways=(0,))
        if era:
            world.store.era_text = era
        else:
            world.store.era = None
        endpoint = PublishedEndpoint("i-new", "desk", world.memory)
        await world.nursery.start(endpoint.serve)
        world.list_endpoint(endpoint)
        with trio.move_on_after(SETTLE_SECONDS):
            while "i-new" not in endpoints_in_use(world, 0):
                await trio.sleep(POLL_SECONDS)
        context.known = endpoints_in_use(world, 0)
        for _ in range(3):
            world.gateways[0][1]._endpoints.restart()
            await trio.sleep(0.1)
        world.gateways[0][1]._log.flush()

    context.ingress.run(script)


@when("the store's answers have an era of {digits:d} digits after era {first:d}")
def answer_with_long_era(context, digits, first):
    answer_with_era(context, first, "9" * digits)


@then("the gateway continues, and logs the fault once")
def check_continues(context):
    assert context.known == {"i-0", "i-1", "i-2", "i-new"}, context.known
    reasons = [e["reason"] for e in findings(context)]
    assert reasons, "no fault was logged"
    assert len(reasons) == len(set(reasons)) or len(reasons) <= 3, reasons


@when("the store answers from era {earlier:d} after era {first:d}")
def answer_from_earlier_era(context, earlier, first):
    async def script(world):
        world.store.era = first
        world.gateways[0][1]._endpoints.restart()
        await wait_era(world, first, gateways=(0,))
        copy = world.store.copy()
        remove_entry(world, world.endpoints[0])
        remaining = identities(world) - {"i-0"}
        desk = {"i-1", "i-2"}
        assert remaining
        with trio.fail_after(SETTLE_SECONDS):
            while endpoints_in_use(world, 0) != desk:
                await trio.sleep(POLL_SECONDS)
        world.store.come_back(replace(copy, revision=copy.revision + 100))
        world.store.era = earlier
        await trio.sleep(SHORT_SECONDS)
        context.during = endpoints_in_use(world, 0)
        world.store.era = first + 1
        world.list_endpoint(world.endpoints[0])
        with trio.move_on_after(2 * SETTLE_SECONDS):
            while endpoints_in_use(world, 0) != {"i-0", *desk}:
                await trio.sleep(POLL_SECONDS)
        context.later = endpoints_in_use(world, 0)

    context.ingress.run(script)


@then("the gateway keeps its state, and applies the store's current state later")
def check_earlier(context):
    assert context.during == {"i-1", "i-2"}, context.during
    assert context.later == {"i-0", "i-1", "i-2"}, context.later


@then("revisions are ordered by their eras, and then by their numbers")
def check_order(context):
    numbers = st.tuples(st.integers(0, MAX_ERA), st.integers(0, 2**40 - 1))

    @checked(numbers, numbers)
    def check(one, other):
        first, second = StoreRevision.of(*one), StoreRevision.of(*other)
        assert (first.era, first.number) == one
        assert (first < second) == (one < other)
        assert StoreRevision(orjson.loads(orjson.dumps(first))) == first


@then("after any sequence of changes and restores a directory has the store's list")
def check_sequences(context):
    fleet = list(fleet_of(4))
    steps = st.lists(st.sampled_from(["add", "drop", "copy", "return", "read"]))

    @checked(steps, st.randoms(use_true_random=False))
    def check(steps, random):
        directory, now = EndpointDirectory(), 0.0
        listed, era, number = set(), 0, 1
        copy = (frozenset(), 1)
        for step in [*steps, "read"]:
            now += 10.0
            directory.drop_expired(now)
            number += 1
            if step == "add":
                listed.add(random.randrange(4))
            elif step == "drop" and listed:
                listed.discard(random.choice(sorted(listed)))
            elif step == "copy":
                copy = (frozenset(listed), number)
            elif step == "return":
                listed, number, era = set(copy[0]), copy[1], era + 1
            else:
                directory.replace_all(
                    [fleet[n] for n in listed],
                    StoreRevision.of(era, number),
                    now,
                    after_outage=False,
                )
        for seconds in (0.0, 6.0):
            directory.drop_expired(now + seconds)
        assert {e.name for e in directory.of_service("model")} == {
            fleet[n].name for n in listed
        }


@then("answers of the true era are ignored for {seconds:g} s, and then accepted")
def check_ignored_eras(context, seconds):
    era = StoreEra()
    assert era.observe("3", 0.0)
    assert era.observe("4000", 1.0)
    assert not era.observe("3", 2.0)
    assert not era.observe("3", 2.0 + seconds)
    assert era.observe("3", 2.1 + seconds)
    assert era.value == 4000
    assert "era 3" in era.take_finding()
    assert era.take_finding() == ""
    assert era.observe("4001", 20.0)
    assert not era.observe("4000", 21.0)
