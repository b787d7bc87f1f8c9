"""The choice of an endpoint for a request."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass
from heapq import nsmallest
from random import Random

from piershore.core.fleet.asked_rests import AskedRests
from piershore.core.fleet.cold_starts import ColdStarts
from piershore.core.fleet.endpoint import Endpoint
from piershore.core.fleet.endpoint_directory import EndpointDirectory
from piershore.core.fleet.endpoint_health import EndpointHealth
from piershore.core.fleet.endpoint_load import EndpointLoad
from piershore.core.fleet.endpoint_rate_limits import EndpointRateLimits
from piershore.core.fleet.fleet_load import FleetLoad
from piershore.core.fleet.generation_work import GenerationWork
from piershore.core.fleet.hall_stalls import HallStalls
from piershore.core.fleet.placement_policy import PlacementPolicy
from piershore.core.fleet.subsetting import EndpointSubsets
from piershore.core.mechanism import Mechanism
from piershore.core.routes.service_spec import EngineSpec

REMOTE_HALL_COST = 0.02
"""A share of an endpoint; only decides between endpoints that are about equal."""
FAILURE_COST = 4.0
"""How many endpoints' worth of load a failing endpoint seems to have."""
TIE_COST = 0.005
"""Spread among equals, so that gateways don't all choose the same endpoint."""


MOST_COMPARED = 64
"""Endpoints that a choice among all looks at: the best of so many picked at random is
among the best in 60 of all, and the time doesn't grow further. The others are looked at
only if none of these is sound."""
MOST_OTHERS = 3
"""Endpoints told of beside the chosen one, so that a log explains the choice."""


@dataclass(frozen=True)
class Candidate:
    """An endpoint with what it would cost to choose it."""

    endpoint: Endpoint
    load: EndpointLoad
    cost: float


@dataclass(frozen=True)
class Choice:
    """The cheapest endpoint, and why it was none of the others.

    `others` are the next best, `ejected` the identities that were left out, `resting`
    those that want nothing from this gateway now, `limited` those that have got this
    gateway's part of the rate that they take; `view_age` is the age of the oldest
    report that the loads rest on, in seconds.
    """

    best: Candidate
    others: tuple[Candidate, ...]
    ejected: tuple[str, ...]
    resting: tuple[str, ...]
    limited: tuple[str, ...]
    view_age: float

    @property
    def endpoint(self) -> Endpoint:
        """The endpoint that was chosen."""
        return self.best.endpoint

    @property
    def load(self) -> EndpointLoad:
        """Its load before the choice."""
        return self.best.load


class Placement:
    """Chooses the endpoint that is the least loaded for what a request needs."""

    def __init__(
        self,
        data_hall: str,
        directory: EndpointDirectory,
        fleet_load: FleetLoad,
        health: EndpointHealth,
        random: Random,
        policy: PlacementPolicy,
        stalls: HallStalls,
        subsets: EndpointSubsets,
        cold: ColdStarts,
        rests: AskedRests,
        limits: EndpointRateLimits,
        disabled: frozenset[Mechanism] = frozenset(),
    ) -> None:
        self._data_hall = data_hall
        self._directory = directory
        self._fleet_load = fleet_load
        self._health = health
        self._random = random
        self._policy = policy
        self._stalls = stalls
        self._subsets = subsets
        self._cold = cold
        self._rests = rests
        self._limits = limits
        self._uses_subsets = Mechanism.SUBSETS not in disabled
        self._counts_stalls = Mechanism.STALL_COST not in disabled
        self._ejects = Mechanism.EJECTION not in disabled
        self._failure_cost = _cost(FAILURE_COST, Mechanism.FAILURE_COST, disabled)
        self._remote_cost = _cost(REMOTE_HALL_COST, Mechanism.HALL_PREFERENCE, disabled)

    def for_call(
        self, service: str, now: float, excluded: Collection[str] = ()
    ) -> Choice | None:
        """Return the endpoint for a plain request, or None if there is none."""
        endpoints = self._directory.of_service(service)
        return self._cheapest(endpoints, now, excluded, self._call_cost, _all)

    def for_generation(
        self,
        service: str,
        work: GenerationWork,
        engine: EngineSpec,
        now: float,
        excluded: Collection[str] = (),
        *,
        anywhere: bool = False,
    ) -> Choice | None:
        """Return the endpoint for a generation, or None if there is none.

        It is one of this gateway's subset, or of all if none of these is sound, or if
        the choice is to be made `anywhere`.
        """

        def cost(endpoint: Endpoint, load: EndpointLoad) -> float:
            return self._policy.cost(load, work, engine)

        endpoints = self._directory.of_service(service)
        if self._uses_subsets and not anywhere:
            subset = self._subsets.own(service)
            if any(self._is_sound(e, now) for e in self._able(subset, now, excluded)):
                endpoints = subset
        return self._cheapest(endpoints, now, excluded, cost, self._policy.sample)

    def sound_of(self, service: str, now: float) -> Iterator[Endpoint]:
        """Yield the endpoints of a service that are not left out now."""
        for endpoint in self._directory.of_service(service):
            if self._is_sound(endpoint, now) and not self.seconds_left(endpoint, now):
                yield endpoint

    def seconds_left(self, endpoint: Endpoint, now: float) -> float:
        """Return when an endpoint takes work from this gateway: 0 now, inf if the rate
        that it takes leaves no part to this gateway.
        """
        rest = self._rests.left(endpoint.identity, now)
        return max(rest, self._limits.seconds_until_free(endpoint, now))

    def service_seconds_left(self, service: str, now: float) -> float | None:
        """Return when the first endpoint of a service takes work, if none does now.

        None means that one takes work, or that there is none at all.
        """
        endpoints = self._directory.of_service(service)
        return min((self.seconds_left(e, now) for e in endpoints), default=0) or None

    def limited_rate(self, service: str) -> float:
        """Return what this gateway may send a second to limited endpoints."""
        return sum(
            self._limits.own_rate(endpoint)
            for endpoint in self._directory.of_service(service)
            if self._limits.is_limited(endpoint.identity)
        )

    def _able(
        self, endpoints: Iterable[Endpoint], now: float, excluded: Collection[str]
    ) -> Iterator[Endpoint]:
        """Yield the endpoints that may be chosen.

        Cold and limited ones bear only so much, and those that rest want nothing.
        """
        for endpoint in endpoints:
            if endpoint.identity in excluded or self.seconds_left(endpoint, now):
                continue
            if self._cold.may_send(endpoint, now):
                yield endpoint

    def _is_sound(self, endpoint: Endpoint, now: float) -> bool:
        return not (self._ejects and self._health.is_ejected(endpoint.identity, now))

    def _cheapest(self, endpoints, now, excluded, cost, sample) -> Choice | None:
        """Return the cheapest candidate; ejected endpoints only if all are."""
        compared = endpoints
        if len(endpoints) > MOST_COMPARED:
            compared = self._random.sample(endpoints, MOST_COMPARED)
        able = list(self._able(compared, now, excluded))
        sound = [e for e in able if self._is_sound(e, now)]
        if not sound and len(compared) < len(endpoints):
            able = list(self._able(endpoints, now, excluded))
            sound = [e for e in able if self._is_sound(e, now)]
            sound = self._random.sample(sound, min(len(sound), MOST_COMPARED))
        sampled = sample(sound or able, self._random)
        candidates = (self._candidate(endpoint, cost) for endpoint in sampled)
        ranked = nsmallest(1 + MOST_OTHERS, candidates, key=lambda c: c.cost)
        if not ranked:
            return None
        best, *others = ranked
        ejected = {e.identity for e in able} - {e.identity for e in sound}
        view_age = self._fleet_load.view_age(now)
        resting = [
            e.identity for e in compared if self._rests.is_resting(e.identity, now)
        ]
        return Choice(
            best,
            tuple(others),
            tuple(sorted(ejected)),
            tuple(sorted(resting)),
            tuple(sorted(self._limits.used_up(compared, now))),
            view_age,
        )

    def _candidate(self, endpoint: Endpoint, cost) -> Candidate:
        load = self._fleet_load.at(endpoint.identity)
        total = cost(endpoint, load) + self._random.random() * TIE_COST
        total += self._failure_cost * self._health.failure_rate(endpoint.identity)
        if endpoint.data_hall != self._data_hall:
            total += self._remote_cost
        if self._counts_stalls:
            total += self._stalls.cost(endpoint.data_hall)
        return Candidate(endpoint, load, total)

    @staticmethod
    def _call_cost(endpoint: Endpoint, load: EndpointLoad) -> float:
        return load.requests / max(1, endpoint.slots)


def _all(endpoints: list[Endpoint], random: Random) -> list[Endpoint]:
    return endpoints


def _cost(cost: float, mechanism: Mechanism, disabled: frozenset[Mechanism]) -> float:
    return 0.0 if mechanism in disabled else cost
