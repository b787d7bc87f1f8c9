"""Admission of a request within its account's limits."""

from __future__ import annotations

from piershore.core.limits.account_limiter import AccountLimiter


class Admission:
    """Count a request against its account's limits until it is released.

    Releasing it twice is safe. It is also released by garbage collection: if the caller
    disconnects before the answer begins, the answer is never iterated and its cleanup
    never runs.
    """

    def __init__(self, limiter: AccountLimiter, account: str) -> None:
        self._limiter = limiter
        self._account = account
        self._is_released = False

    def __del__(self) -> None:
        self.release()

    def release(self) -> None:
        """Stop counting the request against the limits."""
        if not self._is_released:
            self._is_released = True
            self._limiter.release(self._account)
