"""Rate limits that endpoints advertise, which all gateways together must respect.

An overloaded endpoint advertises a rate far below its usual load. It answers as fast as
before and holds little work, so load balancing takes it for idle, and six gateways that
each respect the whole rate still send it several times as much. So the rate is divided
among the gateways in whole requests, over a window that is long enough for each gateway
to get one if the rate allows that.

The latest answer of an endpoint counts, whichever gateway received it. Gateways report
to each other the rates in the answers that they received, with their age.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from math import inf

from piershore.core.fleet.demand_meter import DemandMeter
from piershore.core.fleet.endpoint import Endpoint
from piershore.core.fleet.rate_loans import LoanTerms, RateLoans
from piershore.core.fleet.rate_shares import RateShares, Share
from piershore.core.fleet.sent_requests import SentRequests
from piershore.core.limits.endpoint_rate_limiter import (
    MAX_REORDERING_SECONDS,
    MIN_REQUESTS_PER_SECOND,
)

UNLIMITED = inf
"""The rate of an endpoint that advertises no limit."""
WINDOWS_SECONDS = (1.0, 2.0, 4.0)
"""Windows over which a rate is divided. The longest is a whole multiple of each, so
that no span of that length has more requests than the rate allows."""
TRANSIT_JITTER_SECONDS = 0.1
"""How much the transit times of requests may differ."""
PROBE_AFTER_SECONDS = 10.0
"""A limit that no answer has confirmed for this long is probed by one gateway."""
PROBE_STAGGER_SECONDS = 1.0
"""The gateway of the next rank probes this much later, unless an answer is reported."""
REPORTED_SECONDS = 10.0
"""How long the rate in an answer is reported to peers."""
MAX_REPORTED_ENDPOINTS = 32
"""Endpoints in one report, so that it fits a packet."""
FORGET_SECONDS = 300.0
"""A limit that no answer or report has confirmed for this long is dropped."""


@dataclass(frozen=True)
class RateQuota:
    """At most `requests` in any `window` seconds."""

    requests: int
    window: float


@dataclass(frozen=True)
class AdvertisedRate:
    """The rate that an answer advertised, and when the answer came."""

    rate: float
    at: float

    @property
    def is_limit(self) -> bool:
        """Whether the rate is a limit."""
        return self.rate != UNLIMITED


@dataclass(frozen=True)
class RateReport:
    """The rate that an answer to a peer advertised; `age` is in seconds."""

    rate: float
    age: float


def fleet_quota(rate: float, gateways: int) -> RateQuota:
    """Return the quota of all gateways together for an endpoint.

    The window is the shortest in which each gateway gets at least one request, else the
    longest. A rate of less than one request in that window gets a window of its own.
    """
    for window in WINDOWS_SECONDS:
        requests = int(rate * window)
        if requests >= gateways:
            return RateQuota(requests, window)
    if not requests:
        return RateQuota(1, 1 / max(rate, MIN_REQUESTS_PER_SECOND))
    return RateQuota(requests, window)


class EndpointRateLimits:
    """Limits by endpoint identity, and the requests that this gateway sent there."""

    def __init__(self, shares: RateShares) -> None:
        self._shares = shares
        self._latest: dict[str, AdvertisedRate] = {}
        self._received: dict[str, AdvertisedRate] = {}
        self._sent = SentRequests()
        self._short_at: dict[str, float] = {}
        self.loans = RateLoans()
        self.demand = DemandMeter()

    def rate(self, identity: str) -> float:
        """Return the requests a second that an endpoint accepts."""
        latest = self._latest.get(identity)
        return latest.rate if latest else UNLIMITED

    def is_limited(self, identity: str) -> bool:
        """Return whether an endpoint has a rate limit."""
        return self.rate(identity) != UNLIMITED

    def limited(self) -> Iterator[str]:
        """Yield the identities of the endpoints that have a rate limit."""
        return (identity for identity in self._latest if self.is_limited(identity))

    def record_answer(self, identity: str, rate: float, now: float) -> bool:
        """Record the rate in an answer; return whether the limit has changed."""
        latest = self._latest.get(identity)
        if rate == UNLIMITED and not self._ends_limit(latest, now):
            return False
        advertised = AdvertisedRate(rate, now)
        self._received[identity] = self._latest[identity] = advertised
        return latest is None or latest.rate != rate

    def apply_report(
        self, reported: Mapping[str, RateReport], now: float
    ) -> Iterator[str]:
        """Apply a peer's report; yield the endpoints whose limit has changed."""
        for identity, report in reported.items():
            advertised = AdvertisedRate(report.rate, now - report.age)
            latest = self._latest.get(identity)
            if latest is None and not advertised.is_limit:
                continue
            if latest is not None and latest.at >= advertised.at:
                continue
            self._latest[identity] = advertised
            if latest is None or latest.rate != advertised.rate:
                yield identity

    def report(self, now: float) -> dict[str, RateReport]:
        """Return the rates in the answers that this gateway received recently.

        Rates that peers reported aren't passed on: they would look newer each time.
        """
        recent = {
            i: r for i, r in self._received.items() if now - r.at < REPORTED_SECONDS
        }
        newest = sorted(recent, key=lambda i: recent[i].at, reverse=True)[
            :MAX_REPORTED_ENDPOINTS
        ]
        return {i: RateReport(recent[i].rate, now - recent[i].at) for i in newest}

    def may_send(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether this gateway may send a request to an endpoint now."""
        return not self.seconds_until_free(endpoint, now)

    def exhausted(self, endpoints: Iterable[Endpoint], now: float) -> Iterator[str]:
        """Yield the endpoints at which this gateway's quota is used up for now."""
        if self._latest:
            yield from (e.identity for e in endpoints if not self.may_send(e, now))

    def claim(self, endpoint: Endpoint, now: float) -> bool:
        """Count a request to a rate-limited endpoint if it may be sent.

        Return whether it was counted, which it isn't if the endpoint has no limit.
        """
        if not self.is_limited(endpoint.identity):
            return False
        if not self.may_send(endpoint, now):
            return False
        window = self.quota(endpoint).window + TRANSIT_JITTER_SECONDS
        self._sent.record(endpoint.identity, now, window)
        return True

    def seconds_until_free(self, endpoint: Endpoint, now: float) -> float:
        """Return the seconds until this gateway may send a request to an endpoint.

        0 if it may now, infinity if it has no quota there.
        """
        latest = self._latest.get(endpoint.identity)
        if latest is None or not latest.is_limit:
            return 0.0
        share = self._shares.of(endpoint)
        if share is None:
            return inf
        identity = endpoint.identity
        quota = self._quota(latest.rate, share)
        if self._should_probe(identity, latest, share, quota.window, now):
            return 0.0
        terms = LoanTerms(latest.rate, share.gateways)
        requests = quota.requests + self.loans.borrowed(identity, terms, now)
        requests -= self.loans.lent(identity, now)
        if requests <= 0:
            return self.loans.seconds_until_return(identity, now) or inf
        sent_at = self._sent.latest(identity, requests)
        if sent_at is None:
            return 0.0
        return max(0.0, sent_at + quota.window + TRANSIT_JITTER_SECONDS - now)

    def record_shortage(self, endpoints: Iterable[Endpoint], now: float) -> None:
        """Record that a request found no quota at any of the endpoints."""
        for endpoint in endpoints:
            if self.is_limited(endpoint.identity):
                self._short_at[endpoint.identity] = now

    def was_short(self, identity: str, since: float) -> bool:
        """Return whether a request has found no quota after a time."""
        return self._short_at.get(identity, -inf) > since

    def sent_in_window(self, endpoint: Endpoint, now: float) -> int:
        """Return how many requests were sent within the window of the quota."""
        quota = self.quota(endpoint)
        since = now - quota.window - TRANSIT_JITTER_SECONDS
        return self._sent.count(endpoint.identity, since)

    def terms(self, endpoint: Endpoint) -> LoanTerms | None:
        """Return the terms of loans at an endpoint; None if there can't be any."""
        share = self._shares.of(endpoint)
        if share is None or not self.is_limited(endpoint.identity):
            return None
        return LoanTerms(self.rate(endpoint.identity), share.gateways)

    def fleet_quota(self, endpoint: Endpoint) -> RateQuota:
        """Return the quota of all gateways together at an endpoint with a limit."""
        return fleet_quota(self.rate(endpoint.identity), self._gateways(endpoint))

    def lend(
        self, endpoint: Endpoint, borrower: str, requests: int, now: float
    ) -> None:
        """Give up requests in each window for a while; another gateway uses them."""
        window = self.quota(endpoint).window + TRANSIT_JITTER_SECONDS
        self.loans.lend(endpoint.identity, borrower, requests, window, now)

    def gateway_rate(self, endpoint: Endpoint) -> float:
        """Return the mean rate of one gateway under a limit, in requests a second."""
        rate = max(self.rate(endpoint.identity), MIN_REQUESTS_PER_SECOND)
        return rate / self._gateways(endpoint)

    def quota(self, endpoint: Endpoint) -> RateQuota | None:
        """Return this gateway's quota at an endpoint; None if it has no rate limit."""
        if not self.is_limited(endpoint.identity):
            return None
        share = self._shares.of(endpoint)
        if share is None:
            return RateQuota(0, WINDOWS_SECONDS[-1])
        return self._quota(self.rate(endpoint.identity), share)

    def forget(self, identity: str) -> None:
        """Drop the limit and the sent requests of an endpoint that was removed."""
        self._latest.pop(identity, None)
        self._received.pop(identity, None)
        self._sent.forget(identity)
        self._short_at.pop(identity, None)
        self.loans.forget(identity)

    def drop_expired(self, now: float) -> None:
        """Drop unconfirmed limits, and ended ones that no longer need reporting."""
        for identity, latest in list(self._latest.items()):
            max_age = FORGET_SECONDS if latest.is_limit else REPORTED_SECONDS
            if now - latest.at >= max_age:
                self.forget(identity)
        self.loans.drop_expired(now)

    def _gateways(self, endpoint: Endpoint) -> int:
        """Return how many gateways share the rate of an endpoint."""
        share = self._shares.of(endpoint)
        return share.gateways if share else len(self._shares)

    def _quota(self, rate: float, share: Share) -> RateQuota:
        """Return this gateway's quota of a rate."""
        quota = fleet_quota(rate, share.gateways)
        return RateQuota(share.quota(quota.requests), quota.window)

    @staticmethod
    def _ends_limit(latest: AdvertisedRate | None, now: float) -> bool:
        """Return whether an answer without a rate ends a limit."""
        if latest is None:
            return False
        return not latest.is_limit or now - latest.at >= MAX_REORDERING_SECONDS

    def _should_probe(
        self,
        identity: str,
        latest: AdvertisedRate,
        share: Share,
        window: float,
        now: float,
    ) -> bool:
        """Return whether this gateway should probe whether a limit still applies."""
        probe_after = max(PROBE_AFTER_SECONDS, 2 * window)
        probe_at = latest.at + probe_after + share.rank * PROBE_STAGGER_SECONDS
        sent_at = self._sent.latest(identity, 1)
        return now >= probe_at and (sent_at is None or now >= sent_at + probe_after)
