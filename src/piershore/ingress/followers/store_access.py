"""Whether the platform's store answers this gateway, for those that rely on it."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import trio

from piershore.core.fleet.store_silence import OVERDUE_SECONDS
from piershore.core.process_pause import was_paused
from piershore.ingress.followers.store_health import StoreHealth
from piershore.telemetry.event_log import EventLog
from piershore.telemetry.events import StoreAccessChanged

CHECK_INTERVAL_SECONDS = 0.1
READ_SECONDS = 0.5
"""From the report that the store is silent until another gateway has read a change from
it: some tens of ms on usual links, more for large configurations."""
MIN_WATCH_SECONDS = 0.5


def relied_on_watch_seconds(change_seconds: float) -> float:
    """Return the longest watch of a gateway on which others rely, in seconds.

    If the store turns silent as the watch begins, the answer is overdue early enough
    for the others to read a change themselves within `change_seconds`.
    """
    reserved = OVERDUE_SECONDS + 2 * CHECK_INTERVAL_SECONDS + READ_SECONDS
    return max(MIN_WATCH_SECONDS, change_seconds - reserved)


class StoreAccess:
    """Detects that the store is silent, and announces it at once.

    The store counts as silent from the moment at which an answer is overdue, until a
    later call is answered.
    """

    def __init__(
        self,
        healths: Iterable[StoreHealth],
        announce: Callable[[], None],
        log: EventLog,
    ) -> None:
        self._healths = tuple(healths)
        self._announce = announce
        self._log = log
        self._silent_at: float | None = None

    @property
    def is_silent(self) -> bool:
        """Whether the store seems to be silent towards this gateway."""
        return self._silent_at is not None

    async def run(self) -> None:
        """Observe the store until cancelled."""
        while True:
            due = trio.current_time() + CHECK_INTERVAL_SECONDS
            await trio.sleep_until(due)
            now = trio.current_time()
            if was_paused(due, now):
                # The answer may have arrived and not have been read.
                continue
            was_silent = self.is_silent
            self._update(now)
            if self.is_silent is not was_silent:
                event = StoreAccessChanged(not self.is_silent)
                self._log.write(event, is_failure=True)
                self._announce()

    def _update(self, now: float) -> None:
        if any(h.is_out or h.liveness().is_overdue for h in self._healths):
            self._silent_at = now
        elif self.is_silent and any(
            health.is_fresh(now - self._silent_at) for health in self._healths
        ):
            self._silent_at = None
