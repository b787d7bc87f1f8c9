"""Sends speeds of endpoints to the peers that choose from them, and applies theirs."""

from __future__ import annotations

from collections.abc import Collection, Iterator

import trio

from piershore.core.fleet.endpoint import Endpoint
from piershore.core.fleet.peer_report import InvalidReportError
from piershore.core.fleet.speed_announcements import is_notable, SpeedAnnouncements
from piershore.core.fleet.speed_estimate import OwnTime
from piershore.core.fleet.speed_report import (
    MAX_REPORTED_SPEEDS,
    ReportedSpeed,
    SPEED_REPORT_PREFIX,
    SpeedReport,
)
from piershore.ingress.gateway_state import GatewayState
from piershore.ingress.peers.peer_link import PeerLink
from piershore.telemetry import ingress_metrics
from piershore.telemetry.events import EndpointSpeedLearned

SEND_INTERVAL_SECONDS = 0.25
"""Interval at which new estimates are sent: a peer that has just started gets all of
them within it."""


class SpeedReporter:
    """Exchanges speeds of endpoints as long as those of a service differ."""

    def __init__(self, state: GatewayState, link: PeerLink) -> None:
        self._state = state
        self._link = link
        self._announcements = SpeedAnnouncements()
        self._logged: dict[str, OwnTime] = {}
        self._uneven: set[str] = set()
        self._last_numbers: dict[str, tuple[str, int]] = {}

    def start(self) -> None:
        """Start to apply reports of peers."""
        self._link.add_handler(SPEED_REPORT_PREFIX, self.apply)

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            await trio.sleep(SEND_INTERVAL_SECONDS)
            await self._send_due(trio.current_time())

    def apply(self, data: bytes) -> None:
        """Apply a peer's datagram; raise `InvalidReportError` if it isn't a report."""
        try:
            report = SpeedReport.decode(data)
        except InvalidReportError:
            ingress_metrics.REJECTED_SPEEDS.labels("undecodable").inc()
            raise
        if report.host not in self._state.subsets.peers:
            ingress_metrics.REJECTED_SPEEDS.labels("unknown_peer").inc()
            return
        if not self._is_newer(report):
            return
        for reported in report.speeds:
            self._apply_one(report.host, reported)

    def _apply_one(self, host: str, reported: ReportedSpeed) -> None:
        endpoint = self._state.directory.get(reported.endpoint)
        if endpoint is None:
            ingress_metrics.REJECTED_SPEEDS.labels("unknown_endpoint").inc()
            return
        updated_at = trio.current_time() - reported.age
        time = OwnTime(reported.token_seconds, reported.samples, updated_at)
        speeds = self._state.speeds
        if not speeds.apply_report(host, endpoint.identity, endpoint.service, time):
            ingress_metrics.REJECTED_SPEEDS.labels("implausible").inc()

    def _is_newer(self, report: SpeedReport) -> bool:
        incarnation, number = self._last_numbers.get(report.host, ("", 0))
        if incarnation == report.incarnation and report.number <= number:
            return False
        self._last_numbers[report.host] = report.incarnation, report.number
        return True

    async def _send_due(self, now: float) -> None:
        peers = self._state.subsets.peers
        self._announcements.keep_only(peers)
        for host in self._last_numbers.keys() - set(peers):
            del self._last_numbers[host]
        due: dict[str, list[ReportedSpeed]] = {}
        for endpoint, time in self._reportable(now):
            self._log_if_notable(endpoint, time, now)
            reported = ReportedSpeed(
                endpoint.identity,
                time.token_seconds,
                time.samples,
                max(0.0, now - time.updated_at),
            )
            for host in self._state.subsets.sharing_peers(endpoint):
                if self._announcements.is_due(host, endpoint.identity, time, now):
                    self._announcements.record(host, endpoint.identity, time, now)
                    due.setdefault(host, []).append(reported)
        for host, speeds in due.items():
            for start in range(0, len(speeds), MAX_REPORTED_SPEEDS):
                await self._send(host, speeds[start : start + MAX_REPORTED_SPEEDS])

    def _reportable(self, now: float) -> Iterator[tuple[Endpoint, OwnTime]]:
        """Yield what was observed at services whose endpoints differ."""
        speeds, directory = self._state.speeds, self._state.directory
        departed = [i for i in self._logged if directory.get(i) is None]
        self._announcements.forget(departed)
        for identity in departed:
            del self._logged[identity]
        uneven = speeds.uneven_services(now)
        self._update_gauges(uneven, now)
        for service in uneven:
            for identity, time in list(speeds.observed_times(service)):
                endpoint = directory.get(identity)
                if endpoint is not None:
                    yield endpoint, time

    def _update_gauges(self, uneven: Collection[str], now: float) -> None:
        gauge = ingress_metrics.ENDPOINT_SLOWNESS
        for service in self._uneven.difference(uneven):
            gauge.labels(service, "slowest").set(1.0)
            gauge.labels(service, "fastest").set(1.0)
        for service in uneven:
            slowness = self._state.speeds.of_service(service, now).slowness.values()
            gauge.labels(service, "slowest").set(max(slowness))
            gauge.labels(service, "fastest").set(min(slowness))
        self._uneven = set(uneven)

    def _log_if_notable(self, endpoint: Endpoint, time: OwnTime, now: float) -> None:
        identity, speeds = endpoint.identity, self._state.speeds
        before = self._logged.get(identity)
        if before is not None and not is_notable(before, time):
            return
        self._logged[identity] = time
        view = speeds.of_service(endpoint.service, now)
        self._state.log.write(
            EndpointSpeedLearned(
                identity,
                endpoint.service,
                time.token_seconds,
                time.samples,
                view.slowness.get(identity, 1.0),
                view.token_seconds,
                speeds.reporters(identity),
            )
        )

    async def _send(self, host: str, speeds: list[ReportedSpeed]) -> None:
        report = SpeedReport(
            self._link.host,
            self._link.incarnation,
            self._link.next_number(),
            tuple(speeds),
        )
        ingress_metrics.SPEED_REPORTS.inc()
        await self._link.send_to(host, report.encode())
