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

AFTER_OUTAGE_SECONDS = 3.0
"""An entry removed this soon after an outage may only have expired during it."""
BATCH_SECONDS = 0.03
"""Pause after changes, so that simultaneous ones (engines that leave together) share a
call. Each call has a cost and each change wakes all watchers; the shortest notice of an
engine is fifty times longer."""
MIN_EXPIRED_ENDPOINTS = 2
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
            self._replace_all(tuple(endpoints), revision, after_outage=False)

    def apply_departure(self, departure: DepartureReport) -> None:
        """Apply a peer's report that an endpoint leaves, was removed or restarted."""
        directory = self._state.directory
        if departure.is_restarted:
            self.handle_departures(directory.mark_restarted(departure.identity))
            return
        if not departure.is_gone:
            self.handle_departures(directory.mark_leaving(departure.identity))
            return
        now = trio.current_time()
        self.handle_departures(
            directory.remove(departure.identity, now, after_outage=False)
        )

    async def _read(self) -> StoreRevision:
        endpoints, revision = await self._feed.read()
        for endpoint in endpoints:
            self._state.cold_starts.record_entry(endpoint, trio.current_time())
        self._replace_all(endpoints, revision, after_outage=self._is_after_outage())
        self._log_findings()
        return revision

    async def _apply_changes_after(
        self, revision: StoreRevision, wait: float
    ) -> StoreRevision:
        changes, reached = await self._feed.changes(revision, wait)
        self._apply_changes(changes)
        self._state.directory.advance(reached)
        self._log_findings()
        if changes:
            await trio.sleep(BATCH_SECONDS)
        return reached

    def _log_findings(self) -> None:
        for finding in self._feed.pop_findings():
            self._state.log.write(InvalidEntry("endpoint", finding), is_failure=True)

    def _is_after_outage(self) -> bool:
        return self.health.seconds_since_outage() < AFTER_OUTAGE_SECONDS

    def _replace_all(
        self,
        endpoints: tuple[Endpoint, ...],
        revision: StoreRevision,
        *,
        after_outage: bool,
    ) -> None:
        now = trio.current_time()
        if self._is_known:
            self._record_starts(endpoints, now)
        departures = self._state.directory.replace_all(
            endpoints, revision, now, after_outage=after_outage
        )
        self._is_known = True
        self.handle_departures(departures)

    def _record_starts(self, endpoints: Iterable[Endpoint], now: float) -> None:
        """Record endpoints that weren't known as just started.

        A peer's list doesn't say how cold they are.
        """
        for endpoint in endpoints:
            if self._state.directory.get(endpoint.identity) is None:
                self._state.cold_starts.record_start(endpoint, now)

    def _apply_changes(self, changes: tuple[EndpointChange, ...]) -> None:
        now = trio.current_time()
        expired_services = self._services_with_expired_entries(changes)
        directory = self._state.directory
        for change in changes:
            if change.endpoint is not None:
                self._state.cold_starts.record_entry(change.endpoint, now)
                self.handle_departures(directory.put(change.endpoint))
                continue
            known = self._listed_endpoint(change)
            if known is None:
                continue
            may_have_expired = (
                known.service in expired_services or self._is_after_outage()
            )
            self.handle_departures(
                directory.remove(known.identity, now, after_outage=may_have_expired)
            )

    def _services_with_expired_entries(
        self, changes: tuple[EndpointChange, ...]
    ) -> set[str]:
        """Return the services of which too many endpoints are removed at once."""
        directory = self._state.directory
        removed = Counter(
            known.service
            for change in changes
            if change.endpoint is None
            and (known := self._listed_endpoint(change)) is not None
            and known.stage is EndpointStage.READY
        )
        return {
            service
            for service, count in removed.items()
            if count >= MIN_EXPIRED_ENDPOINTS
            and 2 * count >= sum(1 for _ in directory.of_service(service))
        }

    def _listed_endpoint(self, change: EndpointChange) -> Endpoint | None:
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
