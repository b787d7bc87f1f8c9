"""Recent changes, which a store restored from an older copy may have lost."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from piershore.core.configuration.stored_object import ObjectName

RECENT_SECONDS = 300.0
"""Longer than the age of a copy plus the outage until the store is restored from it.
Earlier changes are in the copy, so an object that the store lacks was deleted."""
MAX_CHANGES = 4_096
"""A day's changes, some 50 KB."""


@dataclass(frozen=True)
class RecentChange:
    """When an object changed, and the last era in which the store had the change."""

    changed_at: float
    confirmed_in_era: int


class RecentChanges:
    """Names of the objects that changed within the last `RECENT_SECONDS`."""

    def __init__(self) -> None:
        self._changes: OrderedDict[ObjectName, RecentChange] = OrderedDict()

    @property
    def names(self) -> tuple[ObjectName, ...]:
        """All names, the oldest change first."""
        return tuple(self._changes)

    def record(self, name: ObjectName, era: int, now: float) -> None:
        """Record a change that the store had in `era`."""
        self._changes[name] = RecentChange(now, era)
        self._changes.move_to_end(name)
        while len(self._changes) > MAX_CHANGES:
            self._changes.popitem(last=False)

    def mark_confirmed(self, name: ObjectName, era: int) -> None:
        """Record that the store still has the change in a later era."""
        change = self._changes.get(name)
        if change is not None:
            self._changes[name] = RecentChange(change.changed_at, era)

    def may_be_lost(self, name: ObjectName, era: int) -> bool:
        """Return whether a store restored in `era` may have lost an object's change."""
        change = self._changes.get(name)
        return change is not None and change.confirmed_in_era < era

    def drop_expired(self, now: float) -> None:
        """Drop the changes that are older than `RECENT_SECONDS`."""
        while self._changes:
            oldest = next(iter(self._changes.values()))
            if now - oldest.changed_at <= RECENT_SECONDS:
                return
            self._changes.popitem(last=False)
