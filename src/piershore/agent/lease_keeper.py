"""Upkeep of this agent's leases in the platform's slot table."""

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
from piershore.core.ownership.slot_owner import SlotOwner
from piershore.core.ownership.slot_table import SlotTable
from piershore.core.ports import PlatformStore
from piershore.errors import PiershoreError
from piershore.platform.exceptions import StaleVersionError
from piershore.platform.settled_write import settled_put
from piershore.telemetry import metrics

PERIOD_SECONDS = 0.5
LONGEST_PAUSE_SECONDS = 4.0
MOST_FAILURES_COUNTED = 8
MILLISECONDS = 1_000


class LeaseKeeper:
    """Extends, takes and releases leases; only confirmed records count."""

    def __init__(
        self,
        service: str,
        owner: SlotOwner,
        store: PlatformStore,
        config: ConfigView,
        on_change: Callable[[], None],
    ) -> None:
        self._service = service
        self._name = ObjectName(ObjectKind.SLOTS, service)
        self._owner = owner
        self._store = store
        self._config = config
        self._on_change = on_change
        self._random = Random()
        self._failures = 0

    async def run(self) -> None:
        """Keep the leases until cancelled; ask less often while that fails."""
        while True:
            await self.keep()
            pause = min(LONGEST_PAUSE_SECONDS, PERIOD_SECONDS * 2**self._failures)
            await trio.sleep(pause * self._random.uniform(0.5, 1.0))

    async def keep(self) -> None:
        """Make one round: nothing is written when nothing is due."""
        spec = self._config.get(ObjectKind.SERVICE, self._service)
        if spec is None or not self._is_due(spec):
            return
        try:
            stored = await self._store.get(self._name)
            await self._write(spec, stored)
            self._failures = 0
        except StaleVersionError as error:
            # Somebody was faster, or the read was stale: the next round starts
            # from the record that the platform showed.
            if error.current is not None and error.current.value is not None:
                self._confirm(error.current)
        except PiershoreError as error:
            metrics.PLATFORM_ERRORS.labels(code=error.code).inc()
            self._failures = min(self._failures + 1, MOST_FAILURES_COUNTED)

    def _is_due(self, spec: Service) -> bool:
        table = self._owner.table
        if table is None:
            return True
        return self._is_outdated(table) or self._change(spec, table) != table

    def _is_outdated(self, table: SlotTable) -> bool:
        """Tell whether a lease in the record has run out.

        Somebody else may have taken the slot since: an owner that let its lease run
        out for another must read again to want a slot back.
        """
        now = self._now()
        lasts = (slot.last for slot in table.current.slots)
        return any(last and not last.released and last.end < now for last in lasts)

    async def _write(self, spec: Service, stored: StoredObject | None) -> None:
        version = 0
        table = None
        if stored is not None:
            version = stored.version
            table = decode(SlotTable, stored.value) if stored.value else None
        if table is None:
            table = SlotTable.create(
                self._service, spec.slots, self._now() - 1, self._spec_version()
            )
        else:
            self._owner.confirm(table, version)
        wanted = self._change(spec, table)
        if stored is not None and wanted == table:
            return
        written = await settled_put(
            self._store, self._name, encode(wanted), version, uuid4().hex
        )
        self._confirm(written)
        metrics.LEASE_CHANGES.inc()

    def _change(self, spec: Service, table: SlotTable) -> SlotTable:
        resized = table.resize(spec.slots, self._spec_version())
        return self._owner.change(resized, self._now(), self._members())

    def _confirm(self, stored: StoredObject) -> None:
        self._owner.confirm(decode(SlotTable, stored.value), stored.version)
        self._on_change()

    def _members(self) -> set[str]:
        return {
            name
            for name, status in self._config.all(ObjectKind.ENDPOINT)
            if status.service == self._service and not status.drain
        }

    def _spec_version(self) -> int:
        stored = self._config.stored(ObjectKind.SERVICE, self._service)
        return stored.version if stored is not None else 0

    @staticmethod
    def _now() -> int:
        return int(time.time() * MILLISECONDS)
