"""What the followers of the platform's store have in common."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable

import trio

from piershore.core.fleet.store_revision import StoreRevision
from piershore.errors import PiershoreError
from piershore.ingress.followers.store_link import StoreLink
from piershore.ingress.gateway_state import GatewayState
from piershore.ingress.ports import StoreFeed
from piershore.platform.exceptions import WatchGapError
from piershore.telemetry import ingress_metrics
from piershore.telemetry.events import InvalidEntry, StoreReturned

NOT_WATCHING_SECONDS = 0.1
"""How often a gateway that leaves the watching to others sees if it still may."""
WATCH_PARTS = (0.6, 1.0)
"""Parts of the longest wait that watches take: a change wakes all of them together, and
they are to end at different moments."""

SETTLING_SECONDS = 3.0
"""Time from a gateway's start in which it doesn't know yet who else watches: in a fleet
of 68 that starts together all have left the watching to a few after 3.5 s."""
SETTLING_PAUSE_SECONDS = 0.6
"""Pause after a watch in that time: changes that come one after the other share a call.
Without it all gateways watch while endpoints register one by one: 1,300 calls in 3 s
with 68 gateways and 36 endpoints (simulated day), growing as one times the other. A
gateway with requests in flight doesn't pause: what it serves may have to move within
1.5 s of a change."""


def always() -> bool:
    """Watch by itself, whoever else does."""
    return True


class StoreFollower(ABC):
    """Reads a state from the store once, and then its changes."""

    def __init__(
        self,
        state: GatewayState,
        name: str,
        watch_seconds: float,
        feed: StoreFeed,
    ) -> None:
        self._state = state
        self._watch_seconds = watch_seconds
        self._feed_to_follow = feed
        self._name = name
        self._reached = StoreRevision()
        self._revision: StoreRevision | None = None
        self._scope: trio.CancelScope | None = None
        self._settled_at = float("-inf")
        self._should_watch: Callable[[], bool] = always
        self.link = StoreLink(
            f"store: {name}", state.random, state.log, lambda: feed.heard_at
        )

    @property
    @abstractmethod
    def is_known(self) -> bool:
        """Whether a whole state was taken, from the store or from a peer."""

    @property
    def known_revision(self) -> StoreRevision | None:
        """The revision from which on changes are to be watched; None to read all."""
        return None

    async def run(self) -> None:
        """Follow the store for ever."""
        self._settled_at = trio.current_time() + SETTLING_SECONDS
        while True:
            with trio.CancelScope() as self._scope:
                await self._follow()

    def use_watchers(self, should_watch: Callable[[], bool]) -> None:
        """Leave the watching to others while `should_watch` is false."""
        self._should_watch = should_watch

    def restart(self) -> None:
        """Read the whole state again now: a peer's differs."""
        self._revision = None
        if self._scope is not None:
            self._scope.cancel()

    @abstractmethod
    async def _read(self) -> StoreRevision:
        """Take the whole state; return its revision."""

    @abstractmethod
    async def _take_changes_after(
        self, revision: StoreRevision, wait: float
    ) -> StoreRevision:
        """Wait for changes and take them; return the revision reached."""

    async def _follow(self) -> None:
        while True:
            if self.is_known and not self._should_watch():
                # What peers gave is complete up to its revision: a gateway that has to
                # watch again goes on from there and doesn't read all again.
                self._revision = self.known_revision
                await trio.sleep(NOT_WATCHING_SECONDS)
                continue
            try:
                await self._step()
                self._note_era()
                self.link.note_success()
            except WatchGapError:
                self._revision = None
            except PiershoreError as error:
                # A watch that was cut may have missed changes: read all again.
                self._revision = None
                await self.link.note_failure(f"{error.code}: {error.message}")

    def _note_era(self) -> None:
        """Log that the store has come back from an older copy, and faulty eras."""
        finding = self._feed_to_follow.take_era_finding()
        if finding:
            self._state.log.write(InvalidEntry("store era", finding), is_failure=True)
        if self._revision is None:
            return
        before, self._reached = self._reached, self._revision
        if before and self._revision.era > before.era:
            event = StoreReturned(
                self._name,
                before.era,
                self._revision.era,
                before.number,
                self._revision.number,
            )
            self._state.log.write(event, is_failure=True)
        ingress_metrics.STORE_ERA.set(self._revision.era)

    async def _step(self) -> None:
        try:
            if self._revision is None:
                self.link.expect_answer(0.0)
                self._revision = await self._read()
                return
            wait = self._watch_seconds * self._state.random.uniform(*WATCH_PARTS)
            self.link.expect_answer(wait)
            self._revision = await self._take_changes_after(self._revision, wait)
        finally:
            self.link.expect_nothing()
        await self._settle()

    async def _settle(self) -> None:
        """Pause while nobody knows who else watches, and there is nothing to lose."""
        now = trio.current_time()
        until = min(self._settled_at, now + SETTLING_PAUSE_SECONDS)
        while trio.current_time() < until and not self._state.in_flight:
            await trio.sleep(NOT_WATCHING_SECONDS)
