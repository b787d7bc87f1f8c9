"""Restoration of accepted edits that a store restored from an older copy has lost."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from random import Random
from uuid import uuid4

import trio

from piershore.core.configuration.config_view import ConfigView
from piershore.core.configuration.recent_changes import RecentChanges
from piershore.core.configuration.stored_object import ObjectName, StoredObject
from piershore.core.fleet.store_revision import era_of, StoreRevision
from piershore.core.ports import PlatformStore
from piershore.errors import PiershoreError
from piershore.platform.settled_write import settled_put
from piershore.telemetry import metrics
from piershore.telemetry.logs import log_state_change

CHECK_INTERVAL_SECONDS = 0.1
PEER_EDIT_DELAY_SECONDS = (0.3, 1.5)
"""Range of the delay before an edit that another gateway accepted is written again. The
gateway that accepted it writes it at once, but may have failed. The delay is random, so
that the edit is written once, and not by all gateways that read the store."""
RETRY_DELAY_SECONDS = (0.2, 0.6)
SETTLE_SECONDS = 3.0
"""Within this time after the store was restored from an older copy, all gateways that
reach the store have read it. Until then a missing object may be a lost one; afterwards
it was deleted."""


class EditRestorer:
    """Writes accepted edits again after the store was restored from an older copy.

    An accepted edit stays in force at the gateways that know it. If it weren't written
    again, a gateway that starts or a later edit of the same object would revert it.
    `on_written` is called with each object that was written again.
    """

    def __init__(
        self,
        gateway: str,
        store: PlatformStore,
        view: ConfigView,
        recent: RecentChanges,
        on_written: Callable[[StoredObject], None],
    ) -> None:
        self._gateway = gateway
        self._store = store
        self._view = view
        self._recent = recent
        self._on_written = on_written
        self._accepted: set[ObjectName] = set()
        self._due_at: dict[ObjectName, float] = {}
        self._last_revision = StoreRevision(0)
        self._era_began_at = float("-inf")
        self._random = Random()
        view.add_listener(self._record_change)

    @property
    def seconds_until_settled(self) -> float:
        """Seconds until objects may be deleted again after the store was restored."""
        return max(0.0, self._era_began_at + SETTLE_SECONDS - trio.current_time())

    def record_accepted(self, change: StoredObject) -> None:
        """Record that this gateway has reported an edit as accepted to an operator."""
        self._accepted.add(change.name)

    async def run(self) -> None:
        """Write lost edits again until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_SECONDS)
            now = trio.current_time()
            self._recent.drop_expired(now)
            self._accepted.intersection_update(self._recent.names)
            self._detect_restore()
            for name in list(self._names_due(now)):
                await self._restore(name)

    def _record_change(self, change: StoredObject) -> None:
        if self._view.complete_to:
            era = era_of(change.version)
            self._recent.record(change.name, era, trio.current_time())

    def _detect_restore(self) -> None:
        before, now = self._last_revision, StoreRevision(self._view.complete_to)
        self._last_revision = now
        metrics.STORE_ERA.set(now.era)
        if before.era < now.era:
            self._era_began_at = trio.current_time()
        if before and before.era < now.era:
            log_state_change(
                "store_returned",
                gateway=self._gateway,
                era_before=before.era,
                era=now.era,
                revision_before=before.number,
                revision=now.number,
                unconfirmed=len(self._view.unconfirmed),
            )

    def _names_due(self, now: float) -> Iterator[ObjectName]:
        """Yield the names of the objects to compare with the store now."""
        era = self._last_revision.era
        own = {n for n in self._accepted if self._recent.may_be_lost(n, era)}
        pending = own | self._view.unconfirmed
        for name in self._due_at.keys() - pending:
            del self._due_at[name]
        for name in pending:
            delay = (
                0.0 if name in own else self._random.uniform(*PEER_EDIT_DELAY_SECONDS)
            )
            if self._due_at.setdefault(name, now + delay) <= now:
                yield name

    async def _restore(self, name: ObjectName) -> None:
        try:
            await self._compare(name)
        except PiershoreError as error:
            metrics.PLATFORM_ERRORS.labels(code=error.code).inc()
            delay = self._random.uniform(*RETRY_DELAY_SECONDS)
            self._due_at[name] = trio.current_time() + delay

    async def _compare(self, name: ObjectName) -> None:
        current = await self._store.get(name)
        known = self._view.stored(name.kind, name.name)
        if current is None and known.value is None:
            pass
        elif current is None or current.version < known.version:
            await self._write_again(known, current)
        elif current.version > known.version:
            self._view.apply(current)
        elif current.value != known.value:
            await self._write_as_new(current)
        self._confirm(name)

    async def _write_again(
        self, lost: StoredObject, current: StoredObject | None
    ) -> None:
        version = 0 if current is None else current.version
        if lost.value is None:
            await self._store.put(lost.name, None, version, uuid4().hex)
        else:
            await self._store.restore(lost, version, uuid4().hex)
        self._on_written(lost)
        metrics.EDITS_RESTORED.inc()
        log_state_change(
            "edit_restored",
            kind=lost.name.kind,
            name=lost.name.name,
            version=lost.version,
        )

    async def _write_as_new(self, current: StoredObject) -> None:
        """Write the store's contents under a new version.

        Two writes got the same version, one before the store was restored and one
        after: the store has the later one.
        """
        written = await settled_put(
            self._store, current.name, current.value, current.version, uuid4().hex
        )
        self._view.apply(written)
        self._on_written(written)

    def _confirm(self, name: ObjectName) -> None:
        self._view.confirm(name)
        self._recent.mark_confirmed(name, self._last_revision.era)
        self._due_at.pop(name, None)
