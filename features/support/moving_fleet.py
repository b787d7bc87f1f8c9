"""Engines and gateways that move generations for load, in virtual time."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from random import Random

from piershore.core.fleet.endpoint import Address, Endpoint, EndpointStage
from piershore.core.fleet.endpoint_load import EndpointLoad, NO_LOAD
from piershore.core.fleet.load_moves import FleetView, LoadMovePlanner, MovableStream
from piershore.core.routes.service_spec import EngineSpec
from standins.engine_model import EngineGeneration, EngineModel, EngineSettings

TICK_SECONDS = 0.05
COPY_SECONDS = 0.3
EXPECTED_TOKENS = 700
SPEC = EngineSpec(24, 27_000, 131_072, 2.4e9, can_move=True, can_back_up=False)
SETTINGS = EngineSettings(27_000, 24, 0.007, 0.00012, 0.0, 1 / 14_000, 112)


@dataclass
class Generation:
    """One generation; `counted_at` is the engine whose load includes it."""

    run: EngineGeneration
    gateway: int
    engine: int
    counted_at: int
    arrives: float | None = None
    moved_at: float = float("-inf")

    def load(self):
        remaining = max(60, EXPECTED_TOKENS - self.run.generated)
        return EndpointLoad(1, self.run.held, self.run.held + remaining)


class MovingFleet:
    """Runs engines that hold `shares` of their memory, without new generations."""

    def __init__(self, seed, shares, gateways, view_age, slowness=None):
        self._random = Random(seed)
        self._view_age = view_age
        self._slowness = slowness or [1.0] * len(shares)
        self.now = 0.0
        self.engines = [EngineModel(SETTINGS) for _ in shares]
        self._clocks = [0.0] * len(shares)
        self.endpoints = [
            Endpoint(f"e{i}", "model", Address("h", i), f"{i % 3}", 24, _READY)
            for i in range(len(shares))
        ]
        by_name = dict(
            zip((e.identity for e in self.endpoints), self._slowness, strict=True)
        )
        self._planners = [
            LoadMovePlanner(f"g{g}", lambda identity, _: by_name[identity])
            for g in range(gateways)
        ]
        self._history = deque(maxlen=1 + round(1 / TICK_SECONDS))
        self.generations = {}
        self.moves, self.refused, self.preempted = [], 0, set()
        self.is_overfilled = False
        for engine, share in enumerate(shares):
            self._fill(engine, share * SPEC.memory_tokens, gateways)

    def _fill(self, engine, tokens, gateways):
        model, random = self.engines[engine], self._random
        while True:
            length = round(min(1_780, random.lognormvariate(6.4, 0.6)))
            run = EngineGeneration(
                f"{engine}-{len(model.running)}",
                random.randrange(2_200, 4_200),
                length,
                0,
                "",
                len(model.running),
                generated=random.randrange(1 + length // 4),
            )
            if model.used_tokens + run.held > tokens:
                return
            model.running.append(run)
            gateway = random.randrange(gateways)
            self.generations[run.identity] = Generation(run, gateway, engine, engine)

    def run(self, seconds, *, moves=True):
        gateways = range(len(self._planners))
        while self.now < seconds:
            self.now += TICK_SECONDS
            self._finish_copies()
            for number in range(len(self.engines)):
                self._step(number)
            self._history.append([self._loads(gateway) for gateway in gateways])
            if moves:
                for gateway in self._random.sample(gateways, len(gateways)):
                    self._plan(gateway)

    def _step(self, number):
        while self._clocks[number] < self.now:
            step = self.engines[number].step()
            self._clocks[number] += step.duration * self._slowness[number]
            self.preempted.update(step.preempted)
            for identity in step.finished:
                del self.generations[identity]

    def _loads(self, gateway):
        loads = {}
        for generation in self._of(gateway):
            identity = self.endpoints[generation.counted_at].identity
            loads[identity] = loads.get(identity, NO_LOAD) + generation.load()
        return loads

    def _of(self, gateway):
        return [g for g in self.generations.values() if g.gateway == gateway]

    def _plan(self, gateway):
        """Plan by the own present loads and those of the peers some time ago."""
        age = round(self._random.uniform(0, self._view_age) / TICK_SECONDS)
        seen = [*self._history[max(-len(self._history), -1 - age)]]
        seen[gateway] = self._loads(gateway)

        def load_at(identity):
            return sum(
                (loads[identity] for loads in seen if identity in loads), NO_LOAD
            )

        def hosts_at(identity):
            return {f"g{g}" for g, loads in enumerate(seen) if identity in loads}

        streams = [
            MovableStream(
                g.run.identity,
                self.endpoints[g.engine],
                g.run.held,
                g.load().projected_tokens - g.run.held,
                5,
                g.moved_at,
            )
            for g in self._of(gateway)
            if g.arrives is None
        ]
        view = FleetView(
            SPEC, lambda: self.endpoints, lambda endpoint: True, load_at, hosts_at
        )
        move = self._planners[gateway].plan(streams, view, self.now)
        if move is not None:
            self._begin(move)

    def _begin(self, move):
        """Copy, unless the target has no memory for it."""
        generation = self.generations[move.stream.request]
        target = int(move.target.identity[1:])
        if self._held(target) + generation.run.held > SPEC.memory_tokens:
            self.refused += 1
            return
        self.moves.append((self.now, move))
        generation.counted_at = target
        generation.arrives = self.now + COPY_SECONDS

    def _held(self, engine):
        copies = (
            g.run.held
            for g in self.generations.values()
            if g.arrives is not None and g.counted_at == engine
        )
        return self.engines[engine].used_tokens + sum(copies)

    def _finish_copies(self):
        for generation in self.generations.values():
            if generation.arrives is None or generation.arrives > self.now:
                continue
            generation.arrives = None
            if generation.run not in self.engines[generation.engine].running:
                generation.counted_at = generation.engine
                continue
            self.engines[generation.engine].cancel(generation.run.identity)
            target = self.engines[generation.counted_at]
            target.running.append(generation.run)
            generation.engine, generation.moved_at = generation.counted_at, self.now


_READY = EndpointStage.READY
