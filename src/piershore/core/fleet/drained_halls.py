"""Data halls that operators have drained, whose endpoints get no new work."""

from __future__ import annotations

from dataclasses import dataclass

from piershore.core.fleet.store_revision import StoreRevision


@dataclass(frozen=True)
class DrainedHalls:
    """The drained data halls at a revision of the store.

    Of two views the one with the higher revision is valid, whether it came from the
    store or from a peer: a drain and its end may arrive in any order.
    """

    revision: StoreRevision
    data_halls: frozenset[str]

    def is_of_later_era(self, other: DrainedHalls) -> bool:
        """Return whether the store was restored from an older copy after `other`."""
        return StoreRevision(self.revision).era > StoreRevision(other.revision).era
