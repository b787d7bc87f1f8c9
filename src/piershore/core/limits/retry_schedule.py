"""Retry times of refused callers, spread at the rate that endpoints accept.

The load pattern: all endpoints of a service accept fewer requests than arrive. If all
refused callers were told when the next request is accepted, they would retry together,
and all but one would be refused again. So each caller gets a retry time of its own,
after those given to earlier callers.
"""

from __future__ import annotations

from math import isinf

MAX_RETRY_AFTER_SECONDS = 30.0
"""Upper bound of retry times: a rate rarely stays this low for longer."""


class RetrySchedule:
    """Assigns retry times for one service; times are in seconds."""

    def __init__(self) -> None:
        self._last_retry_at = float("-inf")

    def reserve(self, first: float, rate: float, now: float) -> float:
        """Reserve the next free retry time; return the seconds until then.

        `first` is the number of seconds until the first request is accepted, or inf if
        that is unknown; after it, `rate` requests per second are accepted.
        """
        interval = 1 / rate
        first = interval if isinf(first) else first
        retry_at = min(
            max(now + first, self._last_retry_at + interval),
            now + MAX_RETRY_AFTER_SECONDS,
        )
        self._last_retry_at = retry_at
        return retry_at - now
