"""Expected output lengths, from callers' hints and from generations that ended.

The lengths of a route's outputs, their spread and the error of callers' hints are
learned as generations end, and shared with the peers: a gateway of a large fleet
observes only one long generation every few seconds. Old observations are discounted, so
that a change of the workload shows after some minutes.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from math import exp, log, sqrt

from piershore.core.fleet.generation_work import GenerationSize
from piershore.core.fleet.length_estimate import LengthEstimate

PRIOR_HINT_SPREAD = 1.2
"""Prior standard deviation of the logarithm of hint over length."""
PRIOR_LENGTH_SPREAD = 0.9
"""Prior standard deviation of the logarithms of a route's lengths; logs showed 0.84 and
0.99."""
PRIOR_MEDIAN_SHARE = 0.3
"""Prior median length, as a share of the maximum that the request allows."""
PRIOR_WEIGHT = 4.0
"""Weight of these priors, in observed lengths."""
DECAY_SECONDS = 180.0
"""Time in which the weight of an observed length decays by a factor of e: three minutes
of a busy service have some hundred generations, and workloads change over hours."""
PEER_REPORT_EXPIRY_SECONDS = 30.0
"""How long a peer's report counts. Its lengths stay valid for a while after the peer
departed, since it served the same workload."""
SUM_CACHE_SECONDS = 0.5
"""How long a sum over all peers is cached: computing it takes 0.8 ms for 410 peers."""


@dataclass(frozen=True)
class LengthSums:
    """Weighted sums over the generations of one route that ended.

    `log_sum` and `log_square_sum` are over the logarithms of lengths, `hint_count` and
    `hint_error_square_sum` over the logarithms of hint over length, where there was a
    hint.
    """

    count: float = 0.0
    log_sum: float = 0.0
    log_square_sum: float = 0.0
    hint_count: float = 0.0
    hint_error_square_sum: float = 0.0

    def __add__(self, other: LengthSums) -> LengthSums:
        return LengthSums(
            self.count + other.count,
            self.log_sum + other.log_sum,
            self.log_square_sum + other.log_square_sum,
            self.hint_count + other.hint_count,
            self.hint_error_square_sum + other.hint_error_square_sum,
        )

    @property
    def squared_deviation_sum(self) -> float:
        """Sum of the squared deviations of the logarithms from their mean."""
        if not self.count:
            return 0.0
        return max(0.0, self.log_square_sum - self.log_sum**2 / self.count)

    def scaled(self, weight: float) -> LengthSums:
        """Return the sums with the weight of each generation scaled."""
        return LengthSums(
            self.count * weight,
            self.log_sum * weight,
            self.log_square_sum * weight,
            self.hint_count * weight,
            self.hint_error_square_sum * weight,
        )

    @classmethod
    def of(cls, tokens: int, hint: int | None) -> LengthSums:
        """Return the sums for one generation."""
        length = log(max(1, tokens))
        if hint is None:
            return cls(1.0, length, length**2)
        error = log(max(1, hint)) - length
        return cls(1.0, length, length**2, 1.0, error**2)


NO_LENGTHS = LengthSums()


@dataclass(frozen=True)
class RouteLengthEstimate:
    """Estimated distribution of a route's lengths; spreads are of logarithms.

    `sample_weight` is the total weight of the observed lengths.
    """

    median: float
    spread: float
    hint_spread: float
    sample_weight: float


class OutputLengths:
    """Learns output lengths from generations that ended here and at the peers."""

    def __init__(self) -> None:
        self._own: dict[str, tuple[float, LengthSums]] = {}
        self._peers: dict[str, tuple[float, Mapping[str, LengthSums]]] = {}
        self._sum_cache: dict[str, tuple[float, LengthSums]] = {}

    def record(self, route: str, size: GenerationSize, tokens: int, now: float) -> None:
        """Record the length of a generation that completed."""
        observed = LengthSums.of(tokens, size.hinted_tokens)
        self._own[route] = (now, self._own_sums(route, now) + observed)

    def report(self, now: float) -> dict[str, LengthSums]:
        """Return the sums observed by this gateway, by route."""
        return {route: self._own_sums(route, now) for route in self._own}

    def apply_report(
        self, peer: str, sums: Mapping[str, LengthSums], now: float
    ) -> None:
        """Replace what a peer reported, and drop expired reports."""
        self._peers[peer] = (now, sums)
        reports = self._peers.items()
        for expired in [
            host for host, (at, _) in reports if now - at > PEER_REPORT_EXPIRY_SECONDS
        ]:
            del self._peers[expired]

    def route_estimate(
        self, route: str, max_tokens: int, now: float
    ) -> RouteLengthEstimate:
        """Return the estimate of a route whose outputs have at most `max_tokens`."""
        observed = self._all_sums(route, now)
        prior_log_median = log(max(1.0, PRIOR_MEDIAN_SHARE * max(1, max_tokens)))
        count = PRIOR_WEIGHT + observed.count
        log_median = (PRIOR_WEIGHT * prior_log_median + observed.log_sum) / count
        variance = (
            PRIOR_WEIGHT * PRIOR_LENGTH_SPREAD**2 + observed.squared_deviation_sum
        ) / count
        hint_variance = (
            PRIOR_WEIGHT * PRIOR_HINT_SPREAD**2 + observed.hint_error_square_sum
        ) / (PRIOR_WEIGHT + observed.hint_count)
        return RouteLengthEstimate(
            exp(log_median), sqrt(variance), sqrt(hint_variance), observed.count
        )

    def estimate(self, route: str, size: GenerationSize, now: float) -> LengthEstimate:
        """Return the estimate of a new generation's length."""
        maximum = max(1, size.max_output_tokens)
        lengths = self.route_estimate(route, maximum, now)
        if size.hinted_tokens is None:
            return LengthEstimate(lengths.median, lengths.spread, maximum)
        hint_weight = 1 / lengths.hint_spread**2
        route_weight = 1 / lengths.spread**2
        total = hint_weight + route_weight
        log_hint = log(max(1, size.hinted_tokens))
        log_median = (
            hint_weight * log_hint + route_weight * log(lengths.median)
        ) / total
        return LengthEstimate(exp(log_median), 1 / sqrt(total), maximum)

    def _own_sums(self, route: str, now: float) -> LengthSums:
        at, sums = self._own.get(route, (now, NO_LENGTHS))
        return sums.scaled(exp((at - now) / DECAY_SECONDS))

    def _all_sums(self, route: str, now: float) -> LengthSums:
        at, sums = self._sum_cache.get(route, (float("-inf"), NO_LENGTHS))
        if now - at > SUM_CACHE_SECONDS:
            sums = self._compute_sum(route, now)
            self._sum_cache[route] = (now, sums)
        return sums

    def _compute_sum(self, route: str, now: float) -> LengthSums:
        reports = (
            sums
            for at, sums in self._peers.values()
            if now - at < PEER_REPORT_EXPIRY_SECONDS
        )
        peers = (sums.get(route, NO_LENGTHS) for sums in reports)
        return sum(peers, self._own_sums(route, now))
