"""Times at which no gateway could know an endpoint that takes new requests."""

from __future__ import annotations

from math import inf

import trio

from devtools.soak.fleet import Fleet, SoakEndpoint
from standins.published_store import StoreFault

SAMPLE_SECONDS = 0.05
NEWS_SECONDS = 1.0
"""Gateways know of an entry so long after the store has shown it."""


class Outages:
    """Records for each service when all its endpoints were closed to new requests.

    An endpoint is closed while it leaves, asks for rest or is being replaced, and until
    `NEWS_SECONDS` after its entry could be read from the store. One that has crashed
    counts as open until then: gateways are to find other endpoints.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._shown_at: dict[str, float] = {}
        self._samples: dict[str, list[float]] = {}

    async def watch(self) -> None:
        """Look at the endpoints for ever; those listed at the start are known."""
        for endpoint in self._fleet.endpoints:
            if endpoint.is_listed:
                self._shown_at[endpoint.standin.identity] = -inf
        while True:
            self._look(trio.current_time())
            await trio.sleep(SAMPLE_SECONDS)

    def covers(self, service: str, start: float, end: float) -> bool:
        """Return whether a service had no open endpoint at some time in between."""
        samples = self._samples.get(service, ())
        return any(start - SAMPLE_SECONDS <= at <= end for at in samples)

    def _look(self, now: float) -> None:
        if self._is_store_readable():
            for endpoint in self._fleet.endpoints:
                if endpoint.is_listed:
                    self._shown_at.setdefault(endpoint.standin.identity, now)
        services = {endpoint.standin.service for endpoint in self._fleet.endpoints}
        for endpoint in self._fleet.endpoints:
            if self._is_open(endpoint, now):
                services.discard(endpoint.standin.service)
        for service in services:
            self._samples.setdefault(service, []).append(now)

    def _is_store_readable(self) -> bool:
        store = self._fleet.store
        return store.fault is StoreFault.NONE and not store.is_deaf

    def _is_open(self, endpoint: SoakEndpoint, now: float) -> bool:
        standin = endpoint.standin
        if not standin.port or standin.tells_leaving:
            return False
        if standin.identity in endpoint.left_at:
            return False
        rest_end = max((rest.at + rest.seconds for rest in standin.rests), default=0.0)
        if now < max(standin.sheds_until, rest_end):
            return False
        return now >= self._shown_at.get(standin.identity, inf) + NEWS_SECONDS
