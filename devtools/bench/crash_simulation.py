"""A request under which engines crash comes again and again, in virtual time."""

from __future__ import annotations

from dataclasses import replace

from devtools.bench.fleet_simulation import (
    FleetRun,
    FleetSettings,
    FleetStream,
    REPLACED_AFTER_SECONDS,
    SimulatedEngine,
)
from piershore.core.fleet.generation_work import GenerationSize, GenerationWork
from piershore.core.fleet.length_estimate import LengthEstimate

CRASH_SECONDS = 0.1
"""From the begin of the request's run to the engine's crash."""
CRASHING_WORK = GenerationWork(GenerationSize(882, 48, 2), LengthEstimate.exactly(2))
"""A short check, as small as the one that was recorded."""


class CrashRun(FleetRun):
    """A fleet's run in which one request crashes each engine that begins to run it.

    It comes every `repeat_every` seconds at any gateway. `crashes` are the times at
    which engines ended under it, `refused` is how often it was not sent.
    """

    def __init__(self, settings: FleetSettings, seed: int, repeat_every: float) -> None:
        super().__init__(settings, seed)
        self._repeat_every = repeat_every
        self.crashes: list[float] = []
        self.refused = 0

    def run(self) -> list[FleetStream]:
        """Play until the time is over; return the streams of the other callers."""
        self._at(self._repeat_every, self._repeat)
        return super().run()

    def _repeat(self) -> None:
        if self._is_over:
            return
        gap = self._random.expovariate(1 / self._repeat_every)
        self._at(gap, self._repeat)
        stream = self._new_stream(self._random.choice(self._gateways))
        stream = replace(stream, identity=f"crasher-{self._now}", work=CRASHING_WORK)
        self._send(stream)

    def _send(self, stream: FleetStream) -> None:
        choice = stream.gateway.placement.for_generation(
            "model", stream.work, self._engine, self._now
        )
        if choice is None:
            self.refused += 1
            return
        engine = self._engines[choice.endpoint.identity]
        self._at(CRASH_SECONDS, self._crash, engine, stream)

    def _crash(self, engine: SimulatedEngine, stream: FleetStream) -> None:
        if engine.is_gone:
            return
        self.crashes.append(self._now)
        engine.is_leaving = True
        self._at(REPLACED_AFTER_SECONDS, self._add_engine, next(self._numbers))
        self._go(engine)
