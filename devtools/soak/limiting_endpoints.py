"""Endpoints of a soak that name the rate that they take."""

from __future__ import annotations

from random import Random

import trio

from devtools.soak.fleet import Fleet, SoakEndpoint

SERVICES = ("desk", "model")
LATEST_BEGIN_SECONDS = 1.0
LIMITED_SECONDS = (4.0, 6.0)
"""Longer than the time after which a rate counts."""
RATES = (0.3, 1.0, 2.4, 6.0)
SEED_OFFSET = 3_000_017
"""The draws are its own, so that a seed's other draws are the same without it."""


class LimitingEndpoints:
    """Lets two endpoints of the plain service and one engine name a rate each."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self._fleet = fleet
        self._random = Random(seed + SEED_OFFSET)

    async def run(self, seconds: float) -> None:
        """Let endpoints name their rates for some seconds."""
        desk, model = (self._endpoints(service) for service in SERVICES)
        limited = [*self._random.sample(desk, 2), self._random.choice(model)]
        with trio.move_on_after(seconds):
            async with trio.open_nursery() as nursery:
                for endpoint in limited:
                    nursery.start_soon(self._limit, endpoint)

    def _endpoints(self, service: str) -> list[SoakEndpoint]:
        return [e for e in self._fleet.endpoints if e.standin.service == service]

    async def _limit(self, endpoint: SoakEndpoint) -> None:
        """Name a rate for some seconds, by the incarnation that is there then."""
        await trio.sleep(self._random.uniform(0, LATEST_BEGIN_SECONDS))
        standin = endpoint.standin
        standin.rate_limit = f"{self._random.choice(RATES):g}"
        await trio.sleep(self._random.uniform(*LIMITED_SECONDS))
        standin.rate_limit = None
