"""Engines and gateways that move generations for load, in virtual time."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from random import Random

from piershore.core.fleet.endpoint import Address, Endpoint, EndpointStage
from piershore.core.fleet.endpoint_load import EndpointLoad, NO_LOAD
from piershore.core.fleet.fleet_load import DepartingWork
from piershore.core.fleet.load_moves import FleetView, LoadMovePlanner, MovableStream
from piershore.core.routes.service_spec import EngineSpec
from standins.engine_model import EngineGeneration, EngineModel, EngineSettings

TICK_SECONDS = 0.05
COPY_SECONDS = 0.3
EXPECTED_TOKENS = 700
SPEC = EngineSpec(24, 27_000, 131_072, 2.4e9, can_move=True, can_back_up=False)
SETTINGS = EngineSettings(SPEC.memory_tokens, 24, 0.007, 0.00012, 0.0, 1 / 14_000, 112)


@dataclass
class Generation:
    """One generation; `target` is the engine that it is copied to until `arrives`."""

    run: EngineGeneration
    gateway: int
    engine: int
    target: int | None = None
    arrives: float = 0.0
    moved_at: float = float("-inf")

    @property
    def remaining(self):
        return max(60, EXPECTED_TOKENS - self.run.generated)

    def load(self):
        return EndpointLoad(1, self.run.held, self.run.held + self.remaining)

    def departure(self):
        return DepartingWork(self, lambda: True).load()


class MovingFleet:
    """Engines that hold `shares` of their memory and get no new generations."""

    def __init__(self, seed, shares, gateways, view_age=0.0, slowness=None):
        self._random = Random(seed)
        self._view_age = view_age
        self._slowness = slowness or [1.0] * len(shares)
        self.now = 0.0
        self._history = []
        self._engines = [EngineModel(SETTINGS) for _ in shares]
        self._clocks = [0.0] * len(shares)
        self._endpoints = [
            Endpoint(
                str(i), "model", Address("h", i), str(i % 3), 24, EndpointStage.READY
            )
            for i in range(len(shares))
        ]
        self._planners = [
            LoadMovePlanner(str(g), lambda name, _: self._slowness[int(name)])
            for g in range(gateways)
        ]
        self.generations = {}
        self.moves, self.refused, self.preempted = [], 0, set()
        for engine, share in enumerate(shares):
            self._fill(engine, share * SPEC.memory_tokens)

    def _fill(self, engine, tokens):
        """Fill an engine with young generations, of which several grow together."""
        running, random = self._engines[engine].running, self._random
        while True:
            length = round(min(1_780, random.lognormvariate(6.4, 0.6)))
            name, prompt = f"{engine}-{len(running)}", random.randrange(2_200, 4_200)
            run = EngineGeneration(name, prompt, length, 0, "", len(running))
            run.generated = random.randrange(1 + length // 4)
            if self._engines[engine].used_tokens + run.held > tokens:
                return
            running.append(run)
            gateway = random.randrange(len(self._planners))
            self.generations[name] = Generation(run, gateway, engine)

    def run(self, seconds, *, moves=True):
        gateways = range(len(self._planners))
        while self.now < seconds:
            self.now += TICK_SECONDS
            for generation in self.generations.values():
                if generation.target is not None and generation.arrives <= self.now:
                    self._finish_copy(generation)
            for number, engine in enumerate(self._engines):
                while self._clocks[number] < self.now:
                    self._step(number, engine)
            self._history.append([self._loads(gateway) for gateway in gateways])
            for gateway in self._random.sample(gateways, len(gateways) * moves):
                self._plan(gateway)

    def _step(self, number, engine):
        step = engine.step()
        self._clocks[number] += step.duration * self._slowness[number]
        self.preempted.update(step.preempted)
        for name in step.finished:
            del self.generations[name]

    def _loads(self, gateway):
        loads = defaultdict(EndpointLoad)
        for generation in self._of(gateway):
            load = generation.load()
            loads[str(generation.engine)] += load
            if generation.target is not None:
                loads[str(generation.target)] += load
                loads[str(generation.engine)] += generation.departure()
        return loads

    def _of(self, gateway):
        return [g for g in self.generations.values() if g.gateway == gateway]

    def _plan(self, gateway):
        """Plan by the own present loads and those of the peers some time ago."""
        age = round(self._random.uniform(0, self._view_age) / TICK_SECONDS)
        seen = [*self._history[max(0, len(self._history) - 1 - age)]]
        seen[gateway] = self._loads(gateway)
        view = FleetView(
            SPEC,
            lambda: self._endpoints,
            lambda endpoint: True,
            lambda name: sum((own[name] for own in seen if name in own), NO_LOAD),
            lambda name: [str(g) for g, loads in enumerate(seen) if name in loads],
        )
        streams = [
            MovableStream(
                g.run.identity,
                self._endpoints[g.engine],
                g.run.held,
                g.remaining,
                5,
                g.run.order,
                g.moved_at,
            )
            for g in self._of(gateway)
            if g.target is None
        ]
        move = self._planners[gateway].plan(streams, view, self.now)
        if move is not None:
            self.moves.append((self.now, gateway, move))
            self._begin_copy(
                self.generations[move.stream.request], int(move.target.name)
            )

    def _begin_copy(self, generation, target):
        """Copy a generation, unless the target refuses it for lack of memory."""
        copies = [g.run.held for g in self.generations.values() if g.target == target]
        used = self._engines[target].used_tokens + sum(copies)
        if used + generation.run.held > SPEC.memory_tokens:
            self.refused += 1
        else:
            generation.target = target
            generation.arrives = self.now + COPY_SECONDS

    def _finish_copy(self, generation):
        target, generation.target = generation.target, None
        if generation.run in self._engines[generation.engine].running:
            self._engines[generation.engine].cancel(generation.run.identity)
            self._engines[target].running.append(generation.run)
            generation.engine, generation.moved_at = target, self.now
