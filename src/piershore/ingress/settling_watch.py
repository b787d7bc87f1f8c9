"""Moves long generations away from the engines that read prompts."""

from __future__ import annotations

from collections import defaultdict

import trio

from piershore.core.fleet.reading_engines import (
    reading_engines,
    ReadingDemand,
    settling_target,
)
from piershore.ingress.gateway_state import GatewayState
from piershore.ingress.live_stream import LiveStream, LiveStreams
from piershore.ingress.move_coordinator import MoveCoordinator

CHECK_SECONDS = 0.05
"""Time between two looks at all streams of a small fleet."""
ENDPOINT_SECONDS = 0.002
"""Time between two looks for each endpoint: a look takes some microseconds for each,
less than 0.5 % of a core."""
STAY_SECONDS = 1.0
"""A generation that was moved stays for so long, whatever the loads become."""


class SettlingWatch:
    """Lets this gateway's long streams go on where few prompts are read."""

    def __init__(
        self, state: GatewayState, live: LiveStreams, moves: MoveCoordinator
    ) -> None:
        self._state = state
        self._live = live
        self._moves = moves
        self._demands: dict[str, ReadingDemand] = defaultdict(ReadingDemand)

    async def run(self) -> None:
        """Look at all streams from time to time, for ever."""
        while True:
            count = len(self._state.directory)
            await trio.sleep(max(CHECK_SECONDS, count * ENDPOINT_SECONDS))
            configuration = self._state.configuration.value
            if configuration is None:
                continue
            for service, spec in configuration.services.items():
                if spec.engine is not None and spec.engine.can_move:
                    self._look(service, spec.engine)

    def _look(self, service: str, engine) -> None:
        state = self._state
        now = trio.current_time()
        endpoints = [
            endpoint
            for endpoint in state.directory.of_service(service)
            if not state.health.is_ejected(endpoint.identity, now)
        ]
        loads = {e.identity: state.fleet_load.at(e.identity) for e in endpoints}
        demand = self._demands[service]
        demand.look(loads)
        readers = reading_engines(loads, demand.engines)
        for stream in self._live:
            identity = stream.endpoint.identity
            if identity not in readers or not self._may_move(stream, now):
                continue
            target = settling_target(
                stream.endpoint, stream.work, endpoints, loads, readers, engine
            )
            if target is not None:
                self._moves.settle(stream, target)
                loads = {
                    **loads,
                    target.identity: state.fleet_load.at(target.identity)
                    + stream.work.load(),
                }

    def _may_move(self, stream: LiveStream, now: float) -> bool:
        if not stream.work.has_begun or not stream.work.is_long:
            return False
        if stream.handover is not None or stream.is_given_up:
            return False
        return not stream.moves or now - stream.leg_began_at > STAY_SECONDS
