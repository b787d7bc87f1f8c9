"""A store of a soak that comes back from older copies of itself."""

from __future__ import annotations

from random import Random

import trio

from devtools.soak.faults import Troubles
from devtools.soak.fleet import Fleet
from standins.published_store import StoreFault

GAP_SECONDS = 0.8
COPY_AGE_SECONDS = (0.3, 2.0)
OUTAGE_SECONDS = (0.05, 0.5)
WRITTEN_AGAIN_SECONDS = (0.05, 0.8)
"""Operators and endpoints write again what was lost, all within so long."""
SEED_OFFSET = 3_000_017
"""The draws are its own, so that a seed's other draws are the same without it."""


class Drill:
    """Takes copies of the store, and lets it come back from them."""

    def __init__(self, fleet: Fleet, troubles: Troubles, seed: int) -> None:
        self._fleet = fleet
        self._troubles = troubles
        self._random = Random(seed + SEED_OFFSET)

    async def run(self, seconds: float) -> None:
        """Drill for some seconds."""
        with trio.move_on_after(seconds):
            while True:
                await trio.sleep(self._random.expovariate(1 / GAP_SECONDS))
                await self._come_back()

    async def _come_back(self) -> None:
        store = self._fleet.store
        copy = store.copy()
        await trio.sleep(self._random.uniform(*COPY_AGE_SECONDS))
        before, store.fault = store.fault, StoreFault.SILENT
        self._troubles.note_store()
        await trio.sleep(self._random.uniform(*OUTAGE_SECONDS))
        store.come_back(copy)
        if store.fault is StoreFault.SILENT:
            store.fault = before
        await trio.sleep(self._random.uniform(*WRITTEN_AGAIN_SECONDS))
        self._fleet.write_again()
        self._troubles.note_store()
