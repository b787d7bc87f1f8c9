"""Streams whose prompts share parts, some with a part that crashes engines."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import count
from random import Random

import trio

from piershore.http1.exceptions import ExchangeBrokenError, NotConnectedError
from standins.published_endpoint import PublishedEndpoint, shared_parts

CRASHING_PART = "bad0"
FIRST_PART, SECOND_PART = "5c1e07a2", "91bd3f06"
SIZE, EVENTS = "140,40", 10
REPLACED_SECONDS = 4.0
"""From an engine's crash to the start of its replacement."""
LISTED_SECONDS = 2.0
"""From an engine's crash to the removal of its entry."""
POLL_SECONDS = 0.02
REPEAT_SECONDS = 0.5
MAX_REPEATS = 2
"""How often a caller sends a request with the crashing part again, under new ids."""


@dataclass
class SentStream:
    """A stream that was sent once; `is_whole` is whether its caller got all of it."""

    at: float
    is_sound: bool
    is_whole: bool = False


@dataclass
class PartTraffic:
    """Sends streams to the gateways in `open_gateways`, at random.

    `share` is the share of requests with the crashing part, which stands at `position`
    of a prompt (0: first). All callers use one account.
    """

    world: object
    rate: float
    share: float
    position: int
    seed: int = 1
    open_gateways: list[int] = field(default_factory=list)
    sent: list[SentStream] = field(default_factory=list)

    def __post_init__(self):
        self._random = Random(self.seed)
        self._numbers = count(1)
        self.engine_options = {}
        self.wrongly_whole = 0
        self.crashing_since = float("inf")

    def crash_times(self):
        """Return when engines crashed, in order."""
        times = (e.crashed_at for e in self.world.endpoints)
        return sorted(time for time in times if time is not None)

    def runs_with_part(self):
        """Return when runs with the crashing part began, in order."""
        return sorted(
            arrival.at
            for arrival in self.world.arrivals()
            if CRASHING_PART in shared_parts(arrival)
        )

    def served_share(self, begin, end):
        """Return the share of sound streams, sent in a time, that were whole."""
        sent = [s for s in self.sent if s.is_sound and begin <= s.at < end]
        return sum(s.is_whole for s in sent) / len(sent)

    def set_up(self, endpoint):
        """Let the crashing part crash an engine, as `engine_options` say."""
        endpoint.crashing_parts = frozenset([CRASHING_PART])
        for name, value in self.engine_options.items():
            setattr(endpoint, name, value)

    async def run(self, seconds_before, seconds):
        """Send sound streams only, then some with the crashing part."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._replace_crashed)
            start = trio.current_time()
            self.crashing_since = start + seconds_before
            async with trio.open_nursery() as senders:
                while trio.current_time() < start + seconds_before + seconds:
                    senders.start_soon(self._send_one)
                    await trio.sleep(self._random.expovariate(self.rate))
            nursery.cancel_scope.cancel()

    async def _send_one(self):
        now = trio.current_time()
        is_bad = now >= self.crashing_since and self._random.random() < self.share
        if not is_bad:
            await self.send([FIRST_PART, SECOND_PART])
            return
        for _ in range(1 + MAX_REPEATS):
            parts = [FIRST_PART, SECOND_PART]
            if self.position < len(parts):
                parts[self.position] = CRASHING_PART
            else:
                parts.append(CRASHING_PART)
            await self.send(parts)
            await trio.sleep(REPEAT_SECONDS)

    async def send(self, shared, number=None):
        """Send a stream with shared parts and one of its own; return its reply."""
        own = f"{next(self._numbers):08x}"
        parts = ",".join(f"{part}:40" for part in [*shared, own])
        stream = SentStream(trio.current_time(), CRASHING_PART not in shared)
        self.sent.append(stream)
        if number is None:
            number = self._random.choice(self.open_gateways)
        try:
            reply = await self.world.call(
                "stream",
                ("prompt-prefix", parts),
                ("model", "m"),
                size=SIZE,
                body=own.encode(),
                number=number,
            )
        except (NotConnectedError, ExchangeBrokenError):
            return None
        if reply.status == 200 and reply.is_whole and len(reply.events) < EVENTS:
            self.wrongly_whole += 1
        stream.is_whole = reply.status == 200 and len(reply.events) == EVENTS
        return reply

    async def _replace_crashed(self):
        """Remove the entries of crashed engines, and start others instead."""
        handled = set()
        async with trio.open_nursery() as nursery:
            while True:
                for endpoint in self.world.endpoints:
                    if endpoint.crashed_at is None or endpoint.identity in handled:
                        continue
                    handled.add(endpoint.identity)
                    nursery.start_soon(self._replace, endpoint)
                await trio.sleep(POLL_SECONDS)

    async def _replace(self, endpoint):
        await trio.sleep_until(endpoint.crashed_at + LISTED_SECONDS)
        self.world.store.remove("servers", endpoint.identity)
        await trio.sleep_until(endpoint.crashed_at + REPLACED_SECONDS)
        identity = f"i-{len(self.world.endpoints)}"
        newer = PublishedEndpoint(identity, endpoint.service, self.world.memory)
        self.set_up(newer)
        self.world.endpoints.append(newer)
        await self.world.nursery.start(newer.serve)
        self.world.list_endpoint(newer)
