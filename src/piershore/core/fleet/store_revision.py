"""A revision of the platform's store, with the era in which it was issued."""

from __future__ import annotations

NUMBER_BITS = 40
MAX_ERA = 2 ** (63 - NUMBER_BITS) - 1
"""Era and revision together fit a signed 64-bit integer, as codecs need. At 1,000
changes a second the revision numbers of one era last for 34 years."""
MAX_REVISION_NUMBER = 2**NUMBER_BITS - 1


class StoreRevision(int):
    """A revision that orders first by era, then by the store's own number.

    A store that is restored from an older copy issues the same numbers again, in a
    later era. Ordered by number alone, a list from before the restore would win over
    the current one until the numbers have grown past it. The era is in the high bits,
    so that revisions compare as integers, also on the wire; in era 0 a revision equals
    its number.
    """

    @classmethod
    def of(cls, era: int, number: int) -> StoreRevision:
        """Return the revision with a number that was issued in an era."""
        return cls((era << NUMBER_BITS) + number)

    @property
    def era(self) -> int:
        """How often the store had been restored from an older copy."""
        return self >> NUMBER_BITS

    @property
    def number(self) -> int:
        """The store's own number of the revision."""
        return self & ((1 << NUMBER_BITS) - 1)


def era_of(revision: int) -> int:
    """Return the era of a revision that is held as a plain integer."""
    return StoreRevision(revision).era
