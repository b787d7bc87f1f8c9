"""One gateway's share of the client accounts' limits."""

from __future__ import annotations

from dataclasses import dataclass

from piershore.core.limits.token_bucket import TokenBucket
from piershore.core.refusal_reason import RefusalReason

BURST_SECONDS = 1.0


@dataclass(frozen=True)
class AccountLimits:
    """Limits of one account over all gateways; None means unlimited."""

    requests_per_second: float | None
    concurrent_requests: int | None


@dataclass(frozen=True)
class LimitRefusal:
    """Why a request exceeds the limits, and the seconds until a retry may succeed."""

    reason: RefusalReason
    retry_after: float


@dataclass
class _Usage:
    bucket: TokenBucket
    running: int = 0


class AccountLimiter:
    """Token bucket and concurrency limit for each account.

    `share` is this gateway's fraction of every limit, between 0 and 1. If the shares of
    all gateways add up to s, the gateways together admit at most s times the limit,
    plus one burst per gateway.
    """

    def __init__(self, share: float = 1.0) -> None:
        self._share = share
        self._usage: dict[str, _Usage] = {}

    def set_share(self, share: float) -> None:
        """Set this gateway's fraction of the limits."""
        self._share = share

    def admit(
        self, account: str, limits: AccountLimits, now: float
    ) -> LimitRefusal | None:
        """Admit and count a request, or return why it is refused."""
        usage = self._refill(account, limits, now)
        if limits.concurrent_requests is not None:
            allowed = max(1, int(limits.concurrent_requests * self._share))
            if usage.running >= allowed:
                return LimitRefusal(RefusalReason.CONCURRENCY_LIMITED, 1.0)
        if limits.requests_per_second is not None:
            wait = usage.bucket.seconds_until_available(
                limits.requests_per_second * self._share
            )
            if wait:
                return LimitRefusal(RefusalReason.RATE_LIMITED, wait)
            usage.bucket.consume()
        usage.running += 1
        return None

    def release(self, account: str) -> None:
        """Record the end of an admitted request."""
        self._usage[account].running -= 1

    def _refill(self, account: str, limits: AccountLimits, now: float) -> _Usage:
        burst = self._burst(limits)
        if account not in self._usage:
            self._usage[account] = _Usage(TokenBucket(burst, now))
        usage = self._usage[account]
        rate = limits.requests_per_second or 0.0
        usage.bucket.refill(rate * self._share, burst, now)
        return usage

    def _burst(self, limits: AccountLimits) -> float:
        rate = limits.requests_per_second or 0.0
        return max(1.0, rate * self._share * BURST_SECONDS)
