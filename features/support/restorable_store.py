"""An in-memory store that can be restored from older copies, for virtual time."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

import trio

from piershore.core.configuration.stored_object import (
    ObjectName,
    Snapshot,
    StoredObject,
)
from piershore.core.fleet.store_revision import StoreRevision
from piershore.core.ports import PlatformStore
from piershore.platform.exceptions import (
    PlatformUnavailableError,
    StaleVersionError,
    WatchGapError,
    WriteUncertainError,
)

CALL_SECONDS = (0.001, 0.03)
WATCH_SECONDS = 1.0
POLL_SECONDS = 0.02
MAX_WRITE_IDS = 8
LOST_ANSWER_SHARE = 0.05


@dataclass(frozen=True)
class Copy:
    """The store's contents at one moment."""

    objects: dict[ObjectName, StoredObject]
    number: int


class RestorableStore:
    """Objects and one counter; `era` counts the restores."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.era = 0
        self.number = 1
        self.oldest = 1
        self.objects: dict[ObjectName, StoredObject] = {}
        self.events: list[tuple[int, StoredObject]] = []
        self.is_out = False

    def copy(self) -> Copy:
        return Copy(dict(self.objects), self.number)

    def restore_from(self, copy: Copy) -> None:
        self.objects = dict(copy.objects)
        self.number = self.oldest = copy.number
        self.events.clear()
        self.era += 1

    def write(self, name, value, version, ids, era, as_version=None):
        """Write if `version` is the stored one; `as_version` is a lost one to restore."""
        current = self.objects.get(name)
        if (0 if current is None else current.version) != version:
            raise StaleVersionError("it has changed", current)
        self.number += 1
        if value is None:
            del self.objects[name]
            written = StoredObject(name, version + 1, None)
        else:
            written_as = as_version or StoreRevision.of(era, self.number)
            written = self.objects[name] = StoredObject(name, written_as, value, ids)
        self.events.append((self.number, written))
        return written


class StoreClient(PlatformStore):
    """One process's client of the store, with its known era and its connection."""

    def __init__(self, store: RestorableStore) -> None:
        self._store = store
        self._era = 0
        self.is_cut = False

    @property
    def era(self) -> int:
        return self._era

    async def get(self, name: ObjectName) -> StoredObject | None:
        await self._call()
        return self._store.objects.get(name)

    async def list(self) -> Snapshot:
        await self._call()
        revision = StoreRevision.of(self._era, self._store.number)
        return Snapshot(revision, tuple(self._store.objects.values()))

    async def put(
        self, name: ObjectName, value: bytes | None, version: int, write_id: str
    ) -> StoredObject:
        era = self._era
        await self._call()
        current = self._store.objects.get(name)
        ids = () if current is None else current.write_ids
        kept = (*ids, write_id)[-MAX_WRITE_IDS:]
        written = self._store.write(name, value, version, kept, era)
        await self._answer()
        return written

    async def restore(self, lost: StoredObject, version: int, write_id: str) -> None:
        await self._call()
        self._store.write(
            lost.name, lost.value, version, (write_id,), self._era, lost.version
        )
        await self._answer()

    async def watch(self, revision: int):
        reached = StoreRevision(revision)
        while True:
            await self._call()
            if self._era != reached.era or reached.number < self._store.oldest:
                raise WatchGapError("these changes are no longer kept")
            events = [e for e in self._store.events if e[0] > reached.number]
            for _, change in events:
                yield change
            reached = StoreRevision.of(self._era, self._store.number)
            yield reached
            with trio.move_on_after(WATCH_SECONDS):
                while (
                    self._store.number == reached.number and not self._is_unavailable()
                ):
                    await trio.sleep(POLL_SECONDS)

    async def _answer(self) -> None:
        era = self._store.era
        await trio.sleep(self._store.random.uniform(*CALL_SECONDS))
        if self._store.era != era or self._store.random.random() < LOST_ANSWER_SHARE:
            raise WriteUncertainError("the answer was lost")

    async def _call(self) -> None:
        await trio.sleep(self._store.random.uniform(*CALL_SECONDS))
        if self._is_unavailable():
            raise PlatformUnavailableError("the store is unavailable")
        self._era = self._store.era

    def _is_unavailable(self) -> bool:
        return self.is_cut or self._store.is_out
