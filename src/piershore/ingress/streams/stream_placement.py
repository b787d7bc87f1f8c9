"""Placement of one generation and its backup in the fleet."""

from __future__ import annotations

from dataclasses import replace
from functools import partial

import trio

from piershore.core.fleet.backup_policy import backup_memory_limit, fits_backup
from piershore.core.fleet.endpoint import Endpoint
from piershore.core.fleet.endpoint_load import EndpointLoad
from piershore.core.fleet.fleet_load import BackupWork
from piershore.core.fleet.generation_admission import (
    has_memory,
    has_memory_in_order,
)
from piershore.core.fleet.generation_work import GenerationWork
from piershore.core.fleet.placement import PlacementDecision
from piershore.core.mechanism import Mechanism
from piershore.core.routes.service_spec import EngineSpec
from piershore.core.waiting.expected_times import whole_seconds
from piershore.core.waiting.memory_forecast import MemoryForecast
from piershore.core.waiting.preferred_room import prefer_room
from piershore.ingress.callers.exchange import Exchange
from piershore.ingress.gateway_state import GatewayState


class StreamPlacement:
    """Counts a generation at its endpoint and its backup in the fleet's load.

    Also chooses both endpoints, by the memory that the generation needs.
    """

    def __init__(
        self, state: GatewayState, exchange: Exchange, work: GenerationWork
    ) -> None:
        self._state = state
        self._exchange = exchange
        self._backup_work = BackupWork(work)
        self._endpoint: Endpoint | None = None
        self._backup: Endpoint | None = None
        self.work = work

    @property
    def backup(self) -> Endpoint | None:
        """The endpoint that the generation's memory is copied to as it grows."""
        return self._backup

    def place(self, endpoint: Endpoint | None) -> None:
        """Count the work at this endpoint only; at none if it is None."""
        load = self._state.fleet_load
        left = self._endpoint
        if left is not None:
            load.remove(left.identity, self.work)
            if self._state.waiting.has_waiting(left.service, trio.current_time()):
                # Those who wait at peers learn at once of the memory that is free.
                self._state.announce_load(left)
        if endpoint is not None:
            load.add(endpoint.identity, self.work)
            self._state.announce_load(endpoint)
        self._endpoint = endpoint

    def place_backup(self, backup: Endpoint | None) -> None:
        """Count the backup at this endpoint only; at none if it is None."""
        load = self._state.fleet_load
        if self._backup is not None:
            load.remove(self._backup.identity, self._backup_work)
        if backup is not None:
            load.add(backup.identity, self._backup_work)
        self._backup = backup

    def release(self) -> None:
        """Remove the work and its backup from the fleet's load."""
        self.place(None)
        self.place_backup(None)

    def choose(
        self, service: str, excluded: list[str], now: float
    ) -> PlacementDecision | None:
        """Return the best endpoint for the generation, or None if there is none."""
        spec = self._exchange.configuration.services.get(service)
        placement = self._state.placement
        if spec is None or spec.engine is None:
            return placement.for_call(service, now, excluded)
        decision = self._prefer_room(
            placement.for_generation(service, self.work, spec.engine, now, excluded)
        )
        if decision is None or self.has_room(decision):
            return decision
        # Don't refuse a request while an endpoint outside the subset has free memory.
        return self._prefer_room(
            placement.for_generation(
                service, self.work, spec.engine, now, excluded, anywhere=True
            )
        )

    def _prefer_room(
        self, decision: PlacementDecision | None
    ) -> PlacementDecision | None:
        """Return the next best endpoint that has memory, if the best has none."""
        if decision is None or not self._state.is_enabled(Mechanism.ORDERED_WAITING):
            return decision
        return prefer_room(decision, partial(self._has_room, decision.endpoint.service))

    def engine(self, service: str) -> EngineSpec | None:
        """Return the engines of a service, or None if it has none."""
        spec = self._exchange.configuration.services.get(service)
        return spec.engine if spec else None

    def has_room(self, decision: PlacementDecision) -> bool:
        """Return whether the generation fits beside the others at the endpoint."""
        return self._has_room(decision.endpoint.service, decision.load)

    def _has_room(self, service: str, load: EndpointLoad) -> bool:
        engine = self.engine(service)
        if engine is None:
            return True
        if self._state.is_enabled(Mechanism.ORDERED_WAITING):
            return has_memory_in_order(load, self.work, engine)
        return has_memory(load, self.work, engine)

    def forecast(self, decision: PlacementDecision, now: float) -> MemoryForecast:
        """Return the memory that the service's engines have for the generation."""
        state, service = self._state, decision.endpoint.service
        loads = (
            state.fleet_load.at(endpoint.identity)
            for endpoint in state.memory_scope.endpoints(service)
            if not state.placement.seconds_until_available(endpoint, now)
            and not state.health.is_ejected(endpoint.identity, now)
        )
        tokens = self.work.held_tokens + self.work.remaining_tokens
        return MemoryForecast(
            loads,
            self.engine(service),
            self.work.held_tokens,
            tokens,
            self._usual_seconds(decision.load),
        )

    def _usual_seconds(self, load: EndpointLoad) -> float:
        """Return how long the route's generations take from start to end."""
        route, size = self._exchange.route.name, self.work.size
        unknown = replace(size, hinted_tokens=None)
        estimate = self._state.lengths.estimate(route, unknown, trio.current_time())
        return whole_seconds(load, GenerationWork(size, estimate))

    def fits(self, decision: PlacementDecision) -> bool:
        """Return whether the chosen endpoint has memory for the generation."""
        if not self._state.is_enabled(Mechanism.ADMISSION):
            return True
        spec = self._exchange.configuration.services.get(decision.endpoint.service)
        if spec is None or spec.engine is None:
            return True
        return has_memory(decision.load, self.work, spec.engine)

    def choose_backup(self, endpoint: Endpoint, now: float) -> Endpoint | None:
        """Return the endpoint for a backup, or None if there should be none.

        The generation's memory is copied to its backup as it grows.
        """
        if not self._state.is_enabled(Mechanism.BACKUPS):
            return None
        spec = self._exchange.configuration.services.get(endpoint.service)
        engine = spec.engine if spec else None
        load = self._state.fleet_load.at(endpoint.identity)
        max_share = backup_memory_limit(load, self.work, engine) if engine else None
        if max_share is None:
            return None
        # A rate-limited endpoint might reject the stream when it must continue there.
        excluded = [endpoint.identity, *self._state.limits.limited()]
        decision = self.choose(endpoint.service, excluded, now)
        if decision is None or not fits_backup(
            decision.load, self.work, engine, max_share
        ):
            return None
        return decision.endpoint
