"""Follows which data halls are drained, in the store and in reports of peers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import trio

from piershore.core.fleet.drained_halls import DrainedHalls
from piershore.core.fleet.store_revision import StoreRevision
from piershore.ingress.followers.store_follower import StoreFollower
from piershore.ingress.gateway_state import GatewayState
from piershore.ingress.ports import DrainFeed

LOST_DRAIN_GRACE_SECONDS = 3.0
"""How long a drain stays in force that is missing after the store was restored from an
older copy: operators write lost drains again. Without this delay, requests would reach
a data hall that is being emptied until its drain is written again; with it, a data hall
whose drain is no longer wanted stays idle for this time."""
SWEEP_SECONDS = 0.25

OnDrained = Callable[[DrainedHalls, frozenset[str], str], None]
"""Called with the new view, the data halls drained before, and the view's source."""


class DrainFollower(StoreFollower):
    """Tracks the newest view of the drained data halls."""

    def __init__(
        self,
        state: GatewayState,
        feed: DrainFeed,
        watch_seconds: float,
        on_drained: OnDrained,
    ) -> None:
        super().__init__(state, "drains", watch_seconds, feed)
        self._feed = feed
        self._on_drained = on_drained
        self._view: DrainedHalls | None = None
        self._lost_until: dict[str, float] = {}

    @property
    def view(self) -> DrainedHalls | None:
        """The newest view of the store, or None before one is known."""
        return self._view

    @property
    def is_known(self) -> bool:
        """Whether a view was received, from the store or from a peer."""
        return self._view is not None

    @property
    def known_revision(self) -> StoreRevision | None:
        """The revision of the view, from the store or a peer."""
        return self._view.revision if self._view is not None else None

    def apply_from_peer(self, view: DrainedHalls, host: str) -> None:
        """Apply the view of a peer if it is newer."""
        if self._apply(view, f"peer {host}"):
            self._feed.resume_from(view)

    async def sweep(self) -> None:
        """End lost drains that were not written again in time; run until cancelled."""
        while True:
            await trio.sleep(SWEEP_SECONDS)
            before, now = self._in_force(), trio.current_time()
            self._lost_until = {
                data_hall: at for data_hall, at in self._lost_until.items() if at > now
            }
            self._notify(before, "not written again")

    async def _read(self) -> StoreRevision:
        view = await self._feed.read()
        self._apply(view, "store")
        return view.revision

    async def _apply_changes_after(
        self, revision: StoreRevision, wait: float
    ) -> StoreRevision:
        view = await self._feed.changes(revision, wait)
        self._apply(view, "store")
        return view.revision

    def _apply(self, view: DrainedHalls, source: str) -> bool:
        """Apply a view if it is newer; return whether it was."""
        known = self._view
        if known is not None and view.revision <= known.revision:
            return False
        before = self._in_force()
        if known is not None and view.is_of_later_era(known):
            until = trio.current_time() + LOST_DRAIN_GRACE_SECONDS
            self._lost_until.update(dict.fromkeys(before - view.data_halls, until))
        self._view = view
        self._notify(before, source)
        return True

    def _in_force(self) -> frozenset[str]:
        """Return the drained data halls, including those that the store has lost."""
        return (
            self._view.data_halls | self._lost_until.keys()
            if self._view
            else frozenset()
        )

    def _notify(self, before: frozenset[str], source: str) -> None:
        data_halls = self._in_force()
        if data_halls != before:
            self._on_drained(replace(self._view, data_halls=data_halls), before, source)
