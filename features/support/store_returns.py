"""Restores of the store from older copies, and the endpoints that gateways use then."""

from __future__ import annotations

import trio

from support.gateway_states import state_of

SETTLE_SECONDS = 5.0
POLL_SECONDS = 0.02


def change_often(world, times):
    """Write unrelated entries, whose revisions a restored store assigns again."""
    for number in range(times):
        world.store.put("other", f"o-{number}", {})


def known_at(world, number):
    directory = state_of(world, number).directory
    return {e.name for e in directory.of_service("desk")}


async def wait_known(world, names, seconds=SETTLE_SECONDS):
    """Wait until both gateways use these endpoints; return those that they use."""
    with trio.move_on_after(seconds):
        while any(known_at(world, number) != names for number in (0, 1)):
            await trio.sleep(POLL_SECONDS)
    return [known_at(world, number) for number in (0, 1)]


def identities(world):
    return {endpoint.identity for endpoint in world.endpoints}


def unlist(world, endpoint):
    world.store.remove("servers", endpoint.identity)


async def come_back_without(world, endpoint, times=30):
    """Restore a copy that was made before an endpoint wrote its entry."""
    unlist(world, endpoint)
    copy = world.store.copy()
    change_often(world, times)
    world.list_endpoint(endpoint)
    await wait_present(world)
    world.store.come_back(copy)


async def come_back_from_before(world, change, staying):
    """Restore a copy made before a change that leaves these endpoints in use."""
    copy = world.store.copy()
    change_often(world, 30)
    change()
    rest = {endpoint.identity for endpoint in staying}
    assert await wait_known(world, rest) == [rest] * 2
    world.store.come_back(copy)


async def wait_present(world):
    """Wait until both gateways' lists have the store's latest revision."""
    present = world.store.copy().revision
    with trio.fail_after(SETTLE_SECONDS):
        for number in (0, 1):
            while state_of(world, number).directory.revision != present:
                await trio.sleep(POLL_SECONDS)
