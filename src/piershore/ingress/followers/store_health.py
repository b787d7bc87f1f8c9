"""Health of the platform's store as one follower sees it."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import trio

from piershore.core.fleet.store_silence import OVERDUE_SECONDS, StoreLiveness
from piershore.telemetry.event_log import EventLog
from piershore.telemetry.events import DependencyLost, DependencyRegained

BASE_BACKOFF_SECONDS = 0.04
"""Base of the backoff: an interrupted watch is resumed almost at once."""
MAX_BACKOFF_SECONDS = 0.8
"""Maximum backoff: well below 2 s, the shortest bound for a change to be in force."""
MIN_OUTAGE_FAILURES = 2
"""One failure may be an interrupted watch; the second in a row is an outage."""


class StoreHealth:
    """Counts consecutive failures of calls, and backs off after each."""

    def __init__(
        self,
        name: str,
        random: Random,
        log: EventLog,
        last_received_at: Callable[[], float],
    ) -> None:
        self._name = name
        self._random = random
        self._log = log
        self._last_received_at = last_received_at
        self._failures = 0
        self._failing_since = 0.0
        self._last_outage = float("-inf")
        self._last_success = float("-inf")
        self._due_at = float("inf")

    @property
    def is_out(self) -> bool:
        """Whether the store seems to be down now."""
        return self._failures >= MIN_OUTAGE_FAILURES

    def seconds_since_outage(self) -> float:
        """Return the seconds since the last failure in an outage of the store."""
        return trio.current_time() - self._last_outage

    def record_success(self) -> None:
        """Record a call that was answered."""
        if self.is_out:
            seconds = trio.current_time() - self._failing_since
            self._log.write(DependencyRegained(self._name, seconds), is_failure=True)
        self._failures = 0
        self._last_success = trio.current_time()

    def expect_answer(self, within: float) -> None:
        """Record that a call should be answered within so many seconds."""
        self._due_at = trio.current_time() + within

    def clear_expected_answer(self) -> None:
        """Record that no call is in progress."""
        self._due_at = float("inf")

    def liveness(self) -> StoreLiveness:
        """Return the age of the last answer, and whether one is overdue.

        An answer that is still being received is neither old nor overdue.
        """
        now = trio.current_time()
        last_received_at = self._last_received_at()
        is_overdue = now - max(self._due_at, last_received_at) > OVERDUE_SECONDS
        return StoreLiveness(
            now - max(self._last_success, last_received_at), is_overdue
        )

    def is_fresh(self, max_age: float) -> bool:
        """Return whether a call was answered within the last `max_age` seconds."""
        return trio.current_time() - self._last_success < max_age

    async def back_off(self, reason: str) -> None:
        """Record a failed call, and wait before the next; the wait grows each time."""
        if not self._failures:
            self._failing_since = trio.current_time()
        self._failures += 1
        if self._failures == MIN_OUTAGE_FAILURES:
            self._log.write(DependencyLost(self._name, reason), is_failure=True)
        if self.is_out:
            self._last_outage = trio.current_time()
        backoff = BASE_BACKOFF_SECONDS * 2 ** min(self._failures, 10)
        pause = min(backoff, MAX_BACKOFF_SECONDS)
        await trio.sleep(pause * (0.5 + self._random.random() / 2))
