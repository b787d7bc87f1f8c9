"""This gateway's part of the retries that all gateways may make."""

from __future__ import annotations

from collections.abc import Callable

import trio

from piershore.core.attempts.retry_budget import RetryBudget, RetryLimits

WINDOW_SECONDS = 10.0
"""Time over which retries are bound: long against a burst of failures, short against
the time in which traffic changes."""
SLACK = 20.0
"""Retries that all gateways together may make in a window beside the share, so that a
fleet with little traffic can retry at all."""


class Retries:
    """Counts requests and retries; `gateways` tells how many gateways live."""

    def __init__(self, share: float, gateways: Callable[[], int]) -> None:
        limits = RetryLimits(ratio=share, slack=SLACK, window=WINDOW_SECONDS, safety=1)
        self._allowance = RetryBudget(limits)
        self._gateways = gateways

    def note_request(self) -> None:
        """Count a request's first try."""
        self._allowance.record_request(trio.current_time())

    def spend(self) -> bool:
        """Spend one retry; tell whether there was one."""
        return self._allowance.spend(trio.current_time(), self._gateways())
