"""Quarantine for requests that crash endpoints.

A request may crash each endpoint that starts to run it, while its caller retries it
under new ids at any gateway. Each crash also ends the endpoint's other work, and takes
its capacity away for seconds. In a simulation without a quarantine, a retry every 1.5 s
crashed the 7 engines of a fleet, which restart within 4 s, 77 times in 90 s.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import islice
from math import inf

from piershore.core.bounded_mapping import put_newest
from piershore.core.quarantine.crash_report import CrashReport, MAX_ENDPOINTS

CRASHES_BEFORE_QUARANTINE = 2
"""Crashes after which a request is quarantined. One endpoint may crash by chance; of
10,900 requests on eight days with many faults none broke off at a second endpoint
without an answer in between."""
PROBE_DELAYS_SECONDS = (30.0, 120.0, 600.0)
"""Delays after which a quarantined request is released as a probe, one request in the
whole fleet each time: endpoints may have been fixed, or have crashed under any request.
After this many probes without success the request is quarantined until it is
forgotten."""
FORGET_SECONDS = 3_600.0
"""A request that was not sent again for this long is forgotten."""
RECENTLY_COMPLETED_SECONDS = 30.0
"""A request that completed within this time isn't suspected: a request that many
callers send is running at most crashes, and would be quarantined for crashes that
another one causes."""
MAX_COMPLETED_REQUESTS = 4_096
"""Completed requests that are remembered, at most 1 MB: those of 30 s at a gateway with
130 a second."""
MAX_RECORDS = 2_048
"""Suspected requests that are remembered, at most 2 MB; each requires a crash."""


@dataclass
class _Record:
    crash_threshold: int
    crashed: set[str] = field(default_factory=set)
    cleared: set[str] = field(default_factory=set)
    probes: int = 0
    quarantined_until: float = -inf
    last_seen_at: float = -inf

    @property
    def crashes(self) -> int:
        """The number of crashes that the request may have caused."""
        return len(self.crashed - self.cleared)

    @property
    def is_quarantined(self) -> bool:
        """Whether the request is released only as a probe."""
        return self.crashes >= self.crash_threshold

    def schedule_probe(self, now: float) -> None:
        """Set the time of the next probe, after a crash or a probe."""
        self.quarantined_until = -inf
        if self.is_quarantined:
            step = max(self.crashes - self.crash_threshold, self.probes)
            delay = (
                PROBE_DELAYS_SECONDS[step] if step < len(PROBE_DELAYS_SECONDS) else inf
            )
            self.quarantined_until = now + delay

    def clear_crashes(self, now: float) -> bool:
        """Clear the request of all crashes so far; return whether there were any."""
        if not self.crashes:
            return False
        self.cleared |= self.crashed
        self.schedule_probe(now)
        return True

    def merge(self, report: CrashReport) -> bool:
        """Merge a report; return whether any of it is new."""
        before = len(self.crashed), len(self.cleared), self.probes
        capacity = MAX_ENDPOINTS - len(self.crashed)
        self.crashed.update(islice(sorted(report.crashed - self.crashed), capacity))
        self.cleared.update(report.cleared & self.crashed)
        self.probes = max(self.probes, report.probes)
        return before != (len(self.crashed), len(self.cleared), self.probes)

    def report(self, content: str) -> CrashReport:
        """Return the report for peers."""
        crashed, cleared = frozenset(self.crashed), frozenset(self.cleared)
        return CrashReport(content, crashed, cleared, self.probes)


class Quarantine:
    """Suspected and quarantined requests by their digest, `content`."""

    def __init__(self, crash_threshold: int = CRASHES_BEFORE_QUARANTINE) -> None:
        self._crash_threshold = crash_threshold
        self._records: dict[str, _Record] = {}
        self._completed: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the number of quarantined requests."""
        return sum(record.is_quarantined for record in self._records.values())

    def seconds_until_release(self, content: str, now: float) -> float | None:
        """Return the seconds until a request may be sent; None if it may be now."""
        record = self._records.get(content)
        if record is None:
            return None
        if now - record.last_seen_at > FORGET_SECONDS:
            del self._records[content]
            return None
        if now >= record.quarantined_until:
            return None
        record.last_seen_at = now
        return min(record.quarantined_until - now, FORGET_SECONDS)

    def record_sent(self, content: str, now: float) -> bool:
        """Record that a request is sent to an endpoint; return whether as a probe.

        A probe defers the next one, here and at all peers that receive the report.
        """
        record = self._records.get(content)
        if record is None or not record.is_quarantined:
            return False
        record.probes += 1
        record.schedule_probe(now)
        return True

    def record_crash(self, content: str, identity: str, now: float) -> int:
        """Record the crash of an endpoint; return the request's number of crashes.

        0 if the crash is known already, or if the request completed recently and is not
        suspected.
        """
        report = CrashReport(content, frozenset({identity}))
        if not self.apply_report(report, now) or self.clear_if_completed(content, now):
            return 0
        return self._records[content].crashes

    def record_completion(self, content: str, now: float) -> bool:
        """Record that a request completed; return whether this clears it of crashes."""
        put_newest(self._completed, content, now, MAX_COMPLETED_REQUESTS)
        record = self._records.get(content)
        return record is not None and record.clear_crashes(now)

    def clear_if_completed(self, content: str, now: float) -> bool:
        """Clear a request of crashes if it completed here recently.

        Return whether there were any.
        """
        completed_at = self._completed.get(content, -inf)
        record = self._records.get(content)
        if record is None or now - completed_at > RECENTLY_COMPLETED_SECONDS:
            return False
        return record.clear_crashes(now)

    def apply_report(self, report: CrashReport, now: float) -> bool:
        """Apply a gateway's report; return whether any of it is new."""
        record = self._records.get(report.content) or _Record(self._crash_threshold)
        if not record.merge(report):
            return False
        record.last_seen_at = now
        record.schedule_probe(now)
        # The newest is last, and is evicted last.
        self._records.pop(report.content, None)
        self._records[report.content] = record
        self._evict()
        return True

    def is_quarantined(self, content: str) -> bool:
        """Return whether a request is released only as a probe."""
        record = self._records.get(content)
        return record is not None and record.is_quarantined

    def report(self, content: str) -> CrashReport | None:
        """Return the report for peers about one request, or None."""
        record = self._records.get(content)
        return record and record.report(content)

    def quarantined_reports(self) -> Iterator[CrashReport]:
        """Yield the reports for peers about all quarantined requests."""
        for content, record in self._records.items():
            if record.is_quarantined:
                yield record.report(content)

    def _evict(self) -> None:
        """Evict the oldest of too many records, those not in quarantine first."""
        if len(self._records) <= MAX_RECORDS:
            return
        not_quarantined = (
            content for content, r in self._records.items() if not r.is_quarantined
        )
        del self._records[next(not_quarantined, next(iter(self._records)))]
