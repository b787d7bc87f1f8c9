"""Engines of uneven speed and callers that read slowly, in a soak."""

from __future__ import annotations

from random import Random

import trio

from devtools.soak.callers import Callers
from devtools.soak.fleet import ACCOUNTS, Fleet, SoakEndpoint
from standins.published_endpoint import PACE_SECONDS

SPEEDS = (0.6, 1.0, 1.6)
"""Factors of the usual pace, which an engine's incarnations have in common."""
EVENT_BYTES = 4_000
UNREAD_SECONDS = 1.0
"""After this time an engine cuts off what remains unread."""
SLOW_READERS = 3
SLOW_EVENTS = 400
"""More than the kernel buffers while a caller pauses."""
PAUSES_SECONDS = (0.3, 3.0)
RENEWAL_SECONDS = 0.1
SEED_OFFSET = 4_000_037
"""The draws are its own, so that a seed's other draws are the same without it."""


class UnevenFleet:
    """Gives engines different speeds, and lets some callers pause while they read."""

    def __init__(self, fleet: Fleet, callers: Callers, seed: int) -> None:
        self._fleet = fleet
        self._callers = callers
        self._random = Random(seed + SEED_OFFSET)

    async def run(self, seconds: float) -> None:
        """Play for some seconds, then let the last slow readers end."""
        engines = [e for e in self._fleet.endpoints if e.standin.service == "model"]
        self._random.shuffle(engines)
        end = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._keep_uneven, engines, end)
            for _ in range(SLOW_READERS):
                nursery.start_soon(self._read_slowly, end)

    async def _keep_uneven(self, engines: list[SoakEndpoint], end: float) -> None:
        """Set the speeds, also those of new incarnations."""
        while trio.current_time() < end:
            for engine, factor in zip(engines, SPEEDS, strict=True):
                engine.standin.pace = factor * PACE_SECONDS
                engine.standin.padding = b"x" * EVENT_BYTES
                engine.standin.unread_seconds = UNREAD_SECONDS
            await trio.sleep(RENEWAL_SECONDS)

    async def _read_slowly(self, end: float) -> None:
        while trio.current_time() < end:
            gateway = self._random.choice(self._fleet.gateways)
            account = self._random.choice(list(ACCOUNTS))
            call = self._callers.new_call(gateway, "stream", account)
            call.events_wanted = SLOW_EVENTS
            pause = self._random.uniform(*PAUSES_SECONDS)
            await self._callers.call_once(gateway, call, b"{}", pause)
            await trio.sleep(RENEWAL_SECONDS)
