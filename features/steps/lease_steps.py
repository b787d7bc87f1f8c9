"""Steps for an agent's maintenance of its leases, without processes."""

from __future__ import annotations

import time

import trio
from behave import given, then, when

from piershore.agent.lease_keeper import LeaseKeeper
from piershore.core.configuration.codec import decode, encode
from piershore.core.configuration.config_view import ConfigView
from piershore.core.configuration.objects import (
    EndpointStatus,
    ObjectKind,
    Service,
    ServiceType,
)
from piershore.core.configuration.stored_object import ObjectName, StoredObject
from piershore.core.ownership.interval import Owner
from piershore.core.ownership.slot_owner import OwnershipSettings, SlotOwner
from piershore.core.ownership.slot_table import SlotTable

SERVICE = "order-desk"
SLOTS = 8
LEASE_MILLISECONDS = 2_000
SPEC_VERSION = 1
MEMBERS = ("order-1", "order-2")


class OneRecordStore:
    """Stores the slot record and counts the reads."""

    era = 0

    def __init__(self, stored):
        self.stored = stored
        self.reads = 0

    async def get(self, name):
        self.reads += 1
        return self.stored

    async def put(self, name, value, version, write_id):
        assert version == self.stored.version
        self.stored = StoredObject(name, version + 1, value, (write_id,))
        return self.stored


def take_all(table, owner, end):
    for index in range(SLOTS):
        table = table.take(index, owner, end)
    return table


@given("an agent that let its leases expire for another one, which took all slots")
def given_lost_slots(context):
    now = int(time.time() * 1_000)
    first, second = (Owner(name, "1") for name in MEMBERS)
    empty = SlotTable.create(SERVICE, SLOTS, now - 9_000, SPEC_VERSION)
    old = take_all(empty, first, now - 5_000)
    for index in range(SLOTS):
        old = old.mark_wanted(index, second)
    name = ObjectName(ObjectKind.SLOTS, SERVICE)
    record = encode(take_all(old, second, now + LEASE_MILLISECONDS))
    context.store = OneRecordStore(StoredObject(name, 20, record))
    context.owner = SlotOwner(SERVICE, first, OwnershipSettings(LEASE_MILLISECONDS))
    context.owner.confirm(old, 12)
    view = ConfigView()
    spec = Service(ServiceType.PLAIN, ("order_lookup",), ("order_lookup",), SLOTS)
    service = ObjectName(ObjectKind.SERVICE, SERVICE)
    view.apply(StoredObject(service, SPEC_VERSION, encode(spec)))
    for number, member in enumerate(MEMBERS):
        status = EndpointStatus(SERVICE, "ikeja", f"127.0.0.1:{number + 1}", "1")
        endpoint = ObjectName(ObjectKind.ENDPOINT, member)
        view.apply(StoredObject(endpoint, 2 + number, encode(status)))
    context.keeper = LeaseKeeper(
        SERVICE, context.owner, context.store, view, lambda: None
    )


@when("it maintains its leases once")
def maintain_leases(context):
    trio.run(context.keeper.update_leases)


@then("it has read the record again, and requests the slots for which it is preferred")
def check_requested_slots(context):
    assert context.store.reads == 1
    table = decode(SlotTable, context.store.stored.value)
    wanted = [slot.wanted_by for slot in table.current.slots]
    assert 0 < sum(owner is not None for owner in wanted) < SLOTS, wanted
