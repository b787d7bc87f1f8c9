"""What waits at the peers, by their latest reports."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from piershore.core.bounded_mapping import put_newest
from piershore.core.waiting.waiter import Rank
from piershore.core.waiting.waiting_report import ServiceWaiting, WaitingReport

REPORT_EXPIRY_SECONDS = 0.8
"""How long a report counts: several intervals, so that lost ones don't matter, and a
fraction of a target latency, so that a peer that died holds nobody up for long."""
MAX_PEERS = 1_024
EQUAL_GROUP_SHARE = 0.5
"""Part of a peer's unlisted generations of the same group that is assumed to have
arrived earlier."""


@dataclass(frozen=True)
class _Latest:
    report: WaitingReport
    received_at: float


class PeerWaiting:
    """Latest reports of peers; older, repeated and expired ones don't count."""

    def __init__(self) -> None:
        self._latest: dict[str, _Latest] = {}

    def apply(self, report: WaitingReport, now: float) -> bool:
        """Replace a peer's report; return False if a newer one is known."""
        known = self._latest.get(report.host)
        if (
            known is not None
            and known.report.incarnation == report.incarnation
            and known.report.number >= report.number
        ):
            return False
        put_newest(self._latest, report.host, _Latest(report, now), MAX_PEERS)
        return True

    def waiting(
        self, service: str, now: float
    ) -> Iterator[tuple[str, float, ServiceWaiting]]:
        """Yield host, receipt time and what waits for a service, of each peer."""
        for host, latest in self._latest.items():
            if now - latest.received_at > REPORT_EXPIRY_SECONDS:
                continue
            waiting = latest.report.services.get(service)
            if waiting is not None:
                yield host, latest.received_at, waiting


def tokens_before(
    rank: Rank, host: str, received_at: float, waiting: ServiceWaiting
) -> float:
    """Return the memory that a peer's generations with an earlier rank wait for."""
    listed = sum(
        waiter.tokens
        for waiter in waiting.first
        if Rank(
            waiter.level,
            waiter.is_newcomer,
            waiter.is_late,
            received_at - waiter.waited,
            host,
        )
        < rank
    )
    return listed + sum(
        group.tokens
        * _share_before(rank, (group.level, group.is_newcomer, group.is_late))
        for group in waiting.rest
    )


def _share_before(rank: Rank, group: tuple[int, bool, bool]) -> float:
    if group == rank.group:
        return EQUAL_GROUP_SHARE
    return 1.0 if group < rank.group else 0.0
