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


def batch_since(view: ConfigView, revision: int) -> ConfigBatch:
    """Return what a box that is complete to `revision` lacks."""
    changes = view.changes_since(revision)
    if changes is not None:
        return _batch(changes, view.complete_to, is_snapshot=False)
    snapshot = view.snapshot()
    return _batch(snapshot.objects, snapshot.revision, is_snapshot=True)


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
