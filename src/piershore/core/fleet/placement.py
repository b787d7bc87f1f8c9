"""Placement of requests: which endpoint a request is sent to."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass
from heapq import nsmallest
from random import Random

from piershore.core.fleet.caller_aims import CallerAims, NO_AIMS
from piershore.core.fleet.cold_starts import ColdStarts
from piershore.core.fleet.data_hall_stalls import DataHallStalls
from piershore.core.fleet.endpoint import Endpoint
from piershore.core.fleet.endpoint_directory import EndpointDirectory
from piershore.core.fleet.endpoint_health import EndpointHealth
from piershore.core.fleet.endpoint_load import EndpointLoad
from piershore.core.fleet.endpoint_rate_limits import EndpointRateLimits
from piershore.core.fleet.endpoint_speeds import EndpointSpeeds
from piershore.core.fleet.fleet_load import FleetLoad
from piershore.core.fleet.generation_work import GenerationWork
from piershore.core.fleet.placement_policy import PlacementPolicy
from piershore.core.fleet.requested_backoffs import RequestedBackoffs
from piershore.core.fleet.subsetting import EndpointSubsets
from piershore.core.mechanism import Mechanism
from piershore.core.routes.service_spec import EngineSpec

REMOTE_DATA_HALL_COST = 0.02
"""Fraction of an endpoint's load. It only decides between about equal endpoints."""
FAILURE_COST = 4.0
"""Cost of an endpoint whose attempts all fail, in full loads of an endpoint."""
TIE_COST = 0.005
"""Random spread among equal endpoints: gateways don't all choose the same one."""


MAX_COMPARED_ENDPOINTS = 64
"""Endpoints compared when choosing among all: the best of a random sample of this size
is among the best 60th of all, and the time of a choice doesn't grow with the fleet. The
others are only considered if none of the sample is healthy."""
MAX_LOGGED_ALTERNATIVES = 3
"""Next best endpoints that the log names beside the chosen one, to explain it."""


@dataclass(frozen=True)
class Candidate:
    """An endpoint and the cost of choosing it.

    `slowness` is its time per token relative to its service, None if not known.
    """

    endpoint: Endpoint
    load: EndpointLoad
    cost: float
    slowness: float | None = None


@dataclass(frozen=True)
class PlacementDecision:
    """The cheapest endpoint, and why the others were not chosen.

    `others` are the next best. `ejected` are the identities that were left out because
    of failures, `resting` those that asked this gateway to back off, and `limited`
    those whose rate quota this gateway has used up. `view_age` is the age in seconds of
    the oldest peer report that the loads are based on.
    """

    best: Candidate
    others: tuple[Candidate, ...]
    ejected: tuple[str, ...]
    resting: tuple[str, ...]
    limited: tuple[str, ...]
    view_age: float

    @property
    def endpoint(self) -> Endpoint:
        """The chosen endpoint."""
        return self.best.endpoint

    @property
    def load(self) -> EndpointLoad:
        """The load of the chosen endpoint before this request."""
        return self.best.load


class Placement:
    """Chooses the endpoint with the lowest cost for a request."""

    def __init__(
        self,
        data_hall: str,
        directory: EndpointDirectory,
        fleet_load: FleetLoad,
        health: EndpointHealth,
        random: Random,
        policy: PlacementPolicy,
        stalls: DataHallStalls,
        subsets: EndpointSubsets,
        cold_starts: ColdStarts,
        backoffs: RequestedBackoffs,
        limits: EndpointRateLimits,
        disabled: frozenset[Mechanism] = frozenset(),
        speeds: EndpointSpeeds | None = None,
    ) -> None:
        self._data_hall = data_hall
        self._directory = directory
        self._fleet_load = fleet_load
        self._health = health
        self._random = random
        self._policy = policy
        self._stalls = stalls
        self._subsets = subsets
        self._cold_starts = cold_starts
        self._backoffs = backoffs
        self._limits = limits
        self._speeds = speeds or EndpointSpeeds()
        self._uses_speeds = Mechanism.ENDPOINT_SPEEDS not in disabled
        self._uses_subsets = Mechanism.SUBSETS not in disabled
        self._counts_stalls = Mechanism.STALL_COST not in disabled
        self._ejects = Mechanism.EJECTION not in disabled
        self._failure_cost = _cost_if_enabled(
            FAILURE_COST, Mechanism.FAILURE_COST, disabled
        )
        self._remote_cost = _cost_if_enabled(
            REMOTE_DATA_HALL_COST, Mechanism.HALL_PREFERENCE, disabled
        )

    def for_call(
        self, service: str, now: float, excluded: Collection[str] = ()
    ) -> PlacementDecision | None:
        """Return the decision for a plain request, or None without an endpoint."""
        endpoints = self._directory.of_service(service)
        return self._cheapest(endpoints, now, excluded, self._call_cost, _keep_all)

    def for_generation(
        self,
        service: str,
        work: GenerationWork,
        engine: EngineSpec,
        now: float,
        excluded: Collection[str] = (),
        *,
        anywhere: bool = False,
        aims: CallerAims = NO_AIMS,
    ) -> PlacementDecision | None:
        """Return the decision for a generation, or None without an endpoint.

        Choose from this gateway's subset, or from all endpoints if none of the subset
        is healthy or if `anywhere` is set. `aims` count where endpoints differ.
        """

        def even_cost(endpoint: Endpoint, load: EndpointLoad) -> float:
            return self._policy.cost(load, work, engine)

        def uneven_cost(endpoint: Endpoint, load: EndpointLoad) -> float:
            speed = self._speeds.speed(
                endpoint.identity, service, aims.longest_pause, now
            )
            return self._policy.uneven_cost(load, work, engine, speed, aims)

        is_uneven = (
            self._uses_speeds and self._speeds.of_service(service, now).are_uneven
        )
        cost = uneven_cost if is_uneven else even_cost
        endpoints = self._directory.of_service(service)
        if self._uses_subsets and not anywhere:
            subset = self._subsets.own(service)
            if any(
                self._is_healthy(e, now) for e in self._eligible(subset, now, excluded)
            ):
                endpoints = subset
        return self._cheapest(endpoints, now, excluded, cost, self._policy.sample)

    def available_endpoints(self, service: str, now: float) -> Iterator[Endpoint]:
        """Yield the endpoints of a service that are healthy and accept work now."""
        for endpoint in self._directory.of_service(service):
            if self._is_healthy(endpoint, now) and not self.seconds_until_available(
                endpoint, now
            ):
                yield endpoint

    def seconds_until_available(self, endpoint: Endpoint, now: float) -> float:
        """Return the seconds until an endpoint accepts work from this gateway.

        0 means now, inf that the endpoint's rate limit leaves this gateway no quota.
        """
        backoff = self._backoffs.seconds_left(endpoint.identity, now)
        return max(backoff, self._limits.seconds_until_free(endpoint, now))

    def seconds_until_any_available(self, service: str, now: float) -> float | None:
        """Return the seconds until any endpoint of a service accepts work.

        None means that one accepts work now, or that the service has no endpoints.
        """
        endpoints = self._directory.of_service(service)
        return (
            min((self.seconds_until_available(e, now) for e in endpoints), default=0)
            or None
        )

    def limited_rate(self, service: str) -> float:
        """Return the requests per second this gateway may send to limited endpoints."""
        return sum(
            self._limits.gateway_rate(endpoint)
            for endpoint in self._directory.of_service(service)
            if self._limits.is_limited(endpoint.identity)
        )

    def _eligible(
        self, endpoints: Iterable[Endpoint], now: float, excluded: Collection[str]
    ) -> Iterator[Endpoint]:
        """Yield the endpoints that may be chosen.

        Leave out endpoints that asked to back off, and cold or rate-limited ones whose
        quota is used up.
        """
        for endpoint in endpoints:
            if endpoint.identity in excluded or self.seconds_until_available(
                endpoint, now
            ):
                continue
            if self._cold_starts.may_send(endpoint, now):
                yield endpoint

    def _is_healthy(self, endpoint: Endpoint, now: float) -> bool:
        return not (self._ejects and self._health.is_ejected(endpoint.identity, now))

    def _cheapest(
        self, endpoints, now, excluded, cost, sample
    ) -> PlacementDecision | None:
        """Return the cheapest candidate; consider ejected endpoints only if all are."""
        compared = endpoints
        if len(endpoints) > MAX_COMPARED_ENDPOINTS:
            compared = self._random.sample(endpoints, MAX_COMPARED_ENDPOINTS)
        eligible = list(self._eligible(compared, now, excluded))
        healthy = [e for e in eligible if self._is_healthy(e, now)]
        if not healthy and len(compared) < len(endpoints):
            eligible = list(self._eligible(endpoints, now, excluded))
            healthy = [e for e in eligible if self._is_healthy(e, now)]
            healthy = self._random.sample(
                healthy, min(len(healthy), MAX_COMPARED_ENDPOINTS)
            )
        sampled = sample(healthy or eligible, self._random)
        candidates = (self._candidate(endpoint, cost) for endpoint in sampled)
        ranked = nsmallest(
            1 + MAX_LOGGED_ALTERNATIVES, candidates, key=lambda c: c.cost
        )
        if not ranked:
            return None
        best, *others = ranked
        ejected = {e.identity for e in eligible} - {e.identity for e in healthy}
        view_age = self._fleet_load.view_age(now)
        resting = [
            e.identity for e in compared if self._backoffs.is_active(e.identity, now)
        ]
        return PlacementDecision(
            best,
            tuple(others),
            tuple(sorted(ejected)),
            tuple(sorted(resting)),
            tuple(sorted(self._limits.exhausted(compared, now))),
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
        slowness = None
        if self._uses_speeds:
            slowness = self._speeds.known_slowness(endpoint.identity, endpoint.service)
        return Candidate(endpoint, load, total, slowness)

    @staticmethod
    def _call_cost(endpoint: Endpoint, load: EndpointLoad) -> float:
        return load.requests / max(1, endpoint.slots)


def _keep_all(endpoints: list[Endpoint], random: Random) -> list[Endpoint]:
    return endpoints


def _cost_if_enabled(
    cost: float, mechanism: Mechanism, disabled: frozenset[Mechanism]
) -> float:
    return 0.0 if mechanism in disabled else cost
