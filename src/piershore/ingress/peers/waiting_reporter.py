"""Reports to peers about the generations that wait for memory at this gateway."""

from __future__ import annotations

import trio

from piershore.core.waiting.waiting_report import WAITING_PREFIX, WaitingReport
from piershore.ingress.gateway_state import GatewayState
from piershore.ingress.peers.peer_link import PeerLink
from piershore.telemetry import ingress_metrics

REPEAT_INTERVAL_SECONDS = 0.1
"""Interval of reports while something waits, the mean time between two checks."""
MAX_REPORTS_PER_SECOND = 300.0
"""Reports that one gateway sends to all peers together: with more peers, each of them
gets fewer."""


class WaitingReporter:
    """Sends reports while something waits or memory is reserved; applies others'."""

    def __init__(self, state: GatewayState, link: PeerLink) -> None:
        self._state = state
        self._link = link
        self._wake = trio.Event()

    def start(self) -> None:
        """Start to apply reports of peers."""
        self._link.add_handler(WAITING_PREFIX, self.apply)

    def schedule_report(self) -> None:
        """Report soon: something waits that didn't, or no longer does."""
        self._wake.set()

    def apply(self, data: bytes) -> None:
        """Apply a peer's report; raise `InvalidReportError` if it isn't valid."""
        report = WaitingReport.decode(data)
        if self._link.table.is_newer(report):
            self._state.waiting.apply_report(report, trio.current_time())

    async def run(self) -> None:
        """Send reports until cancelled, the last one when nothing waits any more."""
        while True:
            await self._wait(
                self._state.waiting.seconds_until_report(trio.current_time())
            )
            while await self._send():
                await self._wait(REPEAT_INTERVAL_SECONDS)

    async def _wait(self, seconds: float) -> None:
        """Wait until a report is scheduled, or at most this long."""
        with trio.move_on_after(seconds):
            await self._wake.wait()
        self._wake = trio.Event()

    async def _send(self) -> bool:
        """Send one report to each peer concerned; return whether it had content."""
        queue, link = self._state.waiting, self._link
        report = queue.report(link.incarnation, link.next_number(), trio.current_time())
        ingress_metrics.WAITING_GENERATIONS.set(len(queue))
        ingress_metrics.RETURN_PROMISES.set(len(queue.promises))
        data = report.encode()
        hosts = self._state.memory_scope.peers(queue.services())
        for host in hosts:
            ingress_metrics.WAITING_REPORTS.inc()
            await link.send_to(host, data)
        await trio.sleep(len(hosts) / MAX_REPORTS_PER_SECOND)
        return not report.is_empty
