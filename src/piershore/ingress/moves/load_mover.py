"""Moves this gateway's streams away from engines that are too full or too slow."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Collection, Iterable, Iterator
from functools import cache

import trio

from piershore.core.fleet.endpoint import Endpoint
from piershore.core.fleet.load_moves import (
    FleetView,
    LoadMove,
    LoadMovePlanner,
    MovableStream,
    Slowness,
    uniform_slowness,
)
from piershore.core.mechanism import Mechanism
from piershore.core.routes.service_spec import EngineSpec
from piershore.ingress.gateway_state import GatewayState
from piershore.ingress.live_stream import LiveStream, LiveStreams
from piershore.ingress.moves.move_coordinator import MoveCoordinator
from piershore.telemetry.events import LoadMoveChosen

CHECK_INTERVAL_SECONDS = 0.2
"""Interval between checks of all streams, as long as a gateway's turn: a check adds up
the loads of all own streams."""


class LoadMover:
    """Checks the engines of the running streams, and begins the moves that are due.

    Moves away from endpoints that leave go first: no stream moves for load from or to
    an endpoint that takes no new work, nor while the list of endpoints may be stale.
    Streams with a backup stay: their memory is already held twice.
    """

    def __init__(
        self,
        state: GatewayState,
        live: LiveStreams,
        moves: MoveCoordinator,
        is_store_down: Callable[[], bool],
        slowness: Slowness = uniform_slowness,
    ) -> None:
        self._state = state
        self._live = live
        self._moves = moves
        self._is_store_down = is_store_down
        self._slowness = slowness
        self._planners: dict[str, LoadMovePlanner] = {}

    async def run(self) -> None:
        """Check all streams periodically, until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_SECONDS)
            if not self._state.is_leaving:
                self._check(trio.current_time())

    def _check(self, now: float) -> None:
        """Begin at most one move of each service."""
        by_service: dict[str, dict[str, Endpoint]] = defaultdict(dict)
        for stream in self._live:
            endpoint = stream.endpoint
            by_service[endpoint.service][endpoint.identity] = endpoint
        for service, sources in by_service.items():
            spec = self._state.configuration.service(service)
            if spec is None or spec.engine is None or not spec.engine.can_move:
                continue
            view = self._view(service, spec.engine, sources.values(), now)
            move = self._planner_of(service).plan(view, now)
            if move is not None:
                self._begin(move, spec.engine)

    def _planner_of(self, service: str) -> LoadMovePlanner:
        if service not in self._planners:
            planner = LoadMovePlanner(self._state.host, self._slowness)
            self._planners[service] = planner
        return self._planners[service]

    def _view(
        self,
        service: str,
        engine: EngineSpec,
        sources: Collection[Endpoint],
        now: float,
    ) -> FleetView:
        """Return the present view.

        Targets are the endpoints whose loads peers report at once. Whether the store is
        down is only determined if a stream should move: it depends on all peers.
        """
        is_store_down = cache(self._is_store_down)

        def targets() -> Iterable[Endpoint]:
            return self._state.subsets.own(service)

        def accepts_work(endpoint: Endpoint) -> bool:
            return self._accepts_work(endpoint, now) and not is_store_down()

        load = self._state.fleet_load
        return FleetView(
            engine,
            sources,
            self._movable_at,
            targets,
            accepts_work,
            cache(load.at),
            load.peers_at,
        )

    def _movable_at(self, source: Endpoint) -> Iterator[MovableStream]:
        for stream in self._live.running_at(source.identity):
            if _can_move(stream):
                yield _movable(stream)

    def _accepts_work(self, endpoint: Endpoint, now: float) -> bool:
        state, identity = self._state, endpoint.identity
        if state.directory.is_leaving(identity) or state.directory.is_drained(endpoint):
            return False
        if state.cold_starts.is_cold(identity, now) or state.limits.is_limited(
            identity
        ):
            return False
        if state.backoffs.is_active(identity, now):
            return False
        ejects = state.is_enabled(Mechanism.EJECTION)
        return not (ejects and state.health.is_ejected(identity, now))

    def _begin(self, move: LoadMove, engine: EngineSpec) -> None:
        planned, source = move.stream, move.stream.source
        self._state.log.write(
            LoadMoveChosen(
                planned.request,
                source.identity,
                move.target.identity,
                move.cause,
                move.source_tokens,
                move.target_tokens,
                engine.memory_tokens,
                planned.held_tokens,
                planned.remaining_tokens,
                move.source_slowness,
                move.target_slowness,
            )
        )
        for stream in self._live.running_at(source.identity):
            if stream.exchange.identity == planned.request:
                self._moves.move_for_load(stream, move.target, move.cause)
                return


def _can_move(stream: LiveStream) -> bool:
    """Return whether a stream runs at its endpoint and could continue elsewhere."""
    has_begun = stream.endpoint_first_event_at < float("inf")
    is_moving = stream.handover is not None or stream.is_given_up
    return has_begun and not is_moving and stream.backup is None


def _movable(stream: LiveStream) -> MovableStream:
    work = stream.work
    return MovableStream(
        stream.exchange.identity,
        stream.endpoint,
        work.held_tokens,
        work.remaining_tokens,
        stream.exchange.priority,
        stream.endpoint_first_event_at,
        stream.moved_at,
    )
