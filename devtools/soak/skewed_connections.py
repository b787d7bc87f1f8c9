"""Most new connections of a soak go to one gateway, and then to another one."""

from __future__ import annotations

from random import Random

import trio

from devtools.soak.callers import Callers
from devtools.soak.fleet import Fleet

SKEWED_SECONDS = (1.0, 3.0)
EVEN_SECONDS = (0.3, 1.0)
SEED_OFFSET = 5_000_011
"""The draws are its own, so that a seed's other draws are the same without it."""


class SkewedConnections:
    """Hands most new connections to one running gateway for some seconds at a time."""

    def __init__(self, fleet: Fleet, callers: Callers, seed: int) -> None:
        self._fleet = fleet
        self._callers = callers
        self._random = Random(seed + SEED_OFFSET)

    async def run(self, seconds: float) -> None:
        """Play for some seconds."""
        with trio.move_on_after(seconds):
            while True:
                running = [g for g in self._fleet.gateways if g.is_running]
                self._callers.favoured = self._random.choice(running or [None])
                await trio.sleep(self._random.uniform(*SKEWED_SECONDS))
                self._callers.favoured = None
                await trio.sleep(self._random.uniform(*EVEN_SECONDS))
        self._callers.favoured = None
