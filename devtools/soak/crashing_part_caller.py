"""A caller of a soak whose requests have a part in common that crashes engines."""

from __future__ import annotations

import trio

from devtools.soak.crashing_caller import CrashingCaller, EVENTS_WANTED, KIND
from standins.published_endpoint import CrashPoint

CRASHING_PART = "bad0"
SHARED_PARTS = ("5c1e07a2", "91bd3f06")
RENEWAL_SECONDS = 0.05


class CrashingPartCaller(CrashingCaller):
    """Sends requests that are all different; other streams share their other parts.

    Engines crash before, in or after the first event.
    """

    async def run(self, seconds: float) -> None:
        """Send such requests for some seconds."""
        self._callers.shared_parts = SHARED_PARTS
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._set_engines)
            await super().run(seconds)
            nursery.cancel_scope.cancel()

    async def _set_engines(self) -> None:
        """Let the part crash all engines, also those that have just started."""
        points = list(CrashPoint)
        while True:
            for number, endpoint in enumerate(self._fleet.endpoints):
                standin = endpoint.standin
                standin.crashing_parts = frozenset([CRASHING_PART])
                standin.crash_point = points[number % len(points)]
            await trio.sleep(RENEWAL_SECONDS)

    async def _send(self) -> None:
        gateway = self._random.choice(self._fleet.gateways)
        call = self._callers.new_call(gateway, KIND, self._account)
        call.events_wanted = EVENTS_WANTED
        call.parts = (*SHARED_PARTS, CRASHING_PART, call.identity)
        await self._callers.call_once(gateway, call, call.identity.encode())
