"""Steps for random histories of edits and restores of the store, in virtual time."""

from __future__ import annotations

from collections import defaultdict
from itertools import count
from random import Random

import orjson
import trio
from behave import then
from support.restorable_store import RestorableStore, StoreClient
from trio.testing import MockClock

from piershore.core.configuration.codec import encode
from piershore.core.configuration.config_view import ConfigView
from piershore.core.configuration.objects import EndpointStatus, ObjectKind
from piershore.core.configuration.recent_changes import RecentChanges
from piershore.core.configuration.stored_object import ObjectName, StoredObject
from piershore.core.outcome import Outcome
from piershore.core.refusal_reason import RefusalReason
from piershore.errors import PiershoreError
from piershore.gateway.config_editor import ConfigEditor
from piershore.gateway.edit_restorer import EditRestorer
from piershore.gateway.exceptions import RequestRefusedError
from piershore.platform.settled_write import settled_put

NAMES = [ObjectName(ObjectKind.TEMPLATE, name) for name in "abcd"]
GATEWAYS = 3
STEPS = 60
DELIVERED_SHARE = 0.7
RECOVERY_SECONDS = 12.0
"""Time after the last fault. Lost edits are written again within some 2 s."""


class ConfigGateway:
    """The components of a gateway that keep, edit and restore the configuration."""

    def __init__(self, world, number):
        self.world = world
        self.store = StoreClient(world.store)
        recent = RecentChanges()
        self.view = ConfigView(recent)
        self.restorer = EditRestorer(
            f"g{number}", self.store, self.view, recent, self.offer
        )
        self.editor = ConfigEditor(
            self.store,
            self.view,
            self.accepted,
            lambda: self.restorer.seconds_until_settled,
        )

    def accepted(self, change):
        self.restorer.record_accepted(change)
        self.offer(change)

    def offer(self, change):
        """Send a change to the other gateways that are reachable; some are lost."""
        for other in self.world.gateways:
            is_cut = self.store.is_cut or other.store.is_cut
            is_lost = self.world.random.random() > DELIVERED_SHARE
            if other is not self and not is_cut and not is_lost:
                other.view.apply(change)

    async def follow(self):
        while True:
            try:
                self.view.apply_snapshot(await self.store.list())
                with trio.move_on_after(5.0):
                    async for item in self.store.watch(self.view.complete_to):
                        if isinstance(item, StoredObject):
                            self.view.apply(item)
                        else:
                            self.view.mark_complete(item)
            except PiershoreError:
                await trio.sleep(0.25)


class EditHistory:
    """Gateways that edit four objects while the store is restored repeatedly."""

    def __init__(self, seed):
        self.random = Random(seed)
        self.store = RestorableStore(seed)
        self.numbers = count(1)
        self.gateways = [ConfigGateway(self, number) for number in range(GATEWAYS)]
        self.accepted: dict[ObjectName, StoredObject] = {}
        self.uncertain = defaultdict(list)
        self.is_restoring = False
        self.lossy_restores = 0

    async def run(self):
        async with trio.open_nursery() as nursery:
            for gateway in self.gateways:
                nursery.start_soon(gateway.follow)
                nursery.start_soon(gateway.restorer.run)
            await trio.sleep(2.0)
            for _ in range(STEPS):
                await trio.sleep(self.random.expovariate(1 / 0.2))
                if self.random.random() < 0.08 and not self.is_restoring:
                    nursery.start_soon(self.restore_store)
                else:
                    nursery.start_soon(self.edit, self.random.choice(self.gateways))
            for gateway in self.gateways:
                gateway.store.is_cut = False
            await trio.sleep(RECOVERY_SECONDS)
            self.check()
            nursery.cancel_scope.cancel()

    async def edit(self, gateway):
        name = self.random.choice(NAMES)
        known = gateway.view.stored(name.kind, name.name)
        version = 0 if known is None or known.value is None else known.version
        number = next(self.numbers)
        try:
            if version and self.random.random() < 0.2:
                number = None
                written = await gateway.editor.delete(name, version)
            else:
                data = {"parameters": {"concurrent_requests": number}}
                written = await gateway.editor.put(name, data, version)
        except RequestRefusedError as error:
            if error.outcome is Outcome.UNKNOWN:
                self.uncertain[name].append(number)
            return
        newest = self.accepted.get(name)
        if newest is None or written.version > newest.version:
            self.accepted[name] = written
            self.uncertain[name].clear()

    async def restore_store(self):
        """Restore the store from a recent copy, sometimes with a gateway cut off."""
        self.is_restoring = True
        copy = self.store.copy()
        partitioned = self.random.choice([*self.gateways, None, None])
        await trio.sleep(self.random.uniform(0.1, 2.0))
        self.store.is_out = True
        await trio.sleep(self.random.uniform(0.05, 0.5))
        self.lossy_restores += self.store.number > copy.number
        self.store.restore_from(copy)
        if partitioned is not None:
            partitioned.store.is_cut = True
        self.store.is_out = False
        if partitioned is not None:
            await trio.sleep(self.random.uniform(0.05, 1.0))
            partitioned.store.is_cut = False
        self.is_restoring = False

    def check(self):
        stored = {n: value_of(s) for n, s in self.store.objects.items()}
        for gateway in self.gateways:
            live = gateway.view.snapshot().objects
            in_force = {s.name: value_of(s) for s in live}
            assert in_force == stored, (in_force, stored)
            assert not gateway.view.unconfirmed
        for name, written in self.accepted.items():
            number = None if written.value is None else value_of(written)
            allowed = [number, *self.uncertain[name]]
            assert stored.get(name) in allowed, (name.name, stored.get(name), written)


class AfterRestore(EditHistory):
    """Gateways that don't receive each other's edits, right after a restore."""

    def __init__(self, seed=1):
        super().__init__(seed)
        self.first, *self.others = self.gateways
        self.random.random = lambda: 1.0

    async def run(self, script):
        async with trio.open_nursery() as nursery:
            for gateway in self.gateways:
                nursery.start_soon(gateway.follow)
                nursery.start_soon(gateway.restorer.run)
            await trio.sleep(2.0)
            await script(nursery)
            await trio.sleep(RECOVERY_SECONDS)
            nursery.cancel_scope.cancel()

    async def restore_while_cut_off(self, copy):
        """Restore the store while the other gateways are cut off for over a second."""
        self.cut_off_others(True)
        self.store.restore_from(copy)
        await trio.sleep(1.0)

    def cut_off_others(self, is_cut):
        for gateway in self.others:
            gateway.store.is_cut = is_cut

    async def retry_until_accepted(self, edit, *arguments):
        """Edit, and retry while the edit is refused temporarily."""
        with trio.fail_after(RECOVERY_SECONDS):
            while True:
                try:
                    await edit(*arguments)
                    break
                except RequestRefusedError as error:
                    assert error.reason is RefusalReason.PLATFORM_UNAVAILABLE, error
                    assert 0 < error.retry_after <= 3.0, error.retry_after
                    await trio.sleep(error.retry_after)


@then("an object deleted right after a restore isn't restored by another gateway")
def check_deleted(context):
    history = AfterRestore()
    name = NAMES[0]

    async def script(nursery):
        first = history.first
        await first.editor.put(name, {"parameters": {}}, 0)
        await trio.sleep(1.0)
        await history.restore_while_cut_off(history.store.copy())
        version = first.view.stored(name.kind, name.name).version
        nursery.start_soon(
            history.retry_until_accepted, first.editor.delete, name, version
        )
        await trio.sleep(0.5)
        history.cut_off_others(False)

    trio.run(history.run, script, clock=MockClock(autojump_threshold=0))
    written = [change.value for _, change in history.store.events]
    assert written == [None], "the deleted object was written again"
    assert not any(g.view.snapshot().objects for g in history.gateways)


@then("draining an endpoint right after a restore keeps its newest announcement")
def check_drained(context):
    history = AfterRestore()
    name = ObjectName(ObjectKind.ENDPOINT, "order-1")

    async def announce(incarnation, version):
        status = EndpointStatus("desk", "ikeja", "127.0.0.1:1", incarnation)
        store = history.first.store
        return await settled_put(store, name, encode(status), version, incarnation)

    async def script(nursery):
        before = await announce("one", 0)
        copy = history.store.copy()
        await announce("two", before.version)
        await trio.sleep(1.0)
        history.store.restore_from(copy)
        await history.retry_until_accepted(history.first.editor.drain, name.name, True)

    trio.run(history.run, script, clock=MockClock(autojump_threshold=0))
    for gateway in history.gateways:
        status = gateway.view.get(name.kind, name.name)
        assert (status.incarnation, status.drain) == ("two", True), status


@then("of two writes with the same version the store's is in force everywhere")
def check_same_version(context):
    history = AfterRestore()
    name = NAMES[0]

    async def script(nursery):
        copy = history.store.copy()
        put = history.first.editor.put
        lost = await put(name, {"parameters": {"concurrent_requests": 1}}, 0)
        await trio.sleep(1.0)
        history.store.restore_from(copy)
        # A gateway that doesn't know of the restore writes, and ends before the answer.
        later = lost.value.replace(b":1,", b":2,")
        again = history.store.write(name, later, 0, ("w",), 0)
        assert again.version == lost.version and again.value != lost.value

    trio.run(history.run, script, clock=MockClock(autojump_threshold=0))
    assert value_of(history.store.objects[name]) == 2
    in_force = {value_of(g.view.stored(name.kind, name.name)) for g in history.gateways}
    assert in_force == {2}, in_force


def value_of(stored):
    return orjson.loads(stored.value)["parameters"]["concurrent_requests"]


@then("in {histories:d} random histories of edits and restores no edit is lost")
def check_edit_histories(context, histories):
    lost = 0
    for seed in range(histories):
        history = EditHistory(seed)
        trio.run(history.run, clock=MockClock(autojump_threshold=0))
        lost += history.lossy_restores
    assert lost > histories, "too few edits were lost for the check to be meaningful"
