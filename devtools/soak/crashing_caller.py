"""A caller of a soak whose request crashes endpoints, and comes again and again."""

from __future__ import annotations

from random import Random

import trio

from devtools.soak.callers import Callers
from devtools.soak.fleet import ACCOUNTS, Fleet
from standins.published_endpoint import CRASHING_BODY

KIND = "crash"
GAP_SECONDS = 0.25
"""Mean time between two of them; 0.9 s were recorded, on a day ten times as long."""
EVENTS_WANTED = 3
BACK_SECONDS = (0.3, 1.0)
"""An endpoint that crashed under it is back after so long."""
LOOK_SECONDS = 0.05
SEED_OFFSET = 1_000_003
"""Its draws are its own, so that a seed's other draws are the same without it."""


class CrashingCaller:
    """Sends one request under new ids, and has crashed endpoints replaced."""

    def __init__(self, fleet: Fleet, callers: Callers, seed: int) -> None:
        self._fleet = fleet
        self._callers = callers
        self._random = Random(seed + SEED_OFFSET)
        self._account = next(iter(ACCOUNTS))

    async def run(self, seconds: float) -> None:
        """Send it for some seconds."""
        with trio.move_on_after(seconds):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._renew_crashed)
                while True:
                    await trio.sleep(self._random.expovariate(1 / GAP_SECONDS))
                    nursery.start_soon(self._send)

    async def _send(self) -> None:
        gateway = self._random.choice(self._fleet.gateways)
        call = self._callers.new_call(gateway, KIND, self._account)
        call.events_wanted = EVENTS_WANTED
        await self._callers.call_once(gateway, call, CRASHING_BODY)

    async def _renew_crashed(self) -> None:
        while True:
            await trio.sleep(LOOK_SECONDS)
            for endpoint in self._fleet.endpoints:
                standin = endpoint.standin
                if standin.crashed_at is None:
                    continue
                due = standin.crashed_at + self._random.uniform(*BACK_SECONDS)
                await trio.sleep_until(due)
                await self._fleet.replace(endpoint, standin)
