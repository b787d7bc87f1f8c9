"""Memory at an engine that long generations leave free for more urgent work.

The load pattern: long generations arrive faster than they end and fill all engines,
while light ones of a more urgent priority keep arriving. A light one needs memory for
a moment only, but in a full engine it queues until a long one ends, and its first token
is late. A long one that waits a moment for its start is still in time.

How much memory light work holds at one engine at a time follows from Little's law: its
arrivals per second at all gateways, times the time that one holds its memory, divided
by the engines. Gateways receive similar shares of the arrivals, so each computes the
rate from its own arrivals and the number of gateways, without a message.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from math import ceil, exp, sqrt
from statistics import NormalDist

from piershore.core.fleet.generation_work import GenerationWork, LONG_TOKENS
from piershore.core.fleet.light_work import LightWork

COVERAGE = 0.95
"""Share of the time in which the headroom is enough for the light work at an engine:
the share of requests whose first token is due within the target latency."""
MAX_RESERVED_SHARE = 0.25
"""Share of an engine's memory that may be reserved, so that most of it always serves
long generations."""
MAX_POISSON_MEAN = 100.0
"""Beyond this mean, the Poisson distribution is computed as a normal distribution."""


@dataclass(frozen=True)
class FleetSize:
    """The gateways that share a service's arrivals, and the engines that serve it."""

    gateways: int
    engines: int


@dataclass(frozen=True)
class Headroom:
    """Free memory for whole light generations that an engine should have.

    `tokens` is the memory of `requests` generations. Both are derived from the
    `arrivals_per_second` at all gateways, and from `held_seconds` and `tokens_each` of
    one generation.
    """

    requests: int = 0
    tokens: int = 0
    arrivals_per_second: float = 0.0
    held_seconds: float = 0.0
    tokens_each: float = 0.0


NO_HEADROOM = Headroom()


class UrgentHeadroom:
    """Learns how much memory light work holds, by service and priority."""

    def __init__(self) -> None:
        self._light: dict[str, dict[int, LightWork]] = {}

    def record_arrival(
        self, service: str, priority: int, work: GenerationWork, now: float
    ) -> None:
        """Record the arrival of a generation; ignore it if it isn't light."""
        tokens = work.held_tokens + work.remaining_tokens
        if not _is_light(work) or tokens <= 0:
            return
        priorities = self._light.setdefault(service, {})
        priorities.setdefault(priority, LightWork(now)).record_arrival(tokens, now)

    def record_served(
        self, service: str, priority: int, work: GenerationWork, seconds: float
    ) -> None:
        """Record the time from a generation's arrival to its end; ignore long ones."""
        light = self._light.get(service, {}).get(priority)
        if light is not None and _is_light(work):
            light.record_served(seconds)

    def tokens(
        self,
        service: str,
        priority: int,
        memory_tokens: int,
        fleet: FleetSize,
        now: float,
    ) -> int:
        """Return the memory that a long generation of this priority leaves free."""
        headroom = self.headroom(service, priority, memory_tokens, fleet, now)
        return headroom.tokens

    def headroom(
        self,
        service: str,
        priority: int,
        memory_tokens: int,
        fleet: FleetSize,
        now: float,
    ) -> Headroom:
        """Return the headroom for light work that is more urgent than this priority.

        The memory that such work holds already in the mean is part of an engine's load
        and not reserved once more.
        """
        urgent = list(self._more_urgent(service, priority, now))
        rates = [work.arrivals_per_second(now) * fleet.gateways for work in urgent]
        rate = sum(rates)
        if not rate or not fleet.engines:
            return NO_HEADROOM
        tokens_each = _mean((w.tokens_each for w in urgent), rates)
        held_seconds = _mean((w.held_seconds for w in urgent), rates)
        mean_requests = rate * held_seconds / fleet.engines
        requests = ceil(_poisson_quantile(mean_requests, COVERAGE) - mean_requests)
        max_requests = int(MAX_RESERVED_SHARE * memory_tokens / tokens_each)
        requests = min(requests, max_requests)
        tokens = ceil(requests * tokens_each)
        return Headroom(requests, tokens, rate, held_seconds, tokens_each)

    def _more_urgent(
        self, service: str, priority: int, now: float
    ) -> Iterator[LightWork]:
        """Yield the recent light work of lower priority values; drop what is older."""
        priorities = self._light.get(service, {})
        for value, light in list(priorities.items()):
            if not light.drop_expired(now):
                del priorities[value]
            elif value < priority:
                yield light


def _is_light(work: GenerationWork) -> bool:
    return work.size.max_output_tokens <= LONG_TOKENS


def _mean(values: Iterator[float], weights: list[float]) -> float:
    return sum(map(float.__mul__, map(float, values), weights)) / sum(weights)


def _poisson_quantile(mean: float, coverage: float) -> int:
    """Return the least count that a Poisson variable exceeds at most that rarely."""
    if mean > MAX_POISSON_MEAN:
        return ceil(mean + NormalDist().inv_cdf(coverage) * sqrt(mean))
    count, probability = 0, exp(-mean)
    cumulative = probability
    while cumulative < coverage:
        count += 1
        probability *= mean / count
        cumulative += probability
    return count
