"""Follows the platform's list of endpoints in the store or at peers."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable

import trio

from piershore.core.fleet.endpoint import Endpoint, EndpointStage
from piershore.core.fleet.endpoint_directory import Departure
from piershore.core.fleet.peer_report import DepartureReport
from piershore.core.fleet.store_revision import StoreRevision
from piershore.ingress.followers.store_follower import StoreFollower
from piershore.ingress.gateway_state import GatewayState
from piershore.ingress.ports import EndpointChange, EndpointFeed
from piershore.telemetry import ingress_metrics
from piershore.telemetry.events import InvalidEntry

DOUBT_SECONDS = 3.0
"""An entry removed this soon after an outage may only have expired during it."""
BATCH_SECONDS = 0.03
"""Pause after changes, so that simultaneous ones (engines that leave together) share a
call. Each call has a cost and each change wakes all watchers; the shortest notice of an
engine is fifty times longer."""
FEW_ENDPOINTS = 2
"""If at least so many endpoints of a service, and at least half of all of them, are
removed at once without notice, they are assumed to have expired: endpoints are replaced
a few at a time."""
SWEEP_SECONDS = 0.25

OnDeparture = Callable[[Departure], None]


class EndpointFollower(StoreFollower):
    """Keeps the directory of endpoints up to date."""

    def __init__(
        self,
        state: GatewayState,
        feed: EndpointFeed,
        watch_seconds: float,
        on_departure: OnDeparture,
    ) -> None:
        super().__init__(state, "endpoints", watch_seconds, feed)
        self._feed = feed
        self._on_departure = on_departure
        self._is_known = False

    @property
    def is_known(self) -> bool:
        """Whether a complete list was received, from the store or from a peer."""
        return self._is_known

    async def sweep(self) -> None:
        """Drop entries that did not return after an outage; run until cancelled."""
        while True:
            await trio.sleep(SWEEP_SECONDS)
            if not self.health.is_out:
                now = trio.current_time()
                self.handle_departures(self._state.directory.drop_expired(now))

    def apply_from_peer(
        self, endpoints: Iterable[Endpoint], revision: StoreRevision
    ) -> None:
        """Apply a peer's list if it is newer; used without a watch of the store."""
        if revision > self._state.directory.revision:
            self._take_all(tuple(endpoints), revision, after_outage=False)

    def apply_departure(self, note: DepartureReport) -> None:
        """Apply a peer's report that an endpoint leaves, was removed or restarted."""
        directory = self._state.directory
        if note.is_restarted:
            self.handle_departures(directory.mark_restarted(note.identity))
            return
        if not note.is_gone:
            self.handle_departures(directory.mark_leaving(note.identity))
            return
        now = trio.current_time()
        self.handle_departures(directory.remove(note.identity, now, after_outage=False))

    async def _read(self) -> StoreRevision:
        endpoints, revision = await self._feed.read()
        for endpoint in endpoints:
            self._state.cold_starts.record_entry(endpoint, trio.current_time())
        self._take_all(endpoints, revision, after_outage=self._is_after_outage())
        self._log_findings()
        return revision

    async def _take_changes_after(
        self, revision: StoreRevision, wait: float
    ) -> StoreRevision:
        changes, reached = await self._feed.changes(revision, wait)
        self._take_changes(changes)
        self._state.directory.advance(reached)
        self._log_findings()
        if changes:
            await trio.sleep(BATCH_SECONDS)
        return reached

    def _log_findings(self) -> None:
        for finding in self._feed.pop_findings():
            self._state.log.write(InvalidEntry("endpoint", finding), is_failure=True)

    def _is_after_outage(self) -> bool:
        return self.health.seconds_since_outage() < DOUBT_SECONDS

    def _take_all(
        self,
        endpoints: tuple[Endpoint, ...],
        revision: StoreRevision,
        *,
        after_outage: bool,
    ) -> None:
        now = trio.current_time()
        if self._is_known:
            self._note_starts(endpoints, now)
        departures = self._state.directory.replace_all(
            endpoints, revision, now, after_outage=after_outage
        )
        self._is_known = True
        self.handle_departures(departures)

    def _note_starts(self, endpoints: Iterable[Endpoint], now: float) -> None:
        """Record endpoints that weren't known as just started.

        A peer's list doesn't say how cold they are.
        """
        for endpoint in endpoints:
            if self._state.directory.get(endpoint.identity) is None:
                self._state.cold_starts.record_start(endpoint, now)

    def _take_changes(self, changes: tuple[EndpointChange, ...]) -> None:
        now = trio.current_time()
        doubtful = self._lapsed_services(changes)
        directory = self._state.directory
        for change in changes:
            if change.endpoint is not None:
                self._state.cold_starts.record_entry(change.endpoint, now)
                self.handle_departures(directory.put(change.endpoint))
                continue
            known = self._known(change)
            if known is None:
                continue
            in_doubt = known.service in doubtful or self._is_after_outage()
            self.handle_departures(
                directory.remove(known.identity, now, after_outage=in_doubt)
            )

    def _lapsed_services(self, changes: tuple[EndpointChange, ...]) -> set[str]:
        """Return the services of which too many endpoints are removed at once."""
        directory = self._state.directory
        going = Counter(
            known.service
            for change in changes
            if change.endpoint is None
            and (known := self._known(change)) is not None
            and known.stage is EndpointStage.READY
        )
        return {
            service
            for service, count in going.items()
            if count >= FEW_ENDPOINTS
            and 2 * count >= sum(1 for _ in directory.of_service(service))
        }

    def _known(self, change: EndpointChange) -> Endpoint | None:
        """Return the listed endpoint that a change is about, or None."""
        directory = self._state.directory
        return directory.get(directory.identity_of(change.name) or change.name)

    def handle_departures(self, departures: Iterable[Departure]) -> None:
        """Handle departures of endpoints, detected or reported in any way."""
        for departure in departures:
            self._on_departure(departure)
        stages = Counter(endpoint.stage for endpoint in self._state.directory)
        for stage in EndpointStage:
            ingress_metrics.ENDPOINTS.labels(stage).set(stages[stage])
