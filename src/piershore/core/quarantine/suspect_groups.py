"""Which traits of requests explain the crashes of endpoints."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from piershore.core.quarantine.request_traits import is_account
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
    or has another trait that did. Accounts come last, for crashes that no part
    explains: they have sound requests as a rule. A group of parts has the accounts
    that were part of all its crashes, so that a caller who names another's parts has
    only its own requests held.
    """
    unexplained = {t: r.uncleared for t, r in records.items() if r.may_be_held}
    accounts = {t: c for t, c in unexplained.items() if is_account(t)}
    groups: list[SuspectGroup] = []
    while (group := _strongest_group(records, unexplained, accounts)) is not None:
        groups.append(group)
        unexplained = {t: c - group.crashes for t, c in unexplained.items()}
    return groups


def _strongest_group(
    records: Mapping[str, TraitRecord],
    unexplained: Mapping[str, frozenset[str]],
    accounts: Mapping[str, frozenset[str]],
) -> SuspectGroup | None:
    """Return the group that explains the unexplained crashes best; None if none does.

    `accounts` are all crashes of each account.
    """
    suspects = {
        t: c
        for t, c in unexplained.items()
        if records[t].evidence(c) >= records[t].crash_threshold
    }
    if not suspects:
        return None

    def strength(trait: str) -> tuple[bool, int, int, int, str]:
        # An unknown trait explains as many crashes better than one that had answers.
        threshold, crashes = records[trait].crash_threshold, suspects[trait]
        beyond = records[trait].evidence(crashes) - threshold
        return not is_account(trait), beyond, -threshold, len(crashes), trait

    strongest = max(suspects, key=strength)
    crashes = suspects[strongest]
    traits = {t for t, c in suspects.items() if c == crashes}
    traits.update(account for account, c in accounts.items() if crashes <= c)
    record = records[strongest]
    return SuspectGroup(
        frozenset(traits), crashes, record.crash_threshold, record.moments(crashes)
    )
