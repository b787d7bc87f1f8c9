"""How well the platform's store answers one loop that follows it."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import trio

from piershore.core.fleet.store_silence import OVERDUE_SECONDS, StoreSign
from piershore.telemetry.event_log import EventLog
from piershore.telemetry.events import DependencyLost, DependencyRegained

FIRST_PAUSE_SECONDS = 0.04
"""A watch that was cut is taken up again almost at once."""
LONGEST_PAUSE_SECONDS = 0.8
"""Well below the shortest bound for a change to be in force, 2 s."""
FAILURES_OF_AN_OUTAGE = 2
"""One failure may be a watch that was cut; the second is an outage."""


class StoreLink:
    """Counts failures in a row and paces the calls after them."""

    def __init__(
        self, name: str, random: Random, log: EventLog, heard_at: Callable[[], float]
    ) -> None:
        self._name = name
        self._random = random
        self._log = log
        self._heard_at = heard_at
        self._failures = 0
        self._failing_since = 0.0
        self._last_outage = float("-inf")
        self._last_success = float("-inf")
        self._due_at = float("inf")

    @property
    def is_out(self) -> bool:
        """Whether the store seems to be out now."""
        return self._failures >= FAILURES_OF_AN_OUTAGE

    def seconds_since_outage(self) -> float:
        """Return how long ago the store was last seen out."""
        return trio.current_time() - self._last_outage

    def note_success(self) -> None:
        """Count a call that was answered."""
        if self.is_out:
            seconds = trio.current_time() - self._failing_since
            self._log.write(DependencyRegained(self._name, seconds), is_failure=True)
        self._failures = 0
        self._last_success = trio.current_time()

    def expect_answer(self, within: float) -> None:
        """Note a call that is to be answered within so many seconds."""
        self._due_at = trio.current_time() + within

    def expect_nothing(self) -> None:
        """Note that no call is under way."""
        self._due_at = float("inf")

    def sign(self) -> StoreSign:
        """Return when the last answer came, and whether one is overdue.

        An answer that is still coming is neither old nor overdue.
        """
        now = trio.current_time()
        heard_at = self._heard_at()
        is_overdue = now - max(self._due_at, heard_at) > OVERDUE_SECONDS
        return StoreSign(now - max(self._last_success, heard_at), is_overdue)

    def is_fresh(self, longest: float) -> bool:
        """Tell whether a call was answered within the last `longest` seconds."""
        return trio.current_time() - self._last_success < longest

    async def note_failure(self, reason: str) -> None:
        """Count a failed call, and pause before the next."""
        if not self._failures:
            self._failing_since = trio.current_time()
        self._failures += 1
        if self._failures == FAILURES_OF_AN_OUTAGE:
            self._log.write(DependencyLost(self._name, reason), is_failure=True)
        if self.is_out:
            self._last_outage = trio.current_time()
        longest = FIRST_PAUSE_SECONDS * 2 ** min(self._failures, 10)
        pause = min(longest, LONGEST_PAUSE_SECONDS)
        await trio.sleep(pause * (0.5 + self._random.random() / 2))
