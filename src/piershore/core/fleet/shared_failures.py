"""Failures at an endpoint that the gateways of a fleet see together.

Each gateway of a large fleet sends a call or two a second to an endpoint, and three
failures in a row take it seconds: together they know in a fraction of one. With 23
gateways and an endpoint that failed all for 7 s, 50 instead of 85 calls that may run
only once were lost (two pairs of simulated days).
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from heapq import nlargest

WINDOW_SECONDS = 0.7
"""Outcomes that count. Successes from before a fault began hide it as long: with 2 s
the fleet acted 1.7 s after an endpoint with 20 calls a second had turned bad."""
MOST_KEPT = 64
"""Outcomes of one endpoint that are kept; a ratio needs no more."""
LEAST_FAILURES = 4
"""Failures that show more than chance: one more than a gateway needs by itself."""
MOST_TOLD = 32
"""Endpoints that one report tells of, so that it fits a packet when many fail."""
FAILING_SHARE = 0.6
"""Part of the outcomes that are failures; services whose requests fail by themselves in
14 of 100 cases were seen."""


@dataclass(frozen=True)
class Outcomes:
    """Counts of attempts in the window."""

    failures: int = 0
    successes: int = 0

    def __add__(self, other: Outcomes) -> Outcomes:
        return Outcomes(
            self.failures + other.failures, self.successes + other.successes
        )

    @property
    def are_failing(self) -> bool:
        """Whether they show that the endpoint fails."""
        if self.failures < LEAST_FAILURES:
            return False
        return self.failures >= FAILING_SHARE * (self.failures + self.successes)


NO_OUTCOMES = Outcomes()


class SharedFailures:
    """Own outcomes by endpoint identity, and those that peers tell."""

    def __init__(self) -> None:
        self._own: dict[str, deque[tuple[float, bool]]] = {}
        self._peers: dict[str, tuple[float, Mapping[str, Outcomes]]] = {}

    def note(self, identity: str, now: float, *, failed: bool) -> None:
        """Count the outcome of an own attempt."""
        outcomes = self._own.setdefault(identity, deque(maxlen=MOST_KEPT))
        outcomes.append((now, failed))

    def take_report(
        self, peer: str, outcomes: Mapping[str, Outcomes], now: float
    ) -> None:
        """Replace what a peer has told."""
        if outcomes:
            self._peers[peer] = (now, outcomes)
        else:
            self._peers.pop(peer, None)

    def report(self, now: float) -> dict[str, Outcomes]:
        """Return own outcomes at endpoints where anybody saw a failure lately.

        Successes are told, too, where others fail: it may be their path that is bad.
        """
        self._forget(now)
        told = {identity for _, report in self._peers.values() for identity in report}
        counts = {identity: self._count(identity) for identity in self._own}
        tellable = (
            (identity, count)
            for identity, count in counts.items()
            if count.failures or identity in told
        )
        return dict(nlargest(MOST_TOLD, tellable, key=_failures))

    def are_failing(self, identity: str, now: float) -> bool:
        """Tell whether the fleet's outcomes show that an endpoint fails."""
        start = now - WINDOW_SECONDS
        self._forget_outcomes(identity, start)
        told = (report for at, report in self._peers.values() if at >= start)
        counts = (report.get(identity, NO_OUTCOMES) for report in told)
        return sum(counts, self._count(identity)).are_failing

    def forget(self, identity: str) -> None:
        """Drop the own outcomes at an endpoint that has gone."""
        self._own.pop(identity, None)

    def _count(self, identity: str) -> Outcomes:
        outcomes = self._own.get(identity, ())
        failures = sum(failed for _, failed in outcomes)
        return Outcomes(failures, len(outcomes) - failures)

    def _forget(self, now: float) -> None:
        start = now - WINDOW_SECONDS
        for identity in list(self._own):
            self._forget_outcomes(identity, start)
        for peer, (at, _) in list(self._peers.items()):
            if at < start:
                del self._peers[peer]

    def _forget_outcomes(self, identity: str, start: float) -> None:
        outcomes = self._own.get(identity)
        if outcomes is None:
            return
        while outcomes and outcomes[0][0] < start:
            outcomes.popleft()
        if not outcomes:
            del self._own[identity]


def _failures(item: tuple[str, Outcomes]) -> int:
    return item[1].failures
