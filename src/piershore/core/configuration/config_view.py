"""One box's view of the configuration: the newest version of each object.

The model `model/configuration.pml` has the steps `apply` and `apply_snapshot`; the
methods here have the same names.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from itertools import islice

from piershore.core.configuration.codec import decode_spec
from piershore.core.configuration.exceptions import InvalidObjectError
from piershore.core.configuration.objects import ObjectKind, ObjectSpec
from piershore.core.configuration.recent_changes import RecentChanges
from piershore.core.configuration.stored_object import (
    ObjectName,
    Snapshot,
    StoredObject,
)
from piershore.core.fleet.store_revision import era_of

MAX_KEPT_CHANGES = 1_024


class ConfigView:
    """Applies changes in any order of arrival; versions of an object only increase.

    `complete_to` is the revision up to which no change is missing. Later changes may
    be in force as well: an edit accepted nearby arrives ahead of the others.
    Versions and revisions contain the store's era (`StoreRevision`): a snapshot of a
    later era is newer than all earlier ones, although the restored store continues
    from a lower number. Changes that the store may have lost according to `recent`
    stay in force, since they were accepted.
    """

    def __init__(self, recent: RecentChanges | None = None) -> None:
        self._recent = RecentChanges() if recent is None else recent
        self._objects: dict[ObjectName, StoredObject] = {}
        self._specs: dict[ObjectName, ObjectSpec] = {}
        self._changes: deque[StoredObject] = deque()
        self._applied_count = 0
        self._applied_beyond: set[int] = set()
        self._complete_to = 0
        self._changes_from = 0
        self._listeners: list[Callable[[StoredObject], None]] = []
        self._unconfirmed: set[ObjectName] = set()

    @property
    def complete_to(self) -> int:
        """Revision up to which every change has been applied."""
        return self._complete_to

    @property
    def applied_count(self) -> int:
        """Number of changes applied so far; a position in this view's log."""
        return self._applied_count

    @property
    def applied_beyond(self) -> frozenset[int]:
        """Versions in force that are higher than `complete_to`."""
        return frozenset(self._applied_beyond)

    @property
    def unconfirmed(self) -> frozenset[ObjectName]:
        """Objects of an earlier era that differ in the snapshot of a later era."""
        return frozenset(self._unconfirmed)

    def confirm(self, name: ObjectName) -> None:
        """Record that the store has the version in force here."""
        self._unconfirmed.discard(name)

    def add_listener(self, listener: Callable[[StoredObject], None]) -> None:
        """Call `listener` after each applied change."""
        self._listeners.append(listener)

    def get(self, kind: ObjectKind, name: str) -> ObjectSpec | None:
        """Return the object's contents, or None if there is none."""
        return self._specs.get(ObjectName(kind, name))

    def stored(self, kind: ObjectKind, name: str) -> StoredObject | None:
        """Return the object as stored, which may be a tombstone."""
        return self._objects.get(ObjectName(kind, name))

    def all(self, kind: ObjectKind) -> Iterator[tuple[str, ObjectSpec]]:
        """Yield name and contents of each live object of `kind`."""
        for name, spec in list(self._specs.items()):
            if name.kind is kind:
                yield name.name, spec

    def apply(self, change: StoredObject) -> bool:
        """Apply a change if its version is newer; return whether it was applied."""
        known = self._objects.get(change.name)
        if known is not None and known.version >= change.version:
            return False
        self._objects[change.name] = change
        if era_of(change.version) >= era_of(self._complete_to):
            self._unconfirmed.discard(change.name)
        self._record_change(change)
        self._decode(change)
        for listener in self._listeners:
            listener(change)
        return True

    def mark_complete(self, revision: int) -> None:
        """Record that all changes up to `revision` have been applied.

        If `revision` is of a later era, their source has read the store in that era,
        and the store had all changes up to the previous `complete_to`.
        """
        era = era_of(revision)
        if era > era_of(self._complete_to):
            for name in self._recent.names:
                if self._objects[name].version <= self._complete_to:
                    self._recent.mark_confirmed(name, era)
        self._advance_complete_to(revision)

    def apply_snapshot(self, snapshot: Snapshot) -> bool:
        """Apply a snapshot unless it is older than this view; return whether it was."""
        if snapshot.revision < self._complete_to:
            return False
        for stored in snapshot.objects:
            self.apply(stored)
            if _is_same(self._objects[stored.name], stored):
                self._recent.mark_confirmed(stored.name, era_of(snapshot.revision))
        for name in list(self._deleted(snapshot)):
            self.apply(StoredObject(name, snapshot.revision, None))
        self._unconfirmed.update(self._differing(snapshot))
        if self._complete_to == 0:
            # Deletions before the first snapshot are unknown to this view.
            self._changes_from = snapshot.revision
        self._advance_complete_to(snapshot.revision)
        return True

    def snapshot(self) -> Snapshot:
        """Return all live objects and the revision that they are complete to."""
        live = (s for s in self._objects.values() if s.value is not None)
        return Snapshot(self._complete_to, tuple(live))

    def changes_since(self, revision: int) -> tuple[StoredObject, ...] | None:
        """Return all changes after `revision`, or None if some aren't kept."""
        if revision < self._changes_from or revision == 0:
            return None
        return tuple(c for c in self._changes if c.version > revision)

    def changes_after(self, position: int) -> tuple[StoredObject, ...] | None:
        """Return the changes after a log position, or None if some aren't kept."""
        missing = self._applied_count - position
        if missing > len(self._changes):
            return None
        return tuple(islice(self._changes, len(self._changes) - missing, None))

    def _advance_complete_to(self, revision: int) -> None:
        self._complete_to = max(self._complete_to, revision)
        if self._applied_beyond:
            self._applied_beyond = {
                version for version in self._applied_beyond if version > revision
            }

    def _deleted(self, snapshot: Snapshot) -> Iterator[ObjectName]:
        """Yield the objects in force here that were deleted in the store."""
        stored_names = {stored.name for stored in snapshot.objects}
        era = era_of(snapshot.revision)
        for name, current in self._objects.items():
            is_missing = current.value is not None and name not in stored_names
            is_older = current.version <= snapshot.revision
            if is_missing and is_older and not self._recent.may_be_lost(name, era):
                yield name

    def _differing(self, snapshot: Snapshot) -> Iterator[ObjectName]:
        """Yield the objects whose version in force here a restored store lacks."""
        stored_by_name = {stored.name: stored for stored in snapshot.objects}
        era = era_of(snapshot.revision)
        for name, current in self._objects.items():
            stored = stored_by_name.get(name)
            is_stored = stored is not None and _is_same(stored, current)
            is_removed = stored is None and current.value is None
            if era_of(current.version) < era and not (is_stored or is_removed):
                yield name

    def _record_change(self, change: StoredObject) -> None:
        self._applied_count += 1
        if change.version > self._complete_to:
            self._applied_beyond.add(change.version)
        self._changes.append(change)
        while len(self._changes) > MAX_KEPT_CHANGES:
            dropped = self._changes.popleft()
            self._changes_from = max(self._changes_from, dropped.version)

    def _decode(self, change: StoredObject) -> None:
        if change.value is None:
            self._specs.pop(change.name, None)
            return
        if change.name.kind is ObjectKind.SLOTS:
            return
        try:
            self._specs[change.name] = decode_spec(change.name.kind, change.value)
        except InvalidObjectError:
            # Written by a newer release: the previous contents stay in force.
            return


def _is_same(one: StoredObject, other: StoredObject) -> bool:
    """Return whether two objects have the same version and contents.

    A store that was restored from an older copy may assign a version number again, to
    other contents.
    """
    return one.version == other.version and one.value == other.value
