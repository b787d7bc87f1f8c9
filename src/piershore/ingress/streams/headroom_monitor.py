"""Headroom for urgent work: what passes here, and what is left free for it."""

from __future__ import annotations

import trio

from piershore.core.fleet.endpoint_directory import EndpointDirectory
from piershore.core.fleet.generation_work import GenerationWork
from piershore.core.fleet.urgent_headroom import (
    FleetSize,
    Headroom,
    UrgentHeadroom,
)
from piershore.core.routes.service_spec import EngineSpec
from piershore.ingress.callers.exchange import Exchange
from piershore.telemetry import ingress_metrics
from piershore.telemetry.event_log import EventLog
from piershore.telemetry.events import HeadroomChanged

MIN_LOG_INTERVAL_SECONDS = 1.0
"""Minimum time between two lines on a service: small numbers change often."""


class HeadroomMonitor:
    """Records generations for the headroom, and logs and measures it as it changes."""

    def __init__(self, directory: EndpointDirectory, log: EventLog) -> None:
        self._directory = directory
        self._log = log
        self._headroom = UrgentHeadroom()
        self._logged: dict[tuple[str, int], tuple[float, int]] = {}

    def record_arrival(self, exchange: Exchange, work: GenerationWork) -> None:
        """Record a generation that has arrived."""
        service = exchange.route.service_for(exchange.identity)
        if service is not None:
            now = trio.current_time()
            self._headroom.record_arrival(service, exchange.priority, work, now)

    def record_served(
        self, exchange: Exchange, service: str, work: GenerationWork
    ) -> None:
        """Record a generation whose caller has received all of it."""
        self._headroom.record_served(service, exchange.priority, work, exchange.age)

    def reserved_tokens(
        self, service: str, priority: int, engine: EngineSpec, gateways: int
    ) -> int:
        """Return the memory that a long generation of this priority leaves free."""
        engines = len(self._directory.of_service(service))
        fleet = FleetSize(gateways, engines)
        now = trio.current_time()
        headroom = self._headroom.headroom(
            service, priority, engine.memory_tokens, fleet, now
        )
        ingress_metrics.URGENT_HEADROOM_TOKENS.labels(service, priority).set(
            headroom.tokens
        )
        self._log_change(service, priority, headroom, fleet, now)
        return headroom.tokens

    def _log_change(
        self,
        service: str,
        priority: int,
        headroom: Headroom,
        fleet: FleetSize,
        now: float,
    ) -> None:
        """Log a change of the number of requests, but not each of several at once."""
        key = service, priority
        logged_at, requests = self._logged.get(key, (float("-inf"), 0))
        if headroom.requests == requests:
            return
        if now - logged_at < MIN_LOG_INTERVAL_SECONDS:
            return
        self._logged[key] = now, headroom.requests
        self._log.write(
            HeadroomChanged(
                service,
                priority,
                headroom.requests,
                headroom.tokens,
                headroom.arrivals_per_second,
                headroom.held_seconds,
                headroom.tokens_each,
                fleet.gateways,
                fleet.engines,
            )
        )
