"""The lease record of one service: which agents may run which mint times.

The whole record is one object in the platform and changes only by conditional updates.
The model `model/ownership.pml` has the actions `extend`, `take` and `release`; the
methods here have the same names.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace

from piershore.core.ownership.exceptions import SlotChangeError
from piershore.core.ownership.interval import Interval, Owner, SlotInterval
from piershore.core.ownership.minted_key import MintedKey

MAX_INTERVALS = 6
MAX_LAYOUTS = 3


@dataclass(frozen=True)
class Slot:
    """Adjacent intervals, oldest first; only the last may still change.

    `wanted_by` is an agent that asks the current owner to let its lease expire.
    """

    intervals: tuple[Interval, ...] = ()
    wanted_by: Owner | None = None

    @property
    def last(self) -> Interval | None:
        """The interval that may still change, if there is one."""
        return self.intervals[-1] if self.intervals else None

    def find(self, mint_time: int) -> Interval | None:
        """Return the interval that contains `mint_time`."""
        return next((i for i in self.intervals if i.contains(mint_time)), None)


@dataclass(frozen=True)
class Layout:
    """The slots in force for the mint times after `start`.

    `spec_version` is the version of the `Service` object that set their number.
    """

    start: int
    slots: tuple[Slot, ...]
    spec_version: int = 0

    @property
    def highest_end(self) -> int:
        """The highest mint time that an agent may run in any slot of the layout."""
        ends = [slot.last.end for slot in self.slots if slot.last]
        return max([self.start, *ends])


@dataclass(frozen=True)
class SlotTable:
    """All slots of one service, with the last earlier layouts."""

    service: str
    layouts: tuple[Layout, ...]

    @classmethod
    def create(
        cls, service: str, slot_count: int, start: int, spec_version: int = 0
    ) -> SlotTable:
        """Return a table for the mint times after `start`, as yet without intervals."""
        return cls(service, (Layout(start, (Slot(),) * slot_count, spec_version),))

    @property
    def current(self) -> Layout:
        """The layout whose slots may still change."""
        return self.layouts[-1]

    def locate(self, key: MintedKey) -> Interval | None:
        """Return the interval whose owner may run `key`, if this record has one."""
        layout = self._layout_of(key.mint_time)
        if layout is None:
            return None
        return layout.slots[key.slot(len(layout.slots))].find(key.mint_time)

    def intervals_of(self, owner: Owner) -> Iterator[SlotInterval]:
        """Yield all intervals of `owner` with their layouts and slots."""
        for layout in self.layouts:
            for index, slot in enumerate(layout.slots):
                for interval in slot.intervals:
                    if interval.owner == owner:
                        yield SlotInterval(
                            layout.start, len(layout.slots), index, interval
                        )

    def extend(self, index: int, owner: Owner, end: int) -> SlotTable:
        """Move the end of `owner`'s last interval forward."""
        last = self._last_owned(index, owner)
        if end <= last.end:
            raise SlotChangeError("an extension must move the end forward")
        return self._with_last(index, last.extended(end))

    def take(self, index: int, owner: Owner, end: int) -> SlotTable:
        """Assign `owner` the interval that starts where the last one ends."""
        slot = self.current.slots[index]
        start = slot.last.end if slot.last else self.current.start
        if end <= start:
            raise SlotChangeError("the new interval would be empty")
        intervals = (*slot.intervals, Interval(owner, start, end))
        return self._with_slot(index, Slot(intervals[-MAX_INTERVALS:]))

    def release(self, index: int, owner: Owner, end: int) -> SlotTable:
        """Truncate `owner`'s last interval to `end` and release it."""
        last = self._last_owned(index, owner)
        return self._with_last(index, last.released_at(end))

    def mark_wanted(self, index: int, owner: Owner) -> SlotTable:
        """Ask the current owner of a slot to let its lease expire."""
        slot = replace(self.current.slots[index], wanted_by=owner)
        return self._with_slot(index, slot)

    def resize(self, slot_count: int, spec_version: int) -> SlotTable:
        """Start a layout of `slot_count` slots above every assigned mint time.

        A single update ends all old slots at the same mint time, since the slots of
        an earlier layout never change again. The table stays the same if the caller's
        view of the service isn't newer than that of the layout.
        """
        if spec_version <= self.current.spec_version:
            return self
        if slot_count == len(self.current.slots):
            same = replace(self.current, spec_version=spec_version)
            return replace(self, layouts=(*self.layouts[:-1], same))
        start = self.current.highest_end
        layout = Layout(start, (Slot(),) * slot_count, spec_version)
        return replace(self, layouts=(*self.layouts, layout)[-MAX_LAYOUTS:])

    def _layout_of(self, mint_time: int) -> Layout | None:
        return next((x for x in reversed(self.layouts) if mint_time > x.start), None)

    def _last_owned(self, index: int, owner: Owner) -> Interval:
        last = self.current.slots[index].last
        if last is None or last.owner != owner or last.released:
            raise SlotChangeError(f"slot {index} is not held by {owner.endpoint}")
        return last

    def _with_last(self, index: int, interval: Interval) -> SlotTable:
        slot = self.current.slots[index]
        intervals = (*slot.intervals[:-1], interval)
        return self._with_slot(index, replace(slot, intervals=intervals))

    def _with_slot(self, index: int, slot: Slot) -> SlotTable:
        layout = self.current
        slots = (*layout.slots[:index], slot, *layout.slots[index + 1 :])
        return replace(self, layouts=(*self.layouts[:-1], replace(layout, slots=slots)))
