"""Decisions on which parts of endpoints' rates to borrow from other gateways, or lend.

Callers aren't spread evenly: one gateway may get most of them, while the others leave
their parts of a rate unused.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from math import ceil, floor, sqrt
from random import Random

from piershore.core.fleet.demand_meter import AVERAGING_SECONDS
from piershore.core.fleet.endpoint import Endpoint
from piershore.core.fleet.endpoint_rate_limits import EndpointRateLimits
from piershore.core.fleet.rate_loans import Loan
from piershore.core.fleet.rate_shares import RateShares

MIN_REQUEST_INTERVAL_SECONDS = 0.1
"""Interval of requests for loans while this gateway has used up its quota."""
SECONDS_PER_LENDER = 0.05
"""When nobody lends, the interval doubles up to this for each gateway that is asked:
where all have used up their quotas, nobody can lend."""
RENEWAL_SECONDS = 0.5
"""Interval at which loans in use are renewed, a third of their time."""
MAX_LENDERS = 64
"""Gateways that are asked at a time, with a datagram of some 100 bytes each."""
SKEWED_RATIO = 1.5
"""Loans are requested if callers want so many times this gateway's own quotas: less is
chance, and would only take from gateways that are about to get as many callers."""
SKEW_DEVIATIONS = 2.0
"""Standard deviations of the estimated demand that are taken for chance."""
DEMAND_MARGIN = 1.1
"""The requests that are borrowed for, as a multiple of those that come."""
SHORTAGE_SECONDS = 2.0
"""How long a request that found no quota is a reason to borrow."""
DEVIATIONS_KEPT = 2.0
"""A lender keeps its expected requests and so many standard deviations of them."""


@dataclass
class _Demand:
    """When loans at an endpoint were requested, and the interval of requests."""

    requested_at: float = float("-inf")
    interval: float = MIN_REQUEST_INTERVAL_SECONDS
    borrowed: int = 0


class RateLending:
    """Chooses what to borrow, and what to lend."""

    def __init__(
        self,
        limits: EndpointRateLimits,
        shares: RateShares,
        random: Random,
    ) -> None:
        self._limits = limits
        self._shares = shares
        self._random = random
        self._demands: dict[str, _Demand] = {}

    def requests(
        self, endpoints: Iterable[Endpoint], now: float
    ) -> Iterator[tuple[str, Loan]]:
        """Yield the loans to request now at limited endpoints, with their lenders."""
        by_service: dict[str, list[Endpoint]] = defaultdict(list)
        for endpoint in endpoints:
            by_service[endpoint.service].append(endpoint)
        for service, limited in by_service.items():
            own_rate = sum(self._own_rate(endpoint) for endpoint in limited)
            demand_rate = self._limits.demand.rate(service, now)
            if not self._is_skewed(demand_rate, own_rate):
                continue
            missing_rate = DEMAND_MARGIN * demand_rate - own_rate
            for endpoint in limited:
                yield from self._requests_at(endpoint, missing_rate / len(limited), now)

    def offer(
        self,
        endpoint: Endpoint,
        service: Iterable[Endpoint],
        borrower: str,
        wanted: Loan,
        now: float,
    ) -> int:
        """Lend another gateway up to what it wants; return how many requests.

        `service` are all endpoints of the same service. What callers who come here may
        want at any of them is kept.
        """
        limits = self._limits
        quota = limits.quota(endpoint)
        if quota is None or limits.terms(endpoint) != wanted.terms:
            return 0
        if limits.was_short(endpoint.identity, now - quota.window):
            return 0
        lent = limits.loans.lent(endpoint.identity, now, besides=borrower)
        unused = quota.requests - lent - limits.sent_in_window(endpoint, now)
        replaced = limits.loans.lent(endpoint.identity, now) - lent
        spare = self._spare(endpoint, service, quota.window, now) + replaced
        offered = max(0, min(wanted.requests, unused, spare))
        if offered:
            limits.lend(endpoint, borrower, offered, now)
        return offered

    def drop_removed(self, limited: set[str]) -> None:
        """Forget the demand at endpoints that have no limit any more."""
        for identity in self._demands.keys() - limited:
            del self._demands[identity]

    @staticmethod
    def _is_skewed(demand_rate: float, own_rate: float) -> bool:
        """Return whether callers want more than this gateway's part, not by chance."""
        deviation = sqrt(demand_rate / (2 * AVERAGING_SECONDS))
        usual = demand_rate - SKEW_DEVIATIONS * deviation
        return usual > SKEWED_RATIO * own_rate

    def _own_rate(self, endpoint: Endpoint) -> float:
        """Return the requests a second of this gateway's own quota."""
        quota = self._limits.quota(endpoint)
        return quota.requests / quota.window if quota else 0.0

    def _requests_at(
        self, endpoint: Endpoint, missing_rate: float, now: float
    ) -> Iterator[tuple[str, Loan]]:
        limits, identity = self._limits, endpoint.identity
        terms = limits.terms(endpoint)
        demand = self._demands.setdefault(identity, _Demand())
        if terms is None or now < demand.requested_at + demand.interval:
            return
        borrowed = limits.loans.borrowed(identity, terms, now)
        if not borrowed and not limits.was_short(identity, now - SHORTAGE_SECONDS):
            return
        quota = limits.quota(endpoint)
        most = limits.fleet_quota(endpoint).requests - quota.requests
        wanted = min(most, ceil(missing_rate * quota.window))
        lenders = self._lenders(endpoint, now)
        demand.requested_at = now
        demand.interval = self._next_interval(demand, borrowed, wanted, len(lenders))
        demand.borrowed = borrowed
        for lender in lenders:
            yield lender, Loan(identity, terms, ceil(wanted / len(lenders)))

    @staticmethod
    def _next_interval(
        demand: _Demand, borrowed: int, wanted: int, lenders: int
    ) -> float:
        """Return the seconds until the next request for loans at an endpoint."""
        if borrowed >= wanted:
            return RENEWAL_SECONDS
        if borrowed > demand.borrowed:
            return MIN_REQUEST_INTERVAL_SECONDS
        longest = max(RENEWAL_SECONDS, SECONDS_PER_LENDER * lenders)
        return min(2 * demand.interval, longest)

    def _lenders(self, endpoint: Endpoint, now: float) -> list[str]:
        """Return the gateways to ask: those that lend already, and some others."""
        lenders = self._limits.loans.lenders(endpoint.identity, now)
        others = [p for p in self._shares.peers(endpoint) if p not in lenders]
        count = min(len(others), max(0, MAX_LENDERS - len(lenders)))
        return lenders + self._random.sample(others, count)

    def _spare(
        self, endpoint: Endpoint, service: Iterable[Endpoint], window: float, now: float
    ) -> int:
        """Return how many requests in a window own callers won't want at a service."""
        limits = self._limits
        rate = sum(
            (quota.requests - limits.loans.lent(e.identity, now)) / quota.window
            for e in service
            if (quota := limits.quota(e)) is not None
        )
        expected = limits.demand.rate(endpoint.service, now) * window
        kept = expected + DEVIATIONS_KEPT * sqrt(expected)
        return floor(rate * window - kept)
