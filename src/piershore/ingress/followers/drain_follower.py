"""Follows which data halls are drained, in the store and at peers."""

from __future__ import annotations

from collections.abc import Callable

from piershore.core.fleet.drained_halls import DrainedHalls
from piershore.ingress.followers.store_follower import StoreFollower
from piershore.ingress.gateway_state import GatewayState
from piershore.ingress.ports import DrainFeed

OnDrained = Callable[[DrainedHalls, frozenset[str], str], None]
"""Takes the new view, the data halls that were drained before, and who told it."""


class DrainFollower(StoreFollower):
    """Keeps the newest view of the drained data halls."""

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

    @property
    def view(self) -> DrainedHalls | None:
        """The newest view, or None before one is known."""
        return self._view

    @property
    def is_known(self) -> bool:
        """Whether a view was taken, from the store or from a peer."""
        return self._view is not None

    @property
    def known_revision(self) -> int | None:
        """The revision of the view, whoever it came from."""
        return self._view.revision if self._view is not None else None

    def take_from_peer(self, view: DrainedHalls, host: str) -> None:
        """Take what a peer tells, if it is newer."""
        if self._take(view, f"peer {host}"):
            self._feed.go_on_from(view)

    async def _read(self) -> int:
        view = await self._feed.read()
        self._take(view, "store")
        return view.revision

    async def _take_changes_after(self, revision: int, wait: float) -> int:
        view = await self._feed.changes(revision, wait)
        self._take(view, "store")
        return view.revision

    def _take(self, view: DrainedHalls, source: str) -> bool:
        """Take a view; tell whether it was newer."""
        if self._view is not None and view.revision <= self._view.revision:
            return False
        before = self._view.data_halls if self._view is not None else frozenset()
        self._view = view
        if view.data_halls != before:
            self._on_drained(view, before, source)
        return True
