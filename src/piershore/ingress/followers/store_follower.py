"""Base class of the followers of the platform's store."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from math import inf

import trio

from piershore.core.fleet.store_revision import StoreRevision
from piershore.errors import PiershoreError
from piershore.ingress.followers.store_health import StoreHealth
from piershore.ingress.gateway_state import GatewayState
from piershore.ingress.ports import StoreFeed
from piershore.platform.exceptions import WatchGapError
from piershore.telemetry import ingress_metrics
from piershore.telemetry.events import InvalidEntry, StoreReturned

WATCH_CHECK_SECONDS = 0.1
"""Interval at which a gateway that doesn't watch checks whether it should."""
WATCH_JITTER = (0.6, 1.0)
"""Jitter of the watch time, as factors of its maximum: a change wakes all watches
together, and they should end at different times."""

SETTLING_SECONDS = 3.0
"""Time after a gateway's start in which it doesn't know yet which others watch: in a
fleet of 68 that starts together, only a few still watch after 3.5 s."""
SETTLING_PAUSE_SECONDS = 0.6
"""Pause after a watch in that time, so that consecutive changes share a call. Without
it, all gateways watch while endpoints register one by one: 1,300 calls in 3 s with 68
gateways and 36 endpoints (simulated day), growing with the product of both. A gateway
with requests in flight doesn't pause: their streams may have to move within 1.5 s of a
change."""


def always() -> bool:
    """Return True: watch whether or not other gateways do."""
    return True


def unlimited() -> float:
    """Return no limit: watch for the usual time."""
    return inf


def _ignore(era: int) -> None:
    """Do nothing with a later era."""


class StoreFollower(ABC):
    """Reads a state from the store once, and then follows its changes.

    After a failure or a gap in the changes, it reads the whole state again.
    """

    def __init__(
        self,
        state: GatewayState,
        name: str,
        watch_seconds: float,
        feed: StoreFeed,
    ) -> None:
        self._state = state
        self._watch_seconds = watch_seconds
        self._store_feed = feed
        self._name = name
        self._last_revision = StoreRevision()
        self._revision: StoreRevision | None = None
        self._cancel_scope: trio.CancelScope | None = None
        self._settled_at = float("-inf")
        self._should_watch: Callable[[], bool] = always
        self._watch_limit: Callable[[], float] = unlimited
        self._on_new_era: Callable[[int], None] = _ignore
        self._expected_era = 0
        self.health = StoreHealth(
            f"store: {name}", state.random, state.log, lambda: feed.last_received_at
        )

    @property
    @abstractmethod
    def is_known(self) -> bool:
        """Whether a complete state was received, from the store or from a peer."""

    @property
    def known_revision(self) -> StoreRevision | None:
        """The revision to watch changes from; None to read the whole state."""
        return None

    async def run(self) -> None:
        """Follow the store until cancelled."""
        self._settled_at = trio.current_time() + SETTLING_SECONDS
        while True:
            with trio.CancelScope() as self._cancel_scope:
                await self._follow()

    def set_watch_condition(self, should_watch: Callable[[], bool]) -> None:
        """Don't watch the store while `should_watch` returns false: others do."""
        self._should_watch = should_watch

    def set_watch_limit(self, watch_limit: Callable[[], float]) -> None:
        """Watch for at most as many seconds at a time as `watch_limit` returns."""
        self._watch_limit = watch_limit

    def set_era_callback(self, on_new_era: Callable[[int], None]) -> None:
        """Call `on_new_era` when this follower learns of a later era of the store."""
        self._on_new_era = on_new_era

    def observe_era(self, era: int) -> None:
        """Read the whole state again if it was read in an earlier era.

        A watch that was opened after the store was restored, at a revision that exists
        in the later era too, shows the new era only with its answer.
        """
        self._expected_era = era
        if self._revision is not None and self._revision.era < era:
            self.restart()

    def restart(self) -> None:
        """Read the whole state again now, because a peer's differs."""
        self._revision = None
        if self._cancel_scope is not None:
            self._cancel_scope.cancel()

    @abstractmethod
    async def _read(self) -> StoreRevision:
        """Read and apply the whole state; return its revision."""

    @abstractmethod
    async def _apply_changes_after(
        self, revision: StoreRevision, wait: float
    ) -> StoreRevision:
        """Wait up to `wait` seconds for changes and apply them.

        Return the revision reached.
        """

    async def _follow(self) -> None:
        while True:
            if self.is_known and not self._should_watch():
                # The state received from peers is complete up to its revision: a
                # gateway that must watch again continues from there instead of reading
                # the whole state.
                self._revision = self.known_revision
                await trio.sleep(WATCH_CHECK_SECONDS)
                continue
            try:
                await self._step()
                self._record_era()
                self.health.record_success()
            except WatchGapError:
                self._revision = None
            except PiershoreError as error:
                # An interrupted watch may have missed changes: read the whole state.
                self._revision = None
                await self.health.back_off(f"{error.code}: {error.message}")

    def _record_era(self) -> None:
        """Log a restore of the store from an older copy, and invalid eras."""
        finding = self._store_feed.pop_era_finding()
        if finding:
            self._state.log.write(InvalidEntry("store era", finding), is_failure=True)
        if self._revision is None:
            return
        before, self._last_revision = self._last_revision, self._revision
        if before and self._revision.era > before.era:
            event = StoreReturned(
                self._name,
                before.era,
                self._revision.era,
                before.number,
                self._revision.number,
            )
            self._state.log.write(event, is_failure=True)
            self._on_new_era(self._revision.era)
        ingress_metrics.STORE_ERA.set(self._revision.era)

    async def _step(self) -> None:
        if self._revision is not None and self._revision.era < self._expected_era:
            # The read was answered before the store returned. It is repeated only once:
            # replicas of the store may lag.
            self._revision, self._expected_era = None, 0
        try:
            if self._revision is None:
                self.health.expect_answer(0.0)
                self._revision = await self._read()
                return
            longest = min(self._watch_seconds, self._watch_limit())
            wait = longest * self._state.random.uniform(*WATCH_JITTER)
            self.health.expect_answer(wait)
            self._revision = await self._apply_changes_after(self._revision, wait)
        finally:
            self.health.clear_expected_answer()
        await self._settle()

    async def _settle(self) -> None:
        """Pause while it isn't known who else watches and no request is in flight."""
        now = trio.current_time()
        deadline = min(self._settled_at, now + SETTLING_PAUSE_SECONDS)
        while trio.current_time() < deadline and not self._state.in_flight:
            await trio.sleep(WATCH_CHECK_SECONDS)
