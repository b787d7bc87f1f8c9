"""Which traits of requests explain the crashes of endpoints."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from piershore.core.quarantine.trait_record import TraitRecord


@dataclass(frozen=True)
class SuspectGroup:
    """Traits that explain the same crashes, so that any of them may be the cause.

    A request that lacks one of them tells which one it is: it crashes its endpoint,
    or clears the traits it has. `moments` is at how many different ones they came.
    """

    traits: frozenset[str]
    crashes: frozenset[str]
    crash_threshold: int
    moments: int

    @property
    def key(self) -> str:
        """A name of the group that is the same at all gateways."""
        return min(self.traits)


def find_suspect_groups(records: Mapping[str, TraitRecord]) -> list[SuspectGroup]:
    """Return the groups in quarantine, those with the most evidence first.

    A crash that a group explains isn't counted against other traits: most traits are
    suspected only because their request ran beside the one that crashed the endpoint,
    or has another trait that did.
    """
    unexplained = {t: r.uncleared for t, r in records.items() if r.may_be_held}
    thresholds = {trait: records[trait].crash_threshold for trait in unexplained}
    groups: list[SuspectGroup] = []
    while True:
        suspects = {
            t: c
            for t, c in unexplained.items()
            if records[t].evidence(c) >= thresholds[t]
        }
        if not suspects:
            return groups
        # An unknown trait explains as many crashes better than one that had answers.
        _, threshold, _, strongest = max(
            (records[t].evidence(c) - thresholds[t], -thresholds[t], len(c), t)
            for t, c in suspects.items()
        )
        crashes = suspects[strongest]
        traits = frozenset(t for t, c in suspects.items() if c == crashes)
        moments = records[strongest].moments(crashes)
        groups.append(SuspectGroup(traits, crashes, -threshold, moments))
        unexplained = {t: c - crashes for t, c in unexplained.items()}
