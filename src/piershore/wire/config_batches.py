"""Conversion of configuration changes to and from their messages."""

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


class BatchCursor:
    """What one receiver has been sent of a view, and what it lacks.

    `complete_to` is the revision up to which the receiver was complete when it
    connected.
    """

    def __init__(self, view: ConfigView, complete_to: int) -> None:
        self._view = view
        self._complete_to = complete_to
        self._position: int | None = None

    def next_batch(self) -> ConfigBatch | None:
        """Return what the receiver lacks now, or None if that is nothing."""
        view = self._view
        is_first = self._position is None
        has_news = is_first or view.applied_count > self._position
        if not has_news and view.complete_to <= self._complete_to:
            return None
        changes = self._missing()
        self._position = view.applied_count
        self._complete_to = max(self._complete_to, view.complete_to)
        if changes is not None:
            return _batch(changes, view.complete_to, is_snapshot=False)
        snapshot = view.snapshot()
        return _batch(snapshot.objects, snapshot.revision, is_snapshot=True)

    def _missing(self) -> tuple[StoredObject, ...] | None:
        if self._position is None:
            return self._view.changes_since(self._complete_to)
        return self._view.changes_after(self._position)


def batch_of(change: StoredObject) -> ConfigBatch:
    """Return one change as a batch that claims no completeness."""
    return _batch((change,), 0, is_snapshot=False)


def apply_batch(view: ConfigView, batch: ConfigBatch) -> None:
    """Apply a batch to `view`."""
    if batch.is_snapshot:
        view.apply_snapshot(Snapshot(batch.complete_to, tuple(_objects(batch))))
        return
    for change in _objects(batch):
        view.apply(change)
    view.mark_complete(batch.complete_to)


def _batch(
    objects: Iterable[StoredObject], complete_to: int, *, is_snapshot: bool
) -> ConfigBatch:
    return ConfigBatch(
        objects=[
            ConfigObject(
                kind=stored.name.kind,
                name=stored.name.name,
                version=stored.version,
                deleted=stored.value is None,
                value=stored.value or b"",
            )
            for stored in objects
        ],
        complete_to=complete_to,
        is_snapshot=is_snapshot,
    )


def _objects(batch: ConfigBatch) -> Iterator[StoredObject]:
    kinds = {kind.value: kind for kind in ObjectKind}
    for item in batch.objects:
        if item.kind not in kinds:
            continue
        name = ObjectName(kinds[item.kind], item.name)
        value = None if item.deleted else item.value
        yield StoredObject(name, item.version, value)
