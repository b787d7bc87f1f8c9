"""Reports to peers about requests that crash endpoints."""

from __future__ import annotations

from collections.abc import Collection, Iterator
from itertools import islice

import trio

from piershore.core.fleet.report_timing import should_forward
from piershore.core.quarantine.crash_report import CrashReport, encode_reports
from piershore.core.quarantine.request_traits import is_trait
from piershore.ingress.gateway_state import GatewayState
from piershore.ingress.peers.peer_link import PeerLink
from piershore.telemetry import ingress_metrics
from piershore.telemetry.events import RequestHeld

REPEAT_DELAY_SECONDS = 0.3
"""Delay before a report is sent a second time: a datagram may get lost, and a link may
be down for a moment."""
RESEND_INTERVAL_SECONDS = 1.0
RESEND_PEERS = 3
"""Number of peers, picked at random, that are sent the quarantined requests again each
second: a gateway that missed a report, or has just started, learns of them within a few
seconds. One request of 150 bytes costs 0.5 KB a second for any number of gateways."""
MAX_RESENT_REQUESTS = 8
"""Maximum number of requests in one repeated datagram; the others follow in turn."""
MAX_START_WAIT_SECONDS = 0.3
"""How long a process that starts waits for a peer's reports before it takes requests; a
peer answers within milliseconds."""
MAX_SENT_REPORTS = 32
"""Maximum number of reports in one datagram: some 5 KB, and 20 KB with the longest."""


class CrashReporter:
    """Sends reports of crashes to peers, and applies theirs."""

    def __init__(self, state: GatewayState, link: PeerLink) -> None:
        self._state = state
        self._link = link
        self._next_index = 0
        self._started_at = float("-inf")
        self._has_received = False
        self._nursery: trio.Nursery | None = None

    def start(self, nursery: trio.Nursery) -> None:
        """Set the nursery to send in, and start to apply reports of peers."""
        self._nursery = nursery
        self._started_at = trio.current_time()
        self._link.set_crash_handlers(
            self.apply_reports, self.send_to_new_peer, self.send_to_new_process
        )

    def announce(self, subjects: Collection[str]) -> None:
        """Report crashes, cleared subjects or probes to all peers at once."""
        if self._nursery is not None and subjects:
            self._nursery.start_soon(self._send_to_all, tuple(subjects))

    @property
    def is_informed(self) -> bool:
        """Whether a peer has sent what is in quarantine, or none seems to be there."""
        age = trio.current_time() - self._started_at
        return self._has_received or age >= MAX_START_WAIT_SECONDS

    def send_to_new_process(self, host: str) -> None:
        """Send a peer that has just started all that is in quarantine.

        It waits for that, so something is sent in any case.
        """
        if self._nursery is not None:
            self._nursery.start_soon(self._send_all_quarantined, host)

    def send_to_new_peer(self, host: str) -> None:
        """Send a new peer the quarantined requests; only some gateways do so."""
        peers = self._state.gateway_count - 1
        if self._nursery is not None and should_forward(
            peers, self._state.random.random()
        ):
            self._nursery.start_soon(self._send_quarantined, [host])

    def apply_reports(self, reports: tuple[CrashReport, ...]) -> None:
        """Merge a peer's reports into the quarantine."""
        self._has_received = True
        now = trio.current_time()
        corrected = [r.content for r in reports if self._apply_report(r, now)]
        self.announce(corrected)
        self._state.crash_detector.recall_quarantined()
        ingress_metrics.QUARANTINED_REQUESTS.set(len(self._state.quarantine))

    def _apply_report(self, report: CrashReport, now: float) -> bool:
        """Apply one report; return whether its sender lacks what clears its subject."""
        quarantine = self._state.quarantine
        was_quarantined = quarantine.is_quarantined(report.content)
        is_new = quarantine.apply_report(report, now)
        needs_answer = quarantine.needs_answer(report, now)
        if is_new and quarantine.is_quarantined(report.content) != was_quarantined:
            event = RequestHeld(
                report.content,
                not was_quarantined,
                tuple(sorted(report.crashed)),
                quarantine.seconds_until_probe(report.content, now),
            )
            self._state.log.write(event, is_failure=True)
        return needs_answer

    async def run(self) -> None:
        """Send the quarantined requests again periodically, until cancelled."""
        while True:
            await trio.sleep(RESEND_INTERVAL_SECONDS)
            hosts = self._link.living_hosts()
            count = min(RESEND_PEERS, len(hosts))
            await self._send_quarantined(self._state.random.sample(hosts, count))

    async def _send_to_all(self, subjects: tuple[str, ...]) -> None:
        for pause in (0.0, REPEAT_DELAY_SECONDS):
            await trio.sleep(pause)
            for batch in _batches(list(self._reports(subjects))):
                await self._send(batch, self._link.living_hosts())

    async def _send_all_quarantined(self, host: str) -> None:
        for batch in _batches(self._quarantined_reports()) or [[]]:
            await self._send(batch, [host])

    def _quarantined_reports(self) -> list[CrashReport]:
        """Return the reports about all that is in quarantine."""
        now = trio.current_time()
        return list(self._state.quarantine.quarantined_reports(now))

    def _reports(self, subjects: tuple[str, ...]) -> Iterator[CrashReport]:
        """Yield the reports about subjects that are still remembered."""
        for subject in dict.fromkeys(subjects):
            report = self._state.quarantine.report(subject, trio.current_time())
            if report is not None:
                yield report

    async def _send_quarantined(self, hosts: list[str]) -> None:
        quarantined = self._quarantined_reports()
        start = self._next_index % len(quarantined) if quarantined else 0
        selected = list(
            islice(quarantined[start:] + quarantined[:start], MAX_RESENT_REQUESTS)
        )
        self._next_index = start + len(selected)
        for batch in _batches(selected):
            await self._send(batch, hosts)

    async def _send(self, reports: list[CrashReport], hosts: list[str]) -> None:
        data = encode_reports(reports)
        for host in hosts:
            await self._link.send_to(host, data)


def _batches(reports: list[CrashReport]) -> list[list[CrashReport]]:
    """Return the reports in lists that fit into a datagram each.

    Gateways of an earlier build reject datagrams with reports about traits.
    """
    batches: list[list[CrashReport]] = []
    for kind in (True, False):
        of_kind = [r for r in reports if is_trait(r.content) is kind]
        starts = range(0, len(of_kind), MAX_SENT_REPORTS)
        batches += [of_kind[start : start + MAX_SENT_REPORTS] for start in starts]
    return batches
