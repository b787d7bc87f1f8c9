"""Quarantine for traits of requests that crash endpoints.

Requests that are all different may have a part of their prompts in common that crashes
each endpoint. A crash accuses all traits of the requests that had just begun there;
an answer that begins after it clears the traits of its request. A request is refused if
it has all traits that explain the same two or more crashes equally well.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from itertools import islice
from math import inf

from piershore.core.bounded_mapping import put_newest
from piershore.core.quarantine.crash_report import CrashReport
from piershore.core.quarantine.quarantine import (
    CRASHES_BEFORE_QUARANTINE,
    FORGET_SECONDS,
    PROBE_DELAYS_SECONDS,
)
from piershore.core.quarantine.request_traits import is_account
from piershore.core.quarantine.suspect_groups import find_suspect_groups, SuspectGroup
from piershore.core.quarantine.trait_record import KNOWN_CRASH_THRESHOLD, TraitRecord

KNOWN_SECONDS = 30.0
"""How long a trait counts as known since an answer with it began."""
EARLY_PROBE_DELAYS_SECONDS = (2.0, 30.0, 120.0)
"""Delays after which one request of a group is released as a probe, instead of the
usual ones, if the crashes came at few moments: they may have another cause."""
KNOWN_SURE_MOMENTS = 5
"""Moments of crashes from which on a known trait needs no early probe: a mistake would
refuse many requests."""
PROBE_STAGGER_SECONDS = 0.1
"""The gateway of the next rank may probe this much later; a probe is reported to all
gateways within a few milliseconds."""
UNAMBIGUOUS_PROBE_SECONDS = 5.0
"""How long only a request without other suspected traits may be the probe."""
MIN_RETRY_SECONDS = 0.1
CLEARED_SECONDS = 60.0
"""How long cleared crashes are remembered, since reports of them may arrive late."""
MAX_RECORDS = 4_096
"""Suspected traits that are remembered, at most 4 MB; each requires a crash."""
MAX_KNOWN_TRAITS = 4_096
"""Traits of which the last answer is remembered, at most 1 MB."""


def _first_rank(key: str) -> int:
    """Return the rank of the only gateway."""
    return 0


class TraitQuarantine:
    """Suspected traits, and the groups of them that are in quarantine.

    `rank` returns this gateway's rank among all gateways for a key, 0 for the first.
    """

    def __init__(self, rank: Callable[[str], int] = _first_rank) -> None:
        self._rank = rank
        self._records: dict[str, TraitRecord] = {}
        self._known: dict[str, float] = {}
        self._groups: list[SuspectGroup] = []
        self._has_changed = False

    @property
    def groups(self) -> list[SuspectGroup]:
        """The groups in quarantine, found again after evidence has changed."""
        if self._has_changed:
            self._has_changed = False
            self._groups = self._find_groups()
        return self._groups

    def set_rank(self, rank: Callable[[str], int]) -> None:
        """Set the function that returns this gateway's rank for a key."""
        self._rank = rank

    def is_held(self, traits: frozenset[str]) -> bool:
        """Return whether requests with these traits are released only as probes."""
        return any(group.traits <= traits for group in self.groups)

    def seconds_until_release(self, traits: frozenset[str], now: float) -> float | None:
        """Return the seconds until a request may be sent; None if it may be now."""
        waits = [
            seconds
            for group in self.groups
            if group.traits <= traits
            and (seconds := self._seconds_until_probe(group, traits, now))
        ]
        return min(max(waits), FORGET_SECONDS) if waits else None

    def record_sent(self, traits: frozenset[str], now: float) -> list[str]:
        """Record that a request is sent; return the traits that it probes.

        A probe defers the next one, here and at all peers that receive the reports.
        """
        held = (group.traits for group in self.groups if group.traits <= traits)
        probed = sorted(frozenset().union(*held))
        for trait in probed:
            record = self._records[trait]
            record.probes += 1
            record.changed_at = now
        return probed

    def record_crash(
        self, traits: Iterable[str], identity: str, now: float
    ) -> list[str]:
        """Record the crash of an endpoint; return the traits newly accused."""
        crashed = frozenset({identity})
        return [t for t in traits if self.apply_report(CrashReport(t, crashed), now)]

    def record_answer(
        self, traits: frozenset[str], began_at: float, now: float
    ) -> list[str]:
        """Record that an endpoint lived on after it began an answer at `began_at`.

        Return the traits that this clears of earlier crashes.
        """
        cleared = []
        for trait in traits:
            put_newest(self._known, trait, began_at, MAX_KNOWN_TRAITS)
            record = self._records.get(trait)
            if record is not None and record.clear(began_at, now):
                cleared.append(trait)
        if cleared:
            self._has_changed = True
        return cleared

    def apply_report(self, report: CrashReport, now: float) -> bool:
        """Apply a gateway's report; return whether any of it is new."""
        trait = report.content
        record = self._records.get(trait) or TraitRecord(CRASHES_BEFORE_QUARANTINE)
        if not record.uncleared:
            record.crash_threshold = self._threshold(trait, now)
        if not record.merge(report, now):
            return False
        record.last_seen_at = now
        self._records.pop(trait, None)
        self._records[trait] = record
        self._has_changed = True
        self._evict()
        return True

    def knows_more_than(self, report: CrashReport) -> bool:
        """Return whether the trait was cleared of crashes that a report accuses it of.

        Its sender has missed a report.
        """
        record = self._records.get(report.content)
        if record is None:
            return False
        return bool((report.crashed - report.cleared) & record.cleared.keys())

    def report(self, trait: str, now: float) -> CrashReport | None:
        """Return the report for peers about one trait, or None."""
        record = self._records.get(trait)
        return record and record.report(trait, now)

    def quarantined_reports(self, now: float) -> Iterator[CrashReport]:
        """Yield the reports for peers about all traits in quarantine."""
        for group in self.groups:
            for trait in sorted(group.traits):
                yield self._records[trait].report(trait, now)

    def drop_expired(self, now: float) -> None:
        """Forget cleared crashes, and traits that no request had for long."""
        for trait, record in list(self._records.items()):
            record.drop_cleared(now - CLEARED_SECONDS)
            is_old = now - record.last_seen_at > FORGET_SECONDS
            if is_old or not record.crashed:
                del self._records[trait]
        self._has_changed = True

    def _evict(self) -> None:
        """Forget the traits accused first, those in quarantine last."""
        excess = len(self._records) - MAX_RECORDS
        if excess <= 0:
            return
        held = {trait for group in self.groups for trait in group.traits}
        oldest = (trait for trait in self._records if trait not in held)
        for trait in list(islice(oldest, excess)):
            del self._records[trait]
        self._has_changed = True

    def _threshold(self, trait: str, now: float) -> int:
        if is_account(trait):
            return KNOWN_CRASH_THRESHOLD
        if now - self._known.get(trait, -inf) > KNOWN_SECONDS:
            return CRASHES_BEFORE_QUARANTINE
        return KNOWN_CRASH_THRESHOLD

    def _find_groups(self) -> list[SuspectGroup]:
        return find_suspect_groups(self._records)

    def _seconds_until_probe(
        self, group: SuspectGroup, traits: frozenset[str], now: float
    ) -> float:
        """Return the seconds until this gateway may probe a group; 0 if it may now."""
        records = [self._records[trait] for trait in group.traits]
        for record in records:
            record.last_seen_at = now
        is_known = group.crash_threshold > CRASHES_BEFORE_QUARANTINE
        sure_moments = KNOWN_SURE_MOMENTS if is_known else CRASHES_BEFORE_QUARANTINE
        is_doubtful = group.moments < sure_moments
        delays = EARLY_PROBE_DELAYS_SECONDS if is_doubtful else PROBE_DELAYS_SECONDS
        step = max(record.recent_probes for record in records)
        if step >= len(delays):
            return inf
        due = max(record.changed_at for record in records) + delays[step]
        due += self._rank(group.key) * PROBE_STAGGER_SECONDS
        if now < due:
            return max(due - now, MIN_RETRY_SECONDS)
        if now < due + UNAMBIGUOUS_PROBE_SECONDS and self._is_ambiguous(group, traits):
            return MIN_RETRY_SECONDS
        return 0.0

    def _is_ambiguous(self, group: SuspectGroup, traits: frozenset[str]) -> bool:
        """Return whether a request has suspected traits besides those of a group."""
        others = (self._records.get(trait) for trait in traits - group.traits)
        return any(record is not None and record.uncleared for record in others)
