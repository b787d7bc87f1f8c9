"""A generation that waits for memory, and its place in the order."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

MAX_PASSED_OVER_SHARE = 0.5
"""Share of the time that a generation may wait after which more urgent ones no longer
go before it: the less urgent still start in time when the more urgent keep coming."""
MAX_WAIT_TARGETS = 2.0
"""Number of target latencies after which a generation that is late goes first: a caller
that hears nothing for longer may give up."""
LAST_CALL_SECONDS = 3.0
"""A generation that must start within this time to end by its deadline goes first:
engines free memory several times in it."""


class Rank(NamedTuple):
    """A place in the order of a service; the smaller one starts first.

    `level` is the priority, or 0 for a generation that was passed over for too long.
    """

    level: int
    is_newcomer: bool
    is_late: bool
    arrived: float
    host: str = ""
    identity: str = ""

    @property
    def group(self) -> tuple[int, bool, bool]:
        """What ranks before the time of arrival."""
        return self.level, self.is_newcomer, self.is_late


@dataclass(frozen=True)
class Waiter:
    """A generation that waits; times are of the gateway's clock.

    `prompt_tokens` is the memory that it takes at once, `tokens` the memory at its
    expected end. A light one ends soon and is never refused for lack of memory. It
    meets its target if it starts by `start_until`, and its deadline if it starts by
    `complete_until`.
    """

    identity: str
    content: str
    service: str
    priority: int
    prompt_tokens: int
    tokens: int
    is_light: bool
    arrived: float
    start_until: float
    complete_until: float
    deadline: float
    target_latency: float

    def is_in_time(self, now: float) -> bool:
        """Return whether a start now still meets the target latency."""
        return now <= self.start_until

    def rank(self, now: float, *, has_returned: bool, host: str) -> Rank:
        """Return the place in the order at this time."""
        is_overdue = self._is_overdue(now)
        return Rank(
            0 if is_overdue else self.priority,
            not has_returned,
            not (self.is_in_time(now) or is_overdue),
            self.arrived,
            host,
            self.identity,
        )

    def _is_overdue(self, now: float) -> bool:
        waited = now - self.arrived
        if self.is_in_time(now):
            patience = MAX_PASSED_OVER_SHARE * (self.start_until - self.arrived)
            return waited > patience
        if waited > MAX_WAIT_TARGETS * self.target_latency:
            return True
        return 0 <= self.complete_until - now < LAST_CALL_SECONDS
