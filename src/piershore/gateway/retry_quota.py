"""This gateway's quota of the retries that all gateways may make together."""

from __future__ import annotations

from collections.abc import Callable

import trio

from piershore.core.attempts.retry_budget import RetryBudget, RetryLimits

WINDOW_SECONDS = 10.0
"""Window over which retries are limited: longer than a burst of failures, shorter than
the time in which traffic changes."""
SLACK_RETRIES = 20.0
"""Retries that all gateways together may make in a window in addition to the share of
requests, so that a fleet with little traffic can retry at all."""


class RetryQuota:
    """Count requests and retries; `gateways` returns the number of live gateways."""

    def __init__(self, share: float, gateways: Callable[[], int]) -> None:
        limits = RetryLimits(
            ratio=share, slack=SLACK_RETRIES, window=WINDOW_SECONDS, safety=1
        )
        self._budget = RetryBudget(limits)
        self._count_gateways = gateways

    def record_request(self) -> None:
        """Record the first attempt of a request."""
        self._budget.record_request(trio.current_time())

    def spend(self) -> bool:
        """Spend one retry; return False if none is left."""
        return self._budget.spend(trio.current_time(), self._count_gateways())
