"""A revision of the platform's store, with the era of the store that gave it out."""

from __future__ import annotations

NUMBER_BITS = 40
LARGEST_ERA = 2 ** (63 - NUMBER_BITS) - 1
"""Eras and revisions fit a number that codecs carry; at 1,000 changes a second the
revisions of one era last for 34 years."""


class StoreRevision(int):
    """Orders what a store says: first by era, then by the revision's number.

    A store that comes back from an older copy gives its revisions out again, in a later
    era. A number alone orders nothing then: a list of before the return would win over
    the present one until the numbers have grown past it. The era is in the high bits,
    so that the order of two is the order of whole numbers, also on the wire; in era 0
    a revision is its number.
    """

    @classmethod
    def of(cls, era: int, number: int) -> StoreRevision:
        """Return a revision that was given out in an era."""
        return cls((era << NUMBER_BITS) + number)

    @property
    def era(self) -> int:
        """How often the store had come back from an older copy."""
        return self >> NUMBER_BITS

    @property
    def number(self) -> int:
        """The revision as the store counts it."""
        return self & ((1 << NUMBER_BITS) - 1)


def era_of(revision: int) -> int:
    """Return the era of a revision that was carried as a plain number."""
    return StoreRevision(revision).era
