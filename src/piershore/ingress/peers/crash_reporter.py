"""Reports to peers about requests that crash endpoints."""

from __future__ import annotations

from itertools import islice

import trio

from piershore.core.fleet.report_timing import should_forward
from piershore.core.quarantine.crash_report import CrashReport, encode_reports
from piershore.ingress.gateway_state import GatewayState
from piershore.ingress.peers.peer_link import PeerLink
from piershore.telemetry import ingress_metrics
from piershore.telemetry.events import RequestHeld

REPEAT_SECONDS = 0.3
"""Delay before a report is sent a second time: a datagram may get lost, and a link may
be down for a moment."""
RETELL_SECONDS = 1.0
RETELL_HOSTS = 3
"""Number of peers, picked at random, that are sent the quarantined requests again each
second: a gateway that missed a report, or has just started, learns of them within a few
seconds. One request of 150 bytes costs 0.5 KB a second for any number of gateways."""
MOST_TOLD = 8
"""Maximum number of requests in one repeated datagram; the others follow in turn."""


class CrashReporter:
    """Sends reports of crashes to peers, and applies theirs."""

    def __init__(self, state: GatewayState, link: PeerLink) -> None:
        self._state = state
        self._link = link
        self._turn = 0
        self._nursery: trio.Nursery | None = None

    def start(self, nursery: trio.Nursery) -> None:
        """Set the nursery to send in, and start to apply reports of peers."""
        self._nursery = nursery
        self._link.set_crash_handlers(self.apply_reports, self.send_to_new_peer)

    def announce(self, content: str) -> None:
        """Report a crash, a cleared request or a probe to all peers at once."""
        if self._nursery is not None:
            self._nursery.start_soon(self._spread, content)

    def send_to_new_peer(self, host: str) -> None:
        """Send a new peer the quarantined requests; only some gateways do so."""
        peers = self._state.gateway_count - 1
        if self._nursery is not None and should_forward(
            peers, self._state.random.random()
        ):
            self._nursery.start_soon(self._tell_held, [host])

    def apply_reports(self, notes: tuple[CrashReport, ...]) -> None:
        """Merge a peer's reports into the quarantine."""
        for note in notes:
            self._take(note, trio.current_time())
        ingress_metrics.QUARANTINED.set(len(self._state.quarantine))

    def _take(self, note: CrashReport, now: float) -> None:
        quarantine = self._state.quarantine
        was_held = quarantine.is_quarantined(note.content)
        if not quarantine.apply_report(note, now):
            return
        if quarantine.clear_if_completed(note.content, now):
            self.announce(note.content)
        if quarantine.is_quarantined(note.content) == was_held:
            return
        event = RequestHeld(
            note.content,
            not was_held,
            tuple(sorted(note.crashed)),
            quarantine.seconds_until_release(note.content, now),
        )
        self._state.log.write(event, is_failure=True)

    async def run(self) -> None:
        """Send the quarantined requests again periodically, until cancelled."""
        while True:
            await trio.sleep(RETELL_SECONDS)
            hosts = self._link.living_hosts()
            count = min(RETELL_HOSTS, len(hosts))
            await self._tell_held(self._state.random.sample(hosts, count))

    async def _spread(self, content: str) -> None:
        for pause in (0.0, REPEAT_SECONDS):
            await trio.sleep(pause)
            note = self._state.quarantine.report(content)
            if note is not None:
                await self._send([note], self._link.living_hosts())

    async def _tell_held(self, hosts: list[str]) -> None:
        held = list(self._state.quarantine.quarantined_reports())
        start = self._turn % len(held) if held else 0
        told = list(islice(held[start:] + held[:start], MOST_TOLD))
        self._turn = start + len(told)
        if told:
            await self._send(told, hosts)

    async def _send(self, notes: list[CrashReport], hosts: list[str]) -> None:
        data = encode_reports(notes)
        for host in hosts:
            await self._link.send_to(host, data)
