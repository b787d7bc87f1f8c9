"""Which objects changed lately: a store that comes back may have lost their changes."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from piershore.core.configuration.stored_object import ObjectName

RECENT_SECONDS = 300.0
"""Longer than the store is away before it comes back, and its copy old. What changed
before that was in the copy: if it is missing, it was deleted."""
MOST_CHANGES = 4_096
"""Some 50 KB: a day's changes."""


@dataclass(frozen=True)
class RecentChange:
    """When an object changed, and the last era in which the store showed the change."""

    changed_at: float
    seen_in_era: int


class RecentChanges:
    """Names of the objects that changed within the last `RECENT_SECONDS`."""

    def __init__(self) -> None:
        self._changes: OrderedDict[ObjectName, RecentChange] = OrderedDict()

    @property
    def names(self) -> tuple[ObjectName, ...]:
        """All names, the oldest change first."""
        return tuple(self._changes)

    def note(self, name: ObjectName, era: int, now: float) -> None:
        """Take note of a change that the store had in `era`."""
        self._changes[name] = RecentChange(now, era)
        self._changes.move_to_end(name)
        while len(self._changes) > MOST_CHANGES:
            self._changes.popitem(last=False)

    def note_seen(self, name: ObjectName, era: int) -> None:
        """Take note that the store has the change in a later era, too."""
        change = self._changes.get(name)
        if change is not None:
            self._changes[name] = RecentChange(change.changed_at, era)

    def may_be_lost(self, name: ObjectName, era: int) -> bool:
        """Tell whether a store of `era` may lack an object since it came back."""
        change = self._changes.get(name)
        return change is not None and change.seen_in_era < era

    def forget_old(self, now: float) -> None:
        """Drop the changes of long ago."""
        while self._changes:
            oldest = next(iter(self._changes.values()))
            if now - oldest.changed_at <= RECENT_SECONDS:
                return
            self._changes.popitem(last=False)
