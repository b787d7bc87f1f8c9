"""Steps for lists that the store hands out in several pages."""

from __future__ import annotations

import trio
from behave import given, then, when
from ingress_call_steps import given_healthy
from support.stream_reading import with_route

from piershore.platform.http_platform_store import (
    CONFIGURATION_KIND,
    HttpPlatformStore,
)
from standins.published_store import PAGE, PublishedStore

LISTED_KINDS = ("servers", "config", "evacuations")
BOUND_SECONDS = 2.0
OBJECT = {"value": "e30=", "write_ids": ["w-1"]}
NEWER_OBJECT = {"value": "e30=", "write_ids": ["w-2"]}
NEWEST_OBJECT = {"value": "e30=", "write_ids": ["w-3"]}


@given("a gateway before healthy endpoints, and lists of 2 pages")
def given_pages(context):
    given_healthy(context)
    store = context.ingress.store
    for kind in LISTED_KINDS:
        for number in range(PAGE + 5):
            store.put(kind, f"z-{number:02}", {})
    store.put("evacuations", "apapa", {})


def let_endpoint_leave(world):
    world.list_endpoint(world.endpoints[0], "draining")


def remove_endpoint(world):
    world.store.remove("servers", world.endpoints[0].identity)


def add_route(world):
    world.store.put("config", "main", with_route(8, "added"))


def drain_hall(world):
    world.store.put("evacuations", "lekki", {})


def lift_drain(world):
    world.store.remove("evacuations", "apapa")


def gets_no_work(world, daemon):
    return daemon._state.directory.is_leaving(world.endpoints[0].identity)


def knows_route(world, daemon):
    return daemon._state.configuration.version == 8


def knows_drain(world, daemon):
    return "lekki" in daemon._drains.view.data_halls


def knows_lifted_drain(world, daemon):
    return "apapa" not in daemon._drains.view.data_halls


CHANGES = {
    "an endpoint leaves": ("servers", let_endpoint_leave, gets_no_work),
    "an endpoint is removed": ("servers", remove_endpoint, gets_no_work),
    "a route is added": ("config", add_route, knows_route),
    "a hall is drained": ("evacuations", drain_hall, knows_drain),
    "a drain is lifted": ("evacuations", lift_drain, knows_lifted_drain),
}


def change_once(store, kind, change):
    """Let a change happen after the first page of a kind that is read from now on."""

    def after_page(listed_kind):
        if listed_kind == kind:
            store.after_page = lambda kind: None
            change()

    store.after_page = after_page


@when("{change} between the pages that it reads {when}")
def change_between_pages(context, change, when):
    world = context.ingress
    kind, make_change, is_known = CHANGES[change]
    is_at_start = when == "at its start"
    world._start_gateways = 0 if is_at_start else 1

    async def script(world):
        def arm():
            change_once(world.store, kind, lambda: make_change(world))

        if is_at_start:
            arm()
            await world.start_gateway(0)
        elif "era" in when:
            arm()
            world.store.come_back(world.store.copy())
        else:
            world.store.forget_history()
            arm()
            world.gateways[0][1]._endpoints.restart()
        _, daemon = world.gateways[0]
        context.is_known = False
        with trio.move_on_after(BOUND_SECONDS):
            while not is_known(world, daemon):
                await trio.sleep(0.02)
            context.is_known = True

    world.run(script)


@then("it acts on the change within 2 s")
def check_known(context):
    assert context.is_known


def write(name):
    return lambda store: store.put(CONFIGURATION_KIND, name, NEWER_OBJECT)


def remove(name):
    return lambda store: store.remove(CONFIGURATION_KIND, name)


def write_twice(store):
    store.put(CONFIGURATION_KIND, LAST, NEWER_OBJECT)
    store.put(CONFIGURATION_KIND, LAST, NEWEST_OBJECT)


def make_again(store):
    store.remove(CONFIGURATION_KIND, FIRST)
    store.put(CONFIGURATION_KIND, FIRST, NEWEST_OBJECT)


FIRST, LAST = "ClientAccount:a-00", f"ClientAccount:a-{PAGE + 4:02}"
OWN_CHANGES = {
    "an object of the first page is written": write(FIRST),
    "an object of the first page is removed": remove(FIRST),
    "an object of the second page is written": write(LAST),
    "an object of the second page is removed": remove(LAST),
    "an object is written twice": write_twice,
    "an object is removed and made again": make_again,
    "an object before all others is made": write("ClientAccount:Z"),
}


async def list_between_changes(change):
    """Return what a list of two pages holds, what the store does, and the calls."""
    store = PublishedStore()
    for number in range(PAGE + 5):
        store.put(CONFIGURATION_KIND, f"ClientAccount:a-{number:02}", OBJECT)
    async with trio.open_nursery() as nursery:
        await nursery.start(store.serve)
        platform = HttpPlatformStore(f"http://127.0.0.1:{store.port}")
        change_once(store, CONFIGURATION_KIND, lambda: change(store))
        listed = await platform.list()
        calls = store.calls
        stored = await platform.list()
        await platform.close()
        nursery.cancel_scope.cancel()
    return listed, stored, calls


def by_name(snapshot):
    return {item.name: (item.version, item.write_ids) for item in snapshot.objects}


@then("its list holds the newest state if {change} between two pages")
def check_own_list(context, change):
    listed, stored, _ = trio.run(list_between_changes, OWN_CHANGES[change])
    assert by_name(listed) == by_name(stored)


@then("a list of two pages takes two calls")
def check_calls(context):
    _, _, calls = trio.run(list_between_changes, lambda store: None)
    assert calls == 2, calls
