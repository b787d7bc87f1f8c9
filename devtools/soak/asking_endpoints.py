"""Endpoints of a soak that ask for something in their answers."""

from __future__ import annotations

from random import Random

import trio

from devtools.soak.fleet import Fleet, SoakEndpoint

GAP_SECONDS = 0.8
"""Mean time between two endpoints that begin to ask."""
LEAVING_SECONDS = (2.5, 4.0)
"""How long an endpoint says that it leaves, before it is replaced: gateways that were
told must send nothing 2 s later."""
SHEDDING_SECONDS = (0.5, 2.0)
REST_SECONDS = (1.0, 2.0)
LEAVING_SHARE = 0.4
SEED_OFFSET = 2_000_003
"""The draws are its own, so that a seed's other draws are the same without it."""


class AskingEndpoints:
    """Lets endpoints say that they leave, or turn requests away and ask for rest.

    Their entries say that they are ready.
    """

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self._fleet = fleet
        self._random = Random(seed + SEED_OFFSET)

    async def run(self, seconds: float) -> None:
        """Let endpoints ask for some seconds."""
        with trio.move_on_after(seconds):
            async with trio.open_nursery() as nursery:
                while True:
                    await trio.sleep(self._random.expovariate(1 / GAP_SECONDS))
                    endpoint = self._random.choice(self._fleet.endpoints)
                    is_leaving = self._random.random() < LEAVING_SHARE
                    ask = self._leave if is_leaving else self._rest
                    nursery.start_soon(ask, endpoint)

    async def _leave(self, endpoint: SoakEndpoint) -> None:
        """Say it in all answers; then another incarnation comes."""
        standin = endpoint.standin
        if standin.tells_leaving or not endpoint.is_listed:
            return
        standin.tells_leaving = True
        await trio.sleep(self._random.uniform(*LEAVING_SECONDS))
        await self._fleet.replace(endpoint, standin)

    async def _rest(self, endpoint: SoakEndpoint) -> None:
        """Turn requests away for a while, each with a time to rest."""
        standin = endpoint.standin
        standin.rest = self._random.uniform(*REST_SECONDS)
        seconds = self._random.uniform(*SHEDDING_SECONDS)
        standin.sheds_until = trio.current_time() + seconds
