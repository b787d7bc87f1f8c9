"""Reports between gateways, sent to each peer as datagrams several times a second."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from math import inf
from uuid import uuid4

import trio

from piershore.core.attempts.leaving import RESTART_SECONDS, retry_after_seconds
from piershore.core.fleet.evacuation_plan import StreamReport
from piershore.core.fleet.load_update import LOAD_UPDATE_PREFIX, LoadUpdate
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
from piershore.core.fleet.watchers import (
    is_relied_on,
    max_watcher_report_age,
    should_watch_store,
    WatchCandidate,
)
from piershore.core.mechanism import Mechanism
from piershore.core.process_pause import was_paused
from piershore.core.quarantine.crash_report import (
    CrashReport,
    decode_reports,
)
from piershore.core.quarantine.crash_report import (
    PREFIX as CRASH_REPORTS_PREFIX,
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

DEPARTURE_REPORT_SECONDS = 2.0
"""How long reports name an endpoint as departed: some reports may be lost."""
MEMBERS_REPORT_INTERVAL = 10
"""Only each tenth report contains the members and the output lengths: in a fleet of 30
they are three quarters of a report."""
MEMBERS_AFTER_CHANGE_SECONDS = 3.0
"""How long each report contains the members after the set of live peers has changed."""
MAX_DATAGRAM_BYTES = 60_000
PEER_LOAD_EXPIRY_SECONDS = 1.0
"""How long a peer's work still counts after the peer has fallen silent."""


class PeerLink:
    """Sends this gateway's reports, and receives and applies those of its peers."""

    def __init__(
        self,
        state: GatewayState,
        settings: BoxSettings,
        live: LiveStreams,
        reads_store: Callable[[], bool],
        store_liveness: Callable[[], StoreLiveness],
        on_departure: Callable[[DepartureReport], None],
        drains: DrainFollower,
    ) -> None:
        self._state = state
        self.host = settings.host
        self._data_hall = settings.data_hall
        self._link_megabits = settings.link_megabits
        self._port = settings.peer_ports[0]
        self._stop_grace = settings.stop_grace_seconds
        self._live = live
        self._reads_store = reads_store
        self._store_liveness = store_liveness
        self._on_departure = on_departure
        self._drains = drains
        self._announced_departures: dict[DepartureReport, float] = {}
        self._unforwarded_departures: dict[DepartureReport, float] = {}
        self._wake, self._failure = trio.Event(), trio.Event()
        seeds = [seed.host for seed in settings.seeds]
        self.table = PeerTable(settings.host, seeds, trio.current_time())
        self.incarnation = uuid4().hex[:12]
        self._number = 0
        # The first report goes to all seeds, so that peers are known 0.1 s after the
        # start and not 1.0 s: until then, no peer reports which requests are
        # quarantined or cleared.
        self._rounds = SILENT_PEER_ROUND_INTERVAL - 1
        self._sent_at = float("-inf")
        self._resumed_at = float("-inf")
        self._is_complete = True
        self._socket: trio.socket.SocketType | None = None
        self._live_hosts: set[str] = set()
        self._leaving_since: dict[str, float] = {}
        self._membership_changed_at = float("-inf")
        self._on_new_peer: Callable[[str], None] = _ignore
        self._on_new_process: Callable[[str], None] = _ignore
        self._handlers: dict[bytes, Callable[[bytes], None]] = {}
        self.add_handler(LOAD_UPDATE_PREFIX, self._apply_load_update)
        self.add_handler(CRASH_REPORTS_PREFIX, _ignore)

    def add_handler(self, prefix: bytes, apply: Callable[[bytes], None]) -> None:
        """Set the callback for datagrams whose first byte is `prefix`.

        It raises `InvalidReportError` if it can't decode one.
        """
        self._handlers[prefix] = apply

    def set_crash_handlers(
        self,
        apply_reports: Callable[[tuple[CrashReport, ...]], None],
        on_new_peer: Callable[[str], None],
        on_new_process: Callable[[str], None],
    ) -> None:
        """Set the callbacks for crash reports of peers and for each new peer's host.

        `on_new_process` gets the host of a peer whose process has just started and
        knows no other yet.
        """
        self.add_handler(
            CRASH_REPORTS_PREFIX, lambda data: apply_reports(decode_reports(data))
        )
        self._on_new_peer = on_new_peer
        self._on_new_process = on_new_process

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
                data, _ = await self._socket.recvfrom(MAX_DATAGRAM_BYTES)
                self._apply_datagram(data)
            except InvalidReportError as error:
                self._state.log.write(DependencyLost("peers", error.message))
                continue
            except OSError as error:
                # The closed port of a peer can cause an error on this socket.
                self._state.log.write(DependencyLost("peers", str(error)))
                continue

    def _apply_datagram(self, data: bytes) -> None:
        self._handlers.get(data[:1], self._apply_report_data)(data)

    def _apply_report_data(self, data: bytes) -> None:
        self._apply_report(PeerReport.decode(data))

    def _apply_load_update(self, data: bytes) -> None:
        update = LoadUpdate.decode(data)
        if self._state.is_enabled(Mechanism.PEER_LOADS) and self.table.is_newer(update):
            self._state.fleet_load.apply_update(
                update.host, update.endpoint, update.load
            )

    async def send(self) -> None:
        """Send reports regularly and soon after changes, until cancelled."""
        while True:
            await self.send_now()
            peers = len(self._live_hosts)
            due = trio.current_time() + report_interval(peers)
            with trio.move_on_at(due):
                await self._wait_for_change(triggered_report_interval(peers))
            if was_paused(due, now := trio.current_time()):
                self._resumed_at = now
            self._wake, self._failure = trio.Event(), trio.Event()
            await trio.sleep(MIN_TRIGGERED_INTERVAL_SECONDS)

    async def _wait_for_change(self, gap: float) -> None:
        """Return at once when peers must be informed.

        After a failure of an endpoint, return `gap` seconds after the last report.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._wait_for_failure, gap, nursery.cancel_scope)
            await self._wake.wait()
            nursery.cancel_scope.cancel()

    async def _wait_for_failure(self, gap: float, scope: trio.CancelScope) -> None:
        await self._failure.wait()
        await trio.sleep_until(self._sent_at + gap)
        scope.cancel()

    def announce(self) -> None:
        """Send a report soon."""
        self._wake.set()

    def announce_failure(self) -> None:
        """Send a report of a failure soon; failures in quick succession share one."""
        self._failure.set()

    def announce_departure(self, departure: DepartureReport) -> None:
        """Report to peers that an endpoint leaves or was removed.

        Gateways that detected it do so, and some of those that received a report of it.
        """
        if departure in self._unforwarded_departures:
            return
        self._announced_departures[departure] = (
            trio.current_time() + DEPARTURE_REPORT_SECONDS
        )
        self._wake.set()

    def should_watch(self) -> bool:
        """Return whether this gateway should watch the store itself."""
        if not self._state.is_enabled(Mechanism.FEW_WATCHERS):
            return True
        return should_watch_store(self._own_candidate, self._watch_candidates())

    def is_relied_on(self) -> bool:
        """Return whether other gateways rely on this one's watch of the store."""
        if not self._state.is_enabled(Mechanism.FEW_WATCHERS):
            return False
        return is_relied_on(self._own_candidate, self._watch_candidates())

    @property
    def _own_candidate(self) -> WatchCandidate:
        return WatchCandidate(
            self.host, self._data_hall, self._reads_store(), self._link_megabits
        )

    def _watch_candidates(self) -> Iterator[WatchCandidate]:
        now = trio.current_time()
        max_age = max_watcher_report_age(len(self._live_hosts))
        # After a pause of this process, reports may have arrived and not been read.
        oldest = now - max_age if now - self._resumed_at > max_age else -inf
        for peer in self.table.live_peers(now):
            report = peer.report
            if not report.is_leaving:
                yield WatchCandidate(
                    peer.host,
                    report.data_hall,
                    report.reads_store and peer.report_received_at >= oldest,
                    report.link_megabits,
                )

    async def send_now(self) -> None:
        """Send one report to each peer."""
        now = trio.current_time()
        self._update_live_hosts(now)
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
        is_complete = len(data) <= MAX_DATAGRAM_BYTES
        if is_complete != self._is_complete:
            self._is_complete = is_complete
            change = ReportShortened(len(data), MAX_DATAGRAM_BYTES, is_complete)
            self._state.log.write(change, is_failure=True)
        return data if is_complete else report.encode_within(MAX_DATAGRAM_BYTES)

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
            store_liveness=self._store_liveness(),
            link_megabits=self._link_megabits,
            members=self.table.members(now) if self._reports_members(now) else (),
            loads=state.fleet_load.own_loads(),
            leaving=dict(self._leaving_reports()),
            departed=tuple(self._recent_departures(now)),
            outcomes=state.failures.report(now),
            cold=state.cold_starts.report(now),
            rate_limits=state.limits.report(now),
            drained=self._drains.view,
            lengths=self._reported_lengths(now),
        )

    def _reported_lengths(self, now: float) -> dict[str, LengthSums]:
        if self._rounds % MEMBERS_REPORT_INTERVAL:
            return {}
        return self._state.lengths.report(now)

    def _reports_members(self, now: float) -> bool:
        has_changed = now - self._membership_changed_at < MEMBERS_AFTER_CHANGE_SECONDS
        return has_changed or self._rounds % MEMBERS_REPORT_INTERVAL == 0

    def _recent_departures(self, now: float) -> Iterator[DepartureReport]:
        _drop_expired(self._announced_departures, now)
        _drop_expired(self._unforwarded_departures, now)
        yield from self._announced_departures

    def living_hosts(self) -> list[str]:
        """Return the hosts of live peers that are not stopping."""
        live = self.table.live_peers(trio.current_time())
        return [peer.host for peer in live if not peer.report.is_leaving]

    def seconds_until_accepted(self) -> float:
        """Return the seconds until a refused caller finds a gateway that stays.

        If no peer has reported that it stops, others are assumed to stay, even if none
        is known.
        """
        own = self._state.leaving_since
        known = [*self._leaving_since.values(), *([own] if own is not None else [])]
        others_stay = bool(self.living_hosts()) or not self._leaving_since
        return retry_after_seconds(
            known, self._stop_grace, trio.current_time(), others_stay=others_stay
        )

    def has_peer_reading_store(self) -> bool:
        """Return whether a live peer reads the store."""
        live = self.table.live_peers(trio.current_time())
        return any(peer.report.reads_store for peer in live)

    def store_seems_silent(self) -> bool:
        """Return whether the store seems to answer no gateway at all."""
        return is_store_silent(self._store_liveness_reports())

    def _store_liveness_reports(self) -> Iterator[StoreLiveness]:
        yield self._store_liveness()
        now = trio.current_time()
        for peer in self.table.live_peers(now):
            liveness = peer.report.store_liveness
            age = liveness.answer_age + now - peer.report_received_at
            yield StoreLiveness(age, liveness.is_overdue)

    def reported_streams_at(self, identity: str) -> Iterator[StreamReport]:
        """Yield the streams that live peers report at a leaving endpoint."""
        for peer in self.table.live_peers(trio.current_time()):
            yield from peer.report.leaving.get(identity, ())

    def _leaving_reports(self) -> Iterator[tuple[str, tuple[StreamReport, ...]]]:
        for identity in self._live.endpoints():
            if self._state.directory.is_leaving(identity):
                yield identity, tuple(self._live.reports(identity))

    def _apply_report(self, report: PeerReport) -> None:
        now = trio.current_time()
        is_from_new_process = self.table.is_from_new_process(report)
        if not self.table.apply_report(report, now):
            return
        if is_from_new_process and not report.members:
            self._on_new_process(report.host)
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
        for departure in report.departed:
            if (
                departure in self._announced_departures
                or departure in self._unforwarded_departures
            ):
                continue
            if not should_forward(len(self._live_hosts), self._state.random.random()):
                self._unforwarded_departures[departure] = now + DEPARTURE_REPORT_SECONDS
            self._on_departure(departure)

    def _update_live_hosts(self, now: float) -> None:
        live = {peer.host for peer in self.table.live_peers(now)}
        for host in live - self._live_hosts:
            self._on_new_peer(host)
            self._state.log.write(DependencyRegained(f"peer {host}", 0.0))
        for host in self._live_hosts - live:
            self._state.log.write(DependencyLost(f"peer {host}", "silent"))
        if live != self._live_hosts:
            self._membership_changed_at = now
            self._drop_returned(now)
        self._live_hosts = live
        self._state.subsets.set_peers(self.living_hosts())
        self._state.gateway_count = len(live) + 1
        ingress_metrics.PEERS.set(len(live))
        expiry = peer_timeout(len(self.table)) + PEER_LOAD_EXPIRY_SECONDS
        self._state.fleet_load.forget_peers(now - expiry)

    def _drop_returned(self, now: float) -> None:
        """Drop stopping gateways that must have returned by now, or never will."""
        max_absence = self._stop_grace + RESTART_SECONDS
        for host, since in list(self._leaving_since.items()):
            if now - since > max_absence:
                del self._leaving_since[host]


def _ignore(value: object) -> None:
    """Ignore crash reports and new peers until handlers are set."""


def _drop_expired(departures: dict[DepartureReport, float], now: float) -> None:
    for departure in [d for d, until in departures.items() if until < now]:
        del departures[departure]
