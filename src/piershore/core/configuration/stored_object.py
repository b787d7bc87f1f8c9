"""An object as the platform stores it."""

from __future__ import annotations

from dataclasses import dataclass

from piershore.core.configuration.objects import ObjectKind


@dataclass(frozen=True)
class ObjectName:
    """Kind and name of an object."""

    kind: ObjectKind
    name: str


@dataclass(frozen=True)
class StoredObject:
    """One version of an object; `value` is JSON, or None for a tombstone.

    Versions come from a single counter of the platform, so they order all changes.
    `write_ids` identifies the last writes, newest last: a writer whose answer was lost
    finds out whether its write took effect.
    """

    name: ObjectName
    version: int
    value: bytes | None
    write_ids: tuple[str, ...] = ()


@dataclass(frozen=True)
class Snapshot:
    """All live objects of the platform as of `revision`."""

    revision: int
    objects: tuple[StoredObject, ...]
