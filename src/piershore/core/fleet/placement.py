"""The choice of an endpoint for a request."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from heapq import nsmallest
from random import Random

from piershore.core.fleet.endpoint import Endpoint
from piershore.core.fleet.endpoint_directory import EndpointDirectory
from piershore.core.fleet.endpoint_health import EndpointHealth
from piershore.core.fleet.endpoint_load import EndpointLoad
from piershore.core.fleet.fleet_load import FleetLoad
from piershore.core.fleet.generation_work import GenerationWork
from piershore.core.routes.service_spec import EngineSpec

REMOTE_HALL_COST = 0.02
"""A share of an endpoint; only decides between endpoints that are about equal."""
FAILURE_COST = 4.0
"""How many endpoints' worth of load a failing endpoint seems to have."""
WARM_UP_COST = 0.25
"""Cost of an endpoint that is still slow after its start."""
UNREAD_COST_TOKENS = 6_000.0
"""Prompt tokens waiting to be read that count as a full endpoint: 0.4 s of reading,
a quarter of the shortest first-token aim seen."""
TIE_COST = 0.005
"""Spread among equals, so that gateways don't all choose the same endpoint."""


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

    `others` are the next best, `ejected` the identities that were left out;
    `view_age` is the age of the oldest report that the loads rest on, in seconds.
    """

    best: Candidate
    others: tuple[Candidate, ...]
    ejected: tuple[str, ...]
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
    ) -> None:
        self._data_hall = data_hall
        self._directory = directory
        self._fleet_load = fleet_load
        self._health = health
        self._random = random

    def for_call(
        self, service: str, now: float, excluded: Collection[str] = ()
    ) -> Choice | None:
        """Return the endpoint for a plain request, or None if there is none."""
        return self._cheapest(service, now, excluded, self._call_cost)

    def for_generation(
        self,
        service: str,
        work: GenerationWork,
        engine: EngineSpec,
        now: float,
        excluded: Collection[str] = (),
    ) -> Choice | None:
        """Return the endpoint for a generation, or None if there is none."""

        def cost(endpoint: Endpoint, load: EndpointLoad) -> float:
            return generation_cost(load, work, engine)

        return self._cheapest(service, now, excluded, cost)

    def _cheapest(self, service, now, excluded, cost) -> Choice | None:
        """Return the cheapest candidate; ejected endpoints only if all are."""
        endpoints = [
            endpoint
            for endpoint in self._directory.of_service(service)
            if endpoint.identity not in excluded
        ]
        sound = [
            endpoint
            for endpoint in endpoints
            if not self._health.is_ejected(endpoint.identity, now)
        ]
        candidates = (self._candidate(e, cost) for e in sound or endpoints)
        ranked = nsmallest(1 + MOST_OTHERS, candidates, key=lambda c: c.cost)
        if not ranked:
            return None
        best, *others = ranked
        ejected = {e.identity for e in endpoints} - {e.identity for e in sound}
        view_age = self._fleet_load.view_age(now)
        return Choice(best, tuple(others), tuple(sorted(ejected)), view_age)

    def _candidate(self, endpoint: Endpoint, cost) -> Candidate:
        load = self._fleet_load.at(endpoint.identity)
        total = cost(endpoint, load) + self._random.random() * TIE_COST
        total += FAILURE_COST * self._health.failure_rate(endpoint.identity)
        if endpoint.data_hall != self._data_hall:
            total += REMOTE_HALL_COST
        if endpoint.warm_up > 0:
            total += WARM_UP_COST
        return Candidate(endpoint, load, total)

    @staticmethod
    def _call_cost(endpoint: Endpoint, load: EndpointLoad) -> float:
        return load.requests / max(1, endpoint.slots)


def generation_cost(
    load: EndpointLoad, work: GenerationWork, engine: EngineSpec
) -> float:
    """Return how full an engine would be, by memory, batch and unread prompts."""
    wanted = work.held_tokens + work.remaining_tokens
    memory = (load.projected_tokens + wanted) / engine.memory_tokens
    batch = (load.requests + 1) / engine.slots
    unread = load.unread_tokens / UNREAD_COST_TOKENS
    return memory + 0.5 * batch + unread
