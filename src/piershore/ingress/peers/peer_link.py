"""Reports between gateways, sent to each peer as datagrams several times a second."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from uuid import uuid4

import trio

from piershore.core.attempts.leaving import RESTART_SECONDS, retry_after_seconds
from piershore.core.fleet.evacuation_plan import StreamReport
from piershore.core.fleet.load_update import LoadUpdate
from piershore.core.fleet.output_lengths import LengthSums
from piershore.core.fleet.peer_report import (
    DepartureReport,
    InvalidReportError,
    PeerReport,
)
from piershore.core.fleet.peer_table import PeerTable, SILENT_PEER_ROUND_INTERVAL
from piershore.core.fleet.report_timing import (
    MIN_TRIGGERED_INTERVAL_SECONDS,
    peer_timeout,
    report_interval,
    should_forward,
    triggered_report_interval,
)
from piershore.core.fleet.store_silence import is_store_silent, StoreLiveness
from piershore.core.fleet.watchers import should_watch_store, WatchCandidate
from piershore.core.mechanism import Mechanism
from piershore.core.quarantine.crash_report import (
    CrashReport,
    decode_reports,
    holds_crash_reports,
)
from piershore.ingress.attempts.attempt_log import eject_on_shared_failures
from piershore.ingress.followers.drain_follower import DrainFollower
from piershore.ingress.gateway_state import GatewayState
from piershore.ingress.live_stream import LiveStreams
from piershore.settings.box_settings import BoxSettings
from piershore.telemetry import ingress_metrics
from piershore.telemetry.events import (
    DependencyLost,
    DependencyRegained,
    ReportShortened,
)

DEPARTED_SECONDS = 2.0
"""How long reports name an endpoint as departed: some reports may be lost."""
MEMBERS_EVERY = 10
"""Only each tenth report has the members and the output lengths: in a fleet of 30 they
are three quarters of a report."""
MEMBERS_TOLD_SECONDS = 3.0
"""How long each report has the members after the set of live peers has changed."""
LARGEST_DATAGRAM = 60_000
PEER_LOAD_SECONDS = 1.0
"""How long a peer's work still counts after the peer has fallen silent."""


class PeerLink:
    """Sends this gateway's reports, and receives and applies those of its peers."""

    def __init__(
        self,
        state: GatewayState,
        settings: BoxSettings,
        live: LiveStreams,
        reads_store: Callable[[], bool],
        store_sign: Callable[[], StoreLiveness],
        on_departed: Callable[[DepartureReport], None],
        drains: DrainFollower,
    ) -> None:
        self._state = state
        self.host = settings.host
        self._data_hall = settings.data_hall
        self._link_megabits = settings.link_megabits
        self._port = settings.peer_ports[0]
        self._grace = settings.stop_grace
        self._live = live
        self._reads_store = reads_store
        self._store_sign = store_sign
        self._on_departed = on_departed
        self._drains = drains
        self._departed: dict[DepartureReport, float] = {}
        self._heard: dict[DepartureReport, float] = {}
        self._wake, self._failed = trio.Event(), trio.Event()
        seeds = [seed.host for seed in settings.seeds]
        self.table = PeerTable(settings.host, seeds, trio.current_time())
        self.incarnation = uuid4().hex[:12]
        self._number = 0
        # The first report goes to all seeds, so that peers are known 0.1 s after the
        # start and not 1.0 s: until then, no peer reports which requests are
        # quarantined or cleared.
        self._rounds = SILENT_PEER_ROUND_INTERVAL - 1
        self._sent_at = float("-inf")
        self._is_whole = True
        self._socket: trio.socket.SocketType | None = None
        self._living: set[str] = set()
        self._leaving_since: dict[str, float] = {}
        self._living_changed_at = float("-inf")
        self._take_crash_notes: Callable[[tuple[CrashReport, ...]], None] = _ignore
        self._greet: Callable[[str], None] = _ignore

    def set_crash_handlers(
        self,
        take: Callable[[tuple[CrashReport, ...]], None],
        greet: Callable[[str], None],
    ) -> None:
        """Set the callbacks for crash reports of peers and for each new peer's host."""
        self._take_crash_notes = take
        self._greet = greet

    async def start(self) -> None:
        """Bind the socket."""
        self._socket = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
        await self._socket.bind((self.host, self._port))

    def close(self) -> None:
        """Close the socket."""
        if self._socket is not None:
            self._socket.close()

    async def receive(self) -> None:
        """Receive datagrams and apply them, until cancelled."""
        while True:
            try:
                data, _ = await self._socket.recvfrom(LARGEST_DATAGRAM)
                self._take_datagram(data)
            except InvalidReportError as error:
                self._state.log.write(DependencyLost("peers", error.message))
                continue
            except OSError as error:
                # The closed port of a peer can cause an error on this socket.
                self._state.log.write(DependencyLost("peers", str(error)))
                continue

    def _take_datagram(self, data: bytes) -> None:
        if holds_crash_reports(data):
            self._take_crash_notes(decode_reports(data))
        elif LoadUpdate.is_load_update(data):
            self._take_note(LoadUpdate.decode(data))
        else:
            self._take(PeerReport.decode(data))

    def _take_note(self, note: LoadUpdate) -> None:
        if self._state.is_enabled(Mechanism.PEER_LOADS) and self.table.is_newer(note):
            self._state.fleet_load.apply_update(note.host, note.endpoint, note.load)

    async def send(self) -> None:
        """Send reports regularly and soon after changes, until cancelled."""
        while True:
            await self.send_now()
            peers = len(self._living)
            with trio.move_on_after(report_interval(peers)):
                await self._wait_for_news(triggered_report_interval(peers))
            self._wake, self._failed = trio.Event(), trio.Event()
            await trio.sleep(MIN_TRIGGERED_INTERVAL_SECONDS)

    async def _wait_for_news(self, gap: float) -> None:
        """Return at once when peers must be informed.

        After a failure of an endpoint, return `gap` seconds after the last report.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._wait_for_failure, gap, nursery.cancel_scope)
            await self._wake.wait()
            nursery.cancel_scope.cancel()

    async def _wait_for_failure(self, gap: float, scope: trio.CancelScope) -> None:
        await self._failed.wait()
        await trio.sleep_until(self._sent_at + gap)
        scope.cancel()

    def announce(self) -> None:
        """Send a report soon."""
        self._wake.set()

    def announce_failure(self) -> None:
        """Send a report of a failure soon; failures in quick succession share one."""
        self._failed.set()

    def announce_departure(self, note: DepartureReport) -> None:
        """Report to peers that an endpoint leaves or was removed.

        Gateways that detected it do so, and some of those that received a report of it.
        """
        if note in self._heard:
            return
        self._departed[note] = trio.current_time() + DEPARTED_SECONDS
        self._wake.set()

    def should_watch(self) -> bool:
        """Return whether this gateway should watch the store itself."""
        if not self._state.is_enabled(Mechanism.FEW_WATCHERS):
            return True
        own = WatchCandidate(
            self.host, self._data_hall, self._reads_store(), self._link_megabits
        )
        peers = (
            WatchCandidate(
                peer.host,
                peer.report.data_hall,
                peer.report.reads_store,
                peer.report.link_megabits,
            )
            for peer in self.table.live_peers(trio.current_time())
            if not peer.report.is_leaving
        )
        return should_watch_store(own, peers)

    async def send_now(self) -> None:
        """Send one report to each peer."""
        now = trio.current_time()
        self._note_living(now)
        self._sent_at = now
        self._rounds += 1
        data = self._encode(self._report(now))
        for host in self.table.report_targets(self._rounds, now):
            await self.send_to(host, data)

    async def send_to(self, host: str, data: bytes) -> None:
        """Send one datagram to a peer; it may get lost."""
        try:
            await self._socket.sendto(data, (host, self._port))
        except OSError:
            # Datagrams may be lost; a peer that stays silent is logged.
            return

    def next_number(self) -> int:
        """Return the sequence number of the next report or load update."""
        self._number += 1
        return self._number

    def _encode(self, report: PeerReport) -> bytes:
        data = report.encode()
        is_whole = len(data) <= LARGEST_DATAGRAM
        if is_whole != self._is_whole:
            self._is_whole = is_whole
            change = ReportShortened(len(data), LARGEST_DATAGRAM, is_whole)
            self._state.log.write(change, is_failure=True)
        return data if is_whole else report.encode_within(LARGEST_DATAGRAM)

    def _report(self, now: float) -> PeerReport:
        state = self._state
        return PeerReport(
            host=self.host,
            data_hall=self._data_hall,
            incarnation=self.incarnation,
            number=self.next_number(),
            config_version=state.configuration.version,
            endpoint_revision=state.directory.revision,
            fingerprint=state.directory.fingerprint,
            reads_store=self._reads_store(),
            is_leaving=state.is_leaving,
            store_liveness=self._store_sign(),
            link_megabits=self._link_megabits,
            members=self.table.members(now) if self._tells_members(now) else (),
            loads=state.fleet_load.own_loads(),
            leaving=dict(self._leaving_notes()),
            departed=tuple(self._lately_departed(now)),
            outcomes=state.failures.report(now),
            cold=state.cold_starts.report(now),
            rate_limits=state.limits.report(now),
            drained=self._drains.view,
            lengths=self._told_lengths(now),
        )

    def _told_lengths(self, now: float) -> dict[str, LengthSums]:
        if self._rounds % MEMBERS_EVERY:
            return {}
        return self._state.lengths.report(now)

    def _tells_members(self, now: float) -> bool:
        has_changed = now - self._living_changed_at < MEMBERS_TOLD_SECONDS
        return has_changed or self._rounds % MEMBERS_EVERY == 0

    def _lately_departed(self, now: float) -> Iterator[DepartureReport]:
        _drop_old(self._departed, now)
        _drop_old(self._heard, now)
        yield from self._departed

    def living_hosts(self) -> list[str]:
        """Return the hosts of live peers that are not stopping."""
        living = self.table.live_peers(trio.current_time())
        return [peer.host for peer in living if not peer.report.is_leaving]

    def seconds_until_accepted(self) -> float:
        """Return the seconds until a refused caller finds a gateway that stays.

        If no peer has reported that it stops, others are assumed to stay, even if none
        is known.
        """
        own = self._state.leaving_since
        known = [*self._leaving_since.values(), *([own] if own is not None else [])]
        others_stay = bool(self.living_hosts()) or not self._leaving_since
        return retry_after_seconds(
            known, self._grace, trio.current_time(), others_stay=others_stay
        )

    def has_peer_reading_store(self) -> bool:
        """Return whether a live peer reads the store."""
        living = self.table.live_peers(trio.current_time())
        return any(peer.report.reads_store for peer in living)

    def store_seems_silent(self) -> bool:
        """Return whether the store seems to answer no gateway at all."""
        return is_store_silent(self._store_signs())

    def _store_signs(self) -> Iterator[StoreLiveness]:
        yield self._store_sign()
        now = trio.current_time()
        for peer in self.table.live_peers(now):
            sign = peer.report.store_liveness
            age = sign.answer_age + now - peer.report_received_at
            yield StoreLiveness(age, sign.is_overdue)

    def reported_streams_at(self, identity: str) -> Iterator[StreamReport]:
        """Yield the streams that live peers report at a leaving endpoint."""
        for peer in self.table.live_peers(trio.current_time()):
            yield from peer.report.leaving.get(identity, ())

    def _leaving_notes(self) -> Iterator[tuple[str, tuple[StreamReport, ...]]]:
        for identity in self._live.endpoints():
            if self._state.directory.is_leaving(identity):
                yield identity, tuple(self._live.reports(identity))

    def _take(self, report: PeerReport) -> None:
        now = trio.current_time()
        if not self.table.apply_report(report, now):
            return
        if report.is_leaving:
            self._leaving_since.setdefault(report.host, now)
        else:
            self._leaving_since.pop(report.host, None)
        if self._state.is_enabled(Mechanism.PEER_LOADS):
            self._state.fleet_load.apply_report(report.host, report.loads, now)
        self._state.failures.apply_report(report.host, report.outcomes, now)
        self._state.cold_starts.apply_report(report.cold, now)
        self._state.limit_monitor.apply_report(report.rate_limits, report.host)
        if report.lengths:
            self._state.lengths.apply_report(report.host, report.lengths, now)
        if report.drained is not None:
            self._drains.apply_from_peer(report.drained, report.host)
        for identity in report.outcomes:
            endpoint = self._state.directory.get(identity)
            if endpoint is not None:
                eject_on_shared_failures(self._state, endpoint)
        for note in report.departed:
            if note in self._departed or note in self._heard:
                continue
            if not should_forward(len(self._living), self._state.random.random()):
                self._heard[note] = now + DEPARTED_SECONDS
            self._on_departed(note)

    def _note_living(self, now: float) -> None:
        living = {peer.host for peer in self.table.live_peers(now)}
        for host in living - self._living:
            self._greet(host)
            self._state.log.write(DependencyRegained(f"peer {host}", 0.0))
        for host in self._living - living:
            self._state.log.write(DependencyLost(f"peer {host}", "silent"))
        if living != self._living:
            self._living_changed_at = now
            self._forget_returned(now)
        self._living = living
        self._state.subsets.set_peers(self.living_hosts())
        self._state.gateway_count = len(living) + 1
        ingress_metrics.PEERS.set(len(living))
        counts_for = peer_timeout(len(self.table)) + PEER_LOAD_SECONDS
        self._state.fleet_load.forget_peers(now - counts_for)

    def _forget_returned(self, now: float) -> None:
        """Drop stopping gateways that must have returned by now, or never will."""
        longest = self._grace + RESTART_SECONDS
        for host, since in list(self._leaving_since.items()):
            if now - since > longest:
                del self._leaving_since[host]


def _ignore(news: object) -> None:
    """Ignore crash reports and new peers until handlers are set."""


def _drop_old(notes: dict[DepartureReport, float], now: float) -> None:
    for note in [note for note, until in notes.items() if until < now]:
        del notes[note]
