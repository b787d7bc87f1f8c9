"""Conversion of configuration changes to and from `ConfigBatch` messages."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from piershore.core.configuration.config_view import ConfigView
from piershore.core.configuration.objects import ObjectKind
from piershore.core.configuration.stored_object import (
    ObjectName,
    Snapshot,
    StoredObject,
)
from piershore.wire.link_pb2 import ConfigBatch, ConfigObject

SNAPSHOT_BATCH_BYTES = 65_536
"""Size of the objects in one message of a snapshot: 0.1 s on a link of 5 Mbit/s. As one
message, a snapshot of 4,500 accounts takes seconds to arrive. The sender seems silent
meanwhile, so the receiver starts again at another sender."""


class BatchCursor:
    """Tracks which changes of a view one receiver has been sent.

    `complete_to` is the revision up to which the receiver's configuration was complete
    when it connected.
    """

    def __init__(self, view: ConfigView, complete_to: int) -> None:
        self._view = view
        self._complete_to = complete_to
        self._position: int | None = None

    def next_batches(self) -> Iterator[ConfigBatch]:
        """Yield the batches that the receiver lacks, and mark them as sent."""
        view = self._view
        is_first = self._position is None
        has_changes = is_first or view.applied_count > self._position
        if not has_changes and view.complete_to <= self._complete_to:
            return
        changes = self._missing_changes()
        self._position = view.applied_count
        self._complete_to = max(self._complete_to, view.complete_to)
        if changes is not None:
            yield _encode_batch(changes, view.complete_to, is_snapshot=False)
            return
        yield from _snapshot_batches(view.snapshot())

    def _missing_changes(self) -> tuple[StoredObject, ...] | None:
        if self._position is None:
            return self._view.changes_since(self._complete_to)
        return self._view.changes_after(self._position)


def batch_of(change: StoredObject) -> ConfigBatch:
    """Return a batch of one change, which doesn't advance the receiver's revision."""
    return _encode_batch((change,), 0, is_snapshot=False)


def apply_changes(view: ConfigView, batch: ConfigBatch) -> None:
    """Apply a batch of changes to `view`."""
    for change in _decode_objects(batch):
        view.apply(change)
    view.mark_complete(batch.complete_to)


class BatchReceiver:
    """Applies the batches of one stream to a view, in order."""

    def __init__(self, view: ConfigView) -> None:
        self._view = view
        self._snapshot: list[StoredObject] = []

    def apply(self, batch: ConfigBatch) -> None:
        """Apply a batch; a snapshot takes effect with its last batch."""
        if not batch.is_snapshot:
            apply_changes(self._view, batch)
            return
        self._snapshot.extend(_decode_objects(batch))
        if batch.continues:
            return
        objects, self._snapshot = tuple(self._snapshot), []
        self._view.apply_snapshot(Snapshot(batch.complete_to, objects))


def _snapshot_batches(snapshot: Snapshot) -> Iterator[ConfigBatch]:
    batch = _encode_batch((), snapshot.revision, is_snapshot=True)
    size = 0
    for stored in snapshot.objects:
        if size >= SNAPSHOT_BATCH_BYTES:
            batch.continues = True
            yield batch
            batch = _encode_batch((), snapshot.revision, is_snapshot=True)
            size = 0
        batch.objects.append(_encode_object(stored))
        size += len(stored.value or b"")
    yield batch


def _encode_batch(
    objects: Iterable[StoredObject], complete_to: int, *, is_snapshot: bool
) -> ConfigBatch:
    return ConfigBatch(
        objects=map(_encode_object, objects),
        complete_to=complete_to,
        is_snapshot=is_snapshot,
    )


def _encode_object(stored: StoredObject) -> ConfigObject:
    return ConfigObject(
        kind=stored.name.kind,
        name=stored.name.name,
        version=stored.version,
        deleted=stored.value is None,
        value=stored.value or b"",
    )


def _decode_objects(batch: ConfigBatch) -> Iterator[StoredObject]:
    kinds = {kind.value: kind for kind in ObjectKind}
    for item in batch.objects:
        if item.kind not in kinds:
            continue
        name = ObjectName(kinds[item.kind], item.name)
        value = None if item.deleted else item.value
        yield StoredObject(name, item.version, value)
