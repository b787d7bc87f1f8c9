"""Restores of the store from older copies, and the endpoints that gateways use then."""

from __future__ import annotations

import trio

from support.gateway_states import state_of

SETTLE_SECONDS = 5.0
POLL_SECONDS = 0.02


def write_unrelated_entries(world, times):
    """Write unrelated entries, whose revisions a restored store assigns again."""
    for number in range(times):
        world.store.put("other", f"o-{number}", {})


def endpoints_in_use(world, number):
    directory = state_of(world, number).directory
    return {e.name for e in directory.of_service("desk")}


async def wait_for_endpoints(world, names, seconds=SETTLE_SECONDS):
    """Wait until both gateways use these endpoints; return those that they use."""
    with trio.move_on_after(seconds):
        while any(endpoints_in_use(world, number) != names for number in (0, 1)):
            await trio.sleep(POLL_SECONDS)
    return [endpoints_in_use(world, number) for number in (0, 1)]


def identities(world):
    return {endpoint.identity for endpoint in world.endpoints}


def remove_entry(world, endpoint):
    world.store.remove("servers", endpoint.identity)


async def restore_copy_without(world, endpoint, times=30):
    """Restore a copy that was made before an endpoint wrote its entry."""
    remove_entry(world, endpoint)
    copy = world.store.copy()
    write_unrelated_entries(world, times)
    world.list_endpoint(endpoint)
    await wait_for_latest_revision(world)
    world.store.come_back(copy)


async def restore_copy_from_before(world, change, staying):
    """Restore a copy made before a change that leaves these endpoints in use."""
    copy = world.store.copy()
    write_unrelated_entries(world, 30)
    change()
    remaining = {endpoint.identity for endpoint in staying}
    assert await wait_for_endpoints(world, remaining) == [remaining] * 2
    world.store.come_back(copy)


async def wait_for_latest_revision(world):
    """Wait until both gateways' lists have the store's latest revision."""
    present = world.store.copy().revision
    with trio.fail_after(SETTLE_SECONDS):
        for number in (0, 1):
            while state_of(world, number).directory.revision != present:
                await trio.sleep(POLL_SECONDS)
