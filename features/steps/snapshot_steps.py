"""Steps for snapshots of the configuration that take seconds on a slow link."""

from __future__ import annotations

import trio
from behave import given, then, when

from devtools.link_relay import LinkRelay
from devtools.ports import free_port
from piershore.core.configuration.codec import encode
from piershore.core.configuration.config_view import ConfigView
from piershore.core.configuration.objects import ClientAccount, ObjectKind
from piershore.core.configuration.stored_object import ObjectName, StoredObject
from piershore.core.ports import Box, BoxRole, BoxState
from piershore.gateway.box_directory import BoxDirectory
from piershore.gateway.config_distributor import ConfigDistributor
from piershore.gateway.config_source import ConfigSource
from piershore.wire.peer_server import PeerServer

HALL = "ikeja"
RELAYS = ("relay-1", "relay-2")
FOLLOWER = "follower"
DELETED = "deleted"
KILOBYTE = 1_000


class NoLinks:
    """A gateway without agents."""

    all = ()

    def set_leaving_boxes(self, leaving):
        """Ignore the leaving boxes."""


def account(name, version):
    spec = ClientAccount(
        template="shop",
        key_hashes=(f"{version:064x}", f"{version + 10**9:064x}"),
        services=("design-review", "order-desk"),
    )
    return StoredObject(ObjectName(ObjectKind.ACCOUNT, name), version, encode(spec))


def directory_with(address):
    """Return a directory in which the follower isn't a relay of its data hall."""
    directory = BoxDirectory()
    names = [name for name in ("a", "b", "c") if name != FOLLOWER]
    directory.update(
        Box(name, BoxRole.GATEWAY, HALL, address, BoxState.LIVE) for name in names
    )
    return directory


@given("a relay that knows {count:d} accounts, over a link of {rate:d} KB a second")
def given_relay(context, count, rate):
    context.view = ConfigView()
    for number in range(1, count + 1):
        context.view.apply(account(f"account-{number}", number))
    context.view.mark_complete(count + 2)
    context.address = f"127.0.0.1:{free_port()}"
    context.relay = LinkRelay(context.address, rate * KILOBYTE)
    context.add_cleanup(context.relay.close)


@when("a gateway follows it for at most {seconds:d} s")
def follow(context, seconds):
    directory = directory_with(context.relay.address)
    spread = ConfigDistributor(RELAYS[0], HALL, context.view, directory, NoLinks())
    context.known = ConfigView()
    context.known.apply(account(DELETED, 1))
    source = ConfigSource(FOLLOWER, HALL, None, context.known, directory, 1.0)

    async def follow_again():
        while True:
            await source._follow(context.relay.address)

    async def script():
        server = PeerServer(context.address, spread)
        server.start()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(spread.run)
            nursery.start_soon(follow_again)
            with trio.move_on_after(seconds):
                while context.known.complete_to < context.view.complete_to:
                    await trio.sleep(0.05)
            nursery.cancel_scope.cancel()
        await trio.to_thread.run_sync(server.close)

    trio.run(script)


@then("the gateway knows all of them")
def check_all(context):
    assert context.known.complete_to == context.view.complete_to
    known = {s.name for s in context.known.snapshot().objects}
    assert known == {s.name for s in context.view.snapshot().objects}


@then("an account that was deleted before is not there")
def check_deleted(context):
    assert context.known.get(ObjectKind.ACCOUNT, DELETED) is None
