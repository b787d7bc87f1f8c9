"""A request that counts against its account's limits."""

from __future__ import annotations

from piershore.core.limits.account_limiter import AccountLimiter


class Admission:
    """Counts until it is released; releasing it twice does no harm.

    It is also released when nothing refers to it any more: an answer whose caller
    has gone before it began is never iterated, and so never ends either.
    """

    def __init__(self, limiter: AccountLimiter, account: str) -> None:
        self._limiter = limiter
        self._account = account
        self._is_released = False

    def __del__(self) -> None:
        self.release()

    def release(self) -> None:
        """Stop counting."""
        if not self._is_released:
            self._is_released = True
            self._limiter.release(self._account)
