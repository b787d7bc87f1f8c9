"""Log lines and gauges of the rates that endpoints take."""

from __future__ import annotations

from collections.abc import Mapping

import trio

from piershore.core.fleet.endpoint import Endpoint
from piershore.core.fleet.endpoint_directory import EndpointDirectory
from piershore.core.fleet.endpoint_rate_limits import EndpointRateLimits, RateReport
from piershore.telemetry import ingress_metrics
from piershore.telemetry.event_log import EventLog
from piershore.telemetry.events import EndpointLimitChanged

OWN_ANSWER = "endpoint"
"""Source of what an endpoint's answer to this gateway named."""


class RateLimitMonitor:
    """Tells when a limit begins, changes or ends, and who told of it."""

    def __init__(
        self, limits: EndpointRateLimits, directory: EndpointDirectory, log: EventLog
    ) -> None:
        self._limits = limits
        self._directory = directory
        self._log = log
        self._measured: set[str] = set()

    def apply_report(self, told: Mapping[str, RateReport], peer: str) -> None:
        """Take what a peer's answers named."""
        for identity in self._limits.apply_report(told, trio.current_time()):
            self.record_change(identity, peer)

    def record_change(self, identity: str, source: str = OWN_ANSWER) -> None:
        """Log that an endpoint takes another rate than before."""
        endpoint = self._directory.get(identity)
        if endpoint is None:
            return
        quota = self._limits.part(endpoint)
        event = EndpointLimitChanged(
            identity,
            self._limits.rate(identity) if quota else None,
            quota.requests if quota else None,
            quota.window if quota else None,
            source,
        )
        self._log.write(event, is_failure=True)

    def measure(self) -> None:
        """Drop what is old, and set the gauges."""
        self._limits.forget_old(trio.current_time())
        limited = set(self._limits.limited())
        for identity in self._measured - limited:
            ingress_metrics.RATE_LIMITS.remove(identity)
            ingress_metrics.RATE_PARTS.remove(identity)
        self._measured = set()
        for endpoint in filter(None, map(self._directory.get, limited)):
            self._measure_one(endpoint)

    def _measure_one(self, endpoint: Endpoint) -> None:
        identity = endpoint.identity
        quota = self._limits.part(endpoint)
        ingress_metrics.RATE_LIMITS.labels(identity).set(self._limits.rate(identity))
        part = quota.requests / quota.window
        ingress_metrics.RATE_PARTS.labels(identity).set(part)
        self._measured.add(identity)
