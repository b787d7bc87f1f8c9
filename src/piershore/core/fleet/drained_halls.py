"""The data halls whose endpoints are to get nothing new."""

from __future__ import annotations

from dataclasses import dataclass

from piershore.core.fleet.store_revision import StoreRevision


@dataclass(frozen=True)
class DrainedHalls:
    """What operators ask for, as the store had it at a revision.

    Of two views the one with the higher revision holds, whoever told it: a drain and
    its end may be heard of in any order.
    """

    revision: StoreRevision
    data_halls: frozenset[str]

    def is_of_later_era(self, other: DrainedHalls) -> bool:
        """Tell whether the store came back from an older copy after the other view."""
        return StoreRevision(self.revision).era > StoreRevision(other.revision).era
