"""Intervals of mint times whose keys one incarnation of an agent may run."""

from __future__ import annotations

from dataclasses import dataclass, replace


@dataclass(frozen=True)
class Owner:
    """One incarnation of an agent process; a restart creates a new incarnation."""

    endpoint: str
    incarnation: str


@dataclass(frozen=True)
class Interval:
    """Mint times ``start < t <= end`` (Unix milliseconds) and their owner.

    A released interval is never extended again.
    """

    owner: Owner
    start: int
    end: int
    released: bool = False

    def contains(self, mint_time: int) -> bool:
        """Return whether `mint_time` lies in the interval."""
        return self.start < mint_time <= self.end

    def extended(self, end: int) -> Interval:
        """Return the interval with a later end."""
        return replace(self, end=end)

    def released_at(self, end: int) -> Interval:
        """Return the interval truncated to `end` and released."""
        return replace(self, end=max(self.start, min(self.end, end)), released=True)


@dataclass(frozen=True)
class SlotInterval:
    """An interval with its slot, and the start and slot count of the layout."""

    layout_start: int
    slot_count: int
    slot: int
    interval: Interval

    def contains(self, mint_time: int, slot: int) -> bool:
        """Return whether a key of `mint_time` that hashes to `slot` lies in it."""
        return slot == self.slot and self.interval.contains(mint_time)
