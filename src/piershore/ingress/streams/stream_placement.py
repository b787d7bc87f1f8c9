"""Placement of one generation and its backup in the fleet."""

from __future__ import annotations

from math import inf

from piershore.core.fleet.backup_policy import backup_memory_limit, fits_backup
from piershore.core.fleet.caller_aims import CallerAims
from piershore.core.fleet.endpoint import Endpoint
from piershore.core.fleet.fleet_load import BackupWork
from piershore.core.fleet.generation_admission import has_memory
from piershore.core.fleet.generation_work import GenerationWork
from piershore.core.fleet.placement import PlacementDecision
from piershore.core.fleet.prompt_deferral import defers_prompt
from piershore.core.mechanism import Mechanism
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
        route = exchange.route
        self._aims = CallerAims(route.target_latency, route.longest_pause)
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
        if self._endpoint is not None:
            load.remove(self._endpoint.identity, self.work)
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
        decision = placement.for_generation(
            service, self.work, spec.engine, now, excluded, aims=self._aims
        )
        if decision is None or has_memory(decision.load, self.work, spec.engine):
            return decision
        # Don't refuse a request while an endpoint outside the subset has free memory.
        return placement.for_generation(
            service,
            self.work,
            spec.engine,
            now,
            excluded,
            anywhere=True,
            aims=self._aims,
        )

    def fits(self, decision: PlacementDecision) -> bool:
        """Return whether the chosen endpoint has memory for the generation."""
        if not self._state.is_enabled(Mechanism.ADMISSION):
            return True
        spec = self._exchange.configuration.services.get(decision.endpoint.service)
        if spec is None or spec.engine is None:
            return True
        return has_memory(decision.load, self.work, spec.engine)

    def defers(self, decision: PlacementDecision) -> bool:
        """Return whether to wait until fewer prompts are pending at the engine."""
        if not self._state.is_enabled(Mechanism.PROMPT_DEFERRAL):
            return False
        exchange, service = self._exchange, decision.endpoint.service
        return defers_prompt(
            decision.load,
            self.work,
            exchange.age,
            exchange.route.target_latency,
            exchange.configuration.shortest_stream_targets.get(service, inf),
        )

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
