"""Tells peers of requests under which endpoints crashed."""

from __future__ import annotations

from itertools import islice

import trio

from piershore.core.fleet.report_pace import passes_on
from piershore.core.quarantine.crash_note import CrashNote, encode_notes
from piershore.ingress.gateway_state import GatewayState
from piershore.ingress.peers.peer_link import PeerLink
from piershore.telemetry import ingress_metrics
from piershore.telemetry.events import RequestHeld

REPEAT_SECONDS = 0.3
"""News is told twice: a datagram may get lost, and a link may be down for a moment."""
RETELL_SECONDS = 1.0
RETELL_HOSTS = 3
"""Peers that hear each second again what is held, picked at random: who missed the
news, or has just started, knows within some seconds. For one request of 150 bytes that
is 0.5 KB a second, whatever the number of gateways."""
MOST_TOLD = 8
"""Requests in one datagram of these; the others come in turn."""


class CrashNews:
    """Sends notes of crashes, and takes those of peers."""

    def __init__(self, state: GatewayState, link: PeerLink) -> None:
        self._state = state
        self._link = link
        self._turn = 0
        self._nursery: trio.Nursery | None = None

    def start(self, nursery: trio.Nursery) -> None:
        """Send in a nursery of the process, and take what peers send."""
        self._nursery = nursery
        self._link.use_crash_news(self.take, self.greet)

    def tell(self, content: str) -> None:
        """Tell all peers at once of a crash, an excuse or a probe."""
        if self._nursery is not None:
            self._nursery.start_soon(self._spread, content)

    def greet(self, host: str) -> None:
        """Tell a peer that has just come of what is held, as some others do too."""
        peers = self._state.gateways - 1
        if self._nursery is not None and passes_on(peers, self._state.random.random()):
            self._nursery.start_soon(self._tell_held, [host])

    def take(self, notes: tuple[CrashNote, ...]) -> None:
        """Add what a peer knows."""
        for note in notes:
            self._take(note, trio.current_time())
        ingress_metrics.QUARANTINED.set(len(self._state.quarantine))

    def _take(self, note: CrashNote, now: float) -> None:
        quarantine = self._state.quarantine
        was_held = quarantine.is_held(note.content)
        if not quarantine.take(note, now):
            return
        if quarantine.excuse_sound(note.content, now):
            self.tell(note.content)
        if quarantine.is_held(note.content) == was_held:
            return
        event = RequestHeld(
            note.content,
            not was_held,
            tuple(sorted(note.crashed)),
            quarantine.seconds_held(note.content, now),
        )
        self._state.log.write(event, is_failure=True)

    async def run(self) -> None:
        """Tell again what is held, for ever."""
        while True:
            await trio.sleep(RETELL_SECONDS)
            hosts = self._link.living_hosts()
            count = min(RETELL_HOSTS, len(hosts))
            await self._tell_held(self._state.random.sample(hosts, count))

    async def _spread(self, content: str) -> None:
        for pause in (0.0, REPEAT_SECONDS):
            await trio.sleep(pause)
            note = self._state.quarantine.note(content)
            if note is not None:
                await self._send([note], self._link.living_hosts())

    async def _tell_held(self, hosts: list[str]) -> None:
        held = list(self._state.quarantine.held())
        start = self._turn % len(held) if held else 0
        told = list(islice(held[start:] + held[:start], MOST_TOLD))
        self._turn = start + len(told)
        if told:
            await self._send(told, hosts)

    async def _send(self, notes: list[CrashNote], hosts: list[str]) -> None:
        data = encode_notes(notes)
        for host in hosts:
            await self._link.send_to(host, data)
