"""Maintains this agent's leases in the platform's slot table."""

from __future__ import annotations

import time
from collections.abc import Callable
from random import Random
from uuid import uuid4

import trio

from piershore.core.configuration.codec import decode, encode
from piershore.core.configuration.config_view import ConfigView
from piershore.core.configuration.objects import ObjectKind, Service
from piershore.core.configuration.stored_object import ObjectName, StoredObject
from piershore.core.fleet.store_revision import era_of
from piershore.core.ownership.slot_owner import SlotOwner
from piershore.core.ownership.slot_table import SlotTable
from piershore.core.ports import PlatformStore
from piershore.errors import PiershoreError
from piershore.platform.exceptions import StaleVersionError
from piershore.platform.settled_write import settled_put
from piershore.telemetry import metrics

UPDATE_INTERVAL_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 4.0
MAX_COUNTED_FAILURES = 8
MILLISECONDS_PER_SECOND = 1_000
MAX_SEARCHED_ERAS = 8
"""How many earlier eras of the store are searched for the last slot table. If none has
one, the upper bound of mint times in use is derived from the clock alone."""


class LeaseKeeper:
    """Extends, acquires and releases leases; only confirmed records take effect.

    Each era of the store has its own record: a store that is restored from an older
    copy issues the same versions again, so a write based on a version from before could
    overwrite the record of another agent.
    """

    def __init__(
        self,
        service: str,
        owner: SlotOwner,
        store: PlatformStore,
        config: ConfigView,
        on_change: Callable[[], None],
    ) -> None:
        self._service = service
        self._owner = owner
        self._store = store
        self._config = config
        self._on_change = on_change
        self._random = Random()
        self._failures = 0

    async def run(self) -> None:
        """Maintain the leases until cancelled; back off exponentially on failures."""
        while True:
            await self.update_leases()
            pause = min(
                MAX_BACKOFF_SECONDS, UPDATE_INTERVAL_SECONDS * 2**self._failures
            )
            await trio.sleep(pause * self._random.uniform(0.5, 1.0))

    async def update_leases(self) -> None:
        """Update the leases once; nothing is written if nothing is due."""
        spec = self._config.get(ObjectKind.SERVICE, self._service)
        if spec is None or not self._is_due(spec):
            return
        era = self._store.era
        try:
            stored = await self._store.get(slot_table_name(self._service, era))
            if self._store.era == era:
                await self._write(spec, stored, era)
            self._failures = 0
        except StaleVersionError as error:
            # Another agent wrote first, or the read was stale: the next round
            # starts from the record that the platform returned.
            if error.current is not None and error.current.value is not None:
                self._confirm(error.current, era)
        except PiershoreError as error:
            metrics.PLATFORM_ERRORS.labels(code=error.code).inc()
            self._failures = min(self._failures + 1, MAX_COUNTED_FAILURES)

    def _is_due(self, spec: Service) -> bool:
        table = self._owner.table
        if table is None or self._owner.era < self._newest_era():
            return True
        return (
            self._has_expired_lease(table) or self._updated_table(spec, table) != table
        )

    def _has_expired_lease(self, table: SlotTable) -> bool:
        """Return whether a lease in the record has expired.

        Another agent may have acquired the slot since then. An owner that let its lease
        expire in favour of another agent must read the record again before it requests
        a slot.
        """
        now = self._now_ms()
        last_leases = (slot.last for slot in table.current.slots)
        return any(
            last and not last.released and last.end < now for last in last_leases
        )

    def _newest_era(self) -> int:
        """Return the newest era seen in the store's answers or from gateways."""
        return max(self._store.era, era_of(self._config.complete_to))

    async def _write(
        self, spec: Service, stored: StoredObject | None, era: int
    ) -> None:
        version = 0
        table = None
        if stored is not None:
            version = stored.version
            table = decode(SlotTable, stored.value) if stored.value else None
        if table is None:
            table = await self._first_table(spec, era)
        else:
            self._owner.confirm(table, version)
        updated = self._updated_table(spec, table)
        if stored is not None and updated == table:
            return
        name = slot_table_name(self._service, era)
        written = await settled_put(
            self._store, name, encode(updated), version, uuid4().hex
        )
        self._confirm(written, era)
        metrics.LEASE_CHANGES.inc()

    async def _first_table(self, spec: Service, era: int) -> SlotTable:
        """Return the first record of an era, in which no slot has an owner."""
        spec_version = self._spec_version()
        if not era:
            start = self._now_ms() - 1
            return SlotTable.create(self._service, spec.slots, start, spec_version)
        found = await self._find_earlier_table(era)
        return self._owner.begin_era(spec.slots, spec_version, self._now_ms(), found)

    async def _find_earlier_table(self, era: int) -> SlotTable | None:
        """Return the newest record of earlier eras, or None if the store has none."""
        for earlier in range(era - 1, max(-1, era - 1 - MAX_SEARCHED_ERAS), -1):
            stored = await self._store.get(slot_table_name(self._service, earlier))
            if stored is not None and stored.value:
                return decode(SlotTable, stored.value)
        return None

    def _updated_table(self, spec: Service, table: SlotTable) -> SlotTable:
        resized = table.resize(spec.slots, self._spec_version())
        return self._owner.update_leases(
            resized, self._now_ms(), self._undrained_endpoints()
        )

    def _confirm(self, stored: StoredObject, era: int) -> None:
        if self._store.era != era:
            # The write may have taken effect after the store was restored: the record
            # of the new era is authoritative.
            return
        self._owner.confirm(decode(SlotTable, stored.value), stored.version)
        self._on_change()

    def _undrained_endpoints(self) -> set[str]:
        return {
            name
            for name, status in self._config.all(ObjectKind.ENDPOINT)
            if status.service == self._service and not status.drain
        }

    def _spec_version(self) -> int:
        stored = self._config.stored(ObjectKind.SERVICE, self._service)
        return stored.version if stored is not None else 0

    @staticmethod
    def _now_ms() -> int:
        return int(time.time() * MILLISECONDS_PER_SECOND)


def slot_table_name(service: str, era: int) -> ObjectName:
    """Return the name of a service's slot table in an era of the store."""
    return ObjectName(ObjectKind.SLOTS, f"{service}@{era}" if era else service)
