"""The other gateways that this gateway knows."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from piershore.core.fleet.load_update import LoadUpdate
from piershore.core.fleet.peer_report import PeerReport
from piershore.core.fleet.report_timing import peer_timeout

PEER_EXPIRY_SECONDS = 30.0
"""A peer that was silent for this long gets no more reports, unless it is a seed."""
SILENT_PEER_ROUND_INTERVAL = 10
"""A silent peer only gets every tenth report."""
MAX_MEMBERS_PER_REPORT = 40
"""Maximum hosts named in one report, so that it fits into one packet."""


@dataclass
class Peer:
    """One gateway; `report_received_at` is minus infinity before its first report."""

    host: str
    known_since: float
    report_received_at: float = float("-inf")
    report: PeerReport | None = None


class PeerTable:
    """Peers by host, from the seeds and from the members that peers report."""

    def __init__(self, own_host: str, seeds: Iterable[str], now: float) -> None:
        self._own_host = own_host
        self._seeds = frozenset(seeds) - {own_host}
        self._peers = {host: Peer(host, now) for host in self._seeds}

    def __len__(self) -> int:
        return len(self._peers)

    def apply_report(self, report: PeerReport, now: float) -> bool:
        """Apply a report; return False if it is outdated or repeated."""
        if report.host == self._own_host:
            return False
        for host in report.members:
            self._get_or_add(host, now)
        peer = self._get_or_add(report.host, now)
        last = peer.report
        if (
            last is not None
            and last.incarnation == report.incarnation
            and last.number >= report.number
        ):
            return False
        peer.report = report
        peer.report_received_at = now
        return True

    def is_from_new_process(self, report: PeerReport) -> bool:
        """Return whether a report is the first one received from its process."""
        peer = self._peers.get(report.host)
        if peer is None or peer.report is None:
            return True
        return peer.report.incarnation != report.incarnation

    def is_newer(self, update: LoadUpdate) -> bool:
        """Return whether an update is newer than its gateway's last report."""
        peer = self._peers.get(update.host)
        if peer is None or peer.report is None:
            return False
        last = peer.report
        return last.incarnation == update.incarnation and last.number < update.number

    def live_peers(self, now: float) -> list[Peer]:
        """Return the peers whose last report is recent."""
        timeout = peer_timeout(len(self._peers))
        return [p for p in self._peers.values() if now - p.report_received_at < timeout]

    def members(self, now: float) -> tuple[str, ...]:
        """Return the hosts to name in a report."""
        return tuple(peer.host for peer in self.live_peers(now))[
            :MAX_MEMBERS_PER_REPORT
        ]

    def report_targets(self, round_number: int, now: float) -> Iterator[str]:
        """Yield the hosts that get the report of this round; drop expired peers."""
        timeout = peer_timeout(len(self._peers))
        for peer in list(self._peers.values()):
            if now - peer.report_received_at < timeout:
                yield peer.host
                continue
            last_known_at = max(peer.report_received_at, peer.known_since)
            if (
                peer.host not in self._seeds
                and now - last_known_at > PEER_EXPIRY_SECONDS
            ):
                del self._peers[peer.host]
            elif round_number % SILENT_PEER_ROUND_INTERVAL == 0:
                yield peer.host

    def _get_or_add(self, host: str, now: float) -> Peer:
        if host == self._own_host:
            return Peer(host, now)
        peer = self._peers.get(host)
        if peer is None:
            peer = self._peers[host] = Peer(host, now)
        return peer
