"""Evidence about one trait of requests."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import islice, pairwise

from piershore.core.quarantine.crash_report import CrashReport, MAX_ENDPOINTS

KNOWN_CRASH_THRESHOLD = 3
"""Crashes that put an account into quarantine, or a part with which answers began
lately: when several endpoints crash at once, many requests have it by chance."""
MOMENT_SECONDS = 0.05
"""Crashes that follow each other more closely came at the same moment."""


@dataclass
class TraitRecord:
    """The crashes of which a trait is suspected, and those it was cleared of.

    `crashed` has the time at which a gateway found each crash, by endpoint.
    `crash_threshold` is how many uncleared crashes put the trait into quarantine;
    `probes` counts the probes of it, `changed_at` is the time of the last crash or
    probe.
    """

    crash_threshold: int
    crashed: dict[str, float] = field(default_factory=dict)
    cleared: dict[str, float] = field(default_factory=dict)
    probes: int = 0
    probes_before: int = 0
    changed_at: float = 0.0
    last_seen_at: float = 0.0

    @property
    def uncleared(self) -> frozenset[str]:
        """The endpoints whose crash the trait may have caused."""
        return frozenset(self.crashed.keys() - self.cleared.keys())

    @property
    def may_be_held(self) -> bool:
        """Whether enough crashes are uncleared, so far as their number tells."""
        return len(self.crashed) - len(self.cleared) >= self.crash_threshold

    @property
    def recent_probes(self) -> int:
        """The probes since the trait was last cleared of all crashes."""
        return self.probes - self.probes_before

    def moments(self, crashes: frozenset[str]) -> int:
        """Return at how many different moments some of the crashes came."""
        times = sorted(self.crashed[identity] for identity in crashes)
        gaps = (later - earlier for earlier, later in pairwise(times))
        return bool(times) + sum(gap > MOMENT_SECONDS for gap in gaps)

    def evidence(self, crashes: frozenset[str]) -> int:
        """Return how many of some crashes count.

        Of those at the same moment only one counts for a trait that many requests have:
        endpoints that fail together have a cause of their own.
        """
        if self.crash_threshold < KNOWN_CRASH_THRESHOLD:
            return len(crashes)
        return self.moments(crashes)

    def merge(self, report: CrashReport, now: float) -> bool:
        """Merge a report; return whether any of it is new."""
        before = len(self.crashed), len(self.cleared), self.probes
        new = sorted(report.crashed - self.crashed.keys())[:MAX_ENDPOINTS]
        self._make_room(len(new))
        for identity in islice(new, max(0, MAX_ENDPOINTS - len(self.crashed))):
            self.crashed[identity] = now - report.age(identity)
        for identity in report.cleared & self.crashed.keys():
            self.cleared.setdefault(identity, now)
        self.probes = max(self.probes, report.probes)
        if before == (len(self.crashed), len(self.cleared), self.probes):
            return False
        if len(self.crashed) > before[0] or self.probes > before[2]:
            self.changed_at = now
        self._reset_probes()
        return True

    def clear(self, before: float, now: float) -> bool:
        """Clear the trait of the crashes known before a time; return if any was new."""
        known = {i for i in self.uncleared if self.crashed[i] < before}
        self.cleared.update(dict.fromkeys(known, now))
        self._reset_probes()
        return bool(known)

    def drop_cleared(self, before: float) -> None:
        """Forget the crashes that the trait was cleared of before a time."""
        for identity in [i for i, at in self.cleared.items() if at < before]:
            del self.cleared[identity]
            del self.crashed[identity]

    def report(self, trait: str, now: float) -> CrashReport:
        """Return the report for peers."""
        crashed, cleared = frozenset(self.crashed), frozenset(self.cleared)
        ages = tuple(max(0.0, now - self.crashed[i]) for i in sorted(crashed))
        return CrashReport(trait, crashed, cleared, self.probes, ages)

    def _make_room(self, count: int) -> None:
        """Forget the crashes cleared first, if more don't fit into a report."""
        excess = len(self.crashed) + count - MAX_ENDPOINTS
        for identity in sorted(self.cleared, key=self.cleared.get)[: max(0, excess)]:
            del self.cleared[identity]
            del self.crashed[identity]

    def _reset_probes(self) -> None:
        if not self.uncleared:
            self.probes_before = self.probes
