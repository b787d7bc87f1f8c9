"""Log events and gauges of the rate limits that endpoints advertise."""

from __future__ import annotations

from collections.abc import Mapping

import trio

from piershore.core.fleet.endpoint import Endpoint
from piershore.core.fleet.endpoint_directory import EndpointDirectory
from piershore.core.fleet.endpoint_rate_limits import EndpointRateLimits, RateReport
from piershore.telemetry import ingress_metrics
from piershore.telemetry.event_log import EventLog
from piershore.telemetry.events import EndpointLimitChanged

SOURCE_ENDPOINT = "endpoint"
"""Source of a limit that an endpoint advertised in an answer to this gateway."""


class RateLimitMonitor:
    """Logs when a rate limit begins, changes or ends, and who reported it."""

    def __init__(
        self, limits: EndpointRateLimits, directory: EndpointDirectory, log: EventLog
    ) -> None:
        self._limits = limits
        self._directory = directory
        self._log = log
        self._with_gauges: set[str] = set()

    def apply_report(self, reports: Mapping[str, RateReport], peer: str) -> None:
        """Apply the rate limits that endpoints advertised to a peer."""
        for identity in self._limits.apply_report(reports, trio.current_time()):
            self.record_change(identity, peer)

    def record_change(self, identity: str, source: str = SOURCE_ENDPOINT) -> None:
        """Log that the rate limit of an endpoint has changed."""
        endpoint = self._directory.get(identity)
        if endpoint is None:
            return
        quota = self._limits.quota(endpoint)
        event = EndpointLimitChanged(
            identity,
            self._limits.rate(identity) if quota else None,
            quota.requests if quota else None,
            quota.window if quota else None,
            source,
        )
        self._log.write(event, is_failure=True)

    def update_gauges(self) -> None:
        """Drop expired limits, and set the gauges."""
        self._limits.drop_expired(trio.current_time())
        limited = set(self._limits.limited())
        for identity in self._with_gauges - limited:
            ingress_metrics.ENDPOINT_RATE_LIMITS.remove(identity)
            ingress_metrics.ENDPOINT_RATE_QUOTAS.remove(identity)
        self._with_gauges = set()
        for endpoint in filter(None, map(self._directory.get, limited)):
            self._update_endpoint_gauges(endpoint)

    def _update_endpoint_gauges(self, endpoint: Endpoint) -> None:
        identity = endpoint.identity
        quota = self._limits.quota(endpoint)
        ingress_metrics.ENDPOINT_RATE_LIMITS.labels(identity).set(
            self._limits.rate(identity)
        )
        quota_rate = quota.requests / quota.window
        ingress_metrics.ENDPOINT_RATE_QUOTAS.labels(identity).set(quota_rate)
        self._with_gauges.add(identity)
