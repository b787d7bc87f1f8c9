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

TICK_SECONDS, COPY_SECONDS, EXPECTED_TOKENS = 0.05, 0.3, 700
TICKS_PER_CHECK = 4
SPEC = EngineSpec(24, 27_000, 131_072, 2.4e9, can_move=True, can_back_up=False)
SETTINGS = EngineSettings(SPEC.memory_tokens, 24, 0.007, 0.00012, 0.0, 1 / 14_000, 112)


def endpoint(number):
    address, stage = Address("h", number), EndpointStage.READY
    return Endpoint(str(number), "model", address, f"hall-{number % 3}", 24, stage)


@dataclass
class Generation:
    """One generation; `target` is the engine that it is copied to until `arrives`."""

    run: EngineGeneration
    gateway: int
    engine: int
    target: int | None = None
    arrives: float = 0.0
    moved_at: float = float("-inf")

    def load(self):
        remaining = max(60, EXPECTED_TOKENS - self.run.generated)
        return EndpointLoad(1, self.run.held, self.run.held + remaining)

    def movable(self):
        run, load = self.run, self.load()
        remaining = load.projected_tokens - run.held
        source, moved_at = endpoint(self.engine), self.moved_at
        return MovableStream(
            run.identity, source, run.held, remaining, 5, run.order, moved_at
        )


class MovingFleet:
    """Engines that hold `shares` of their memory and get no new generations.

    Several generations grow together, since all are young. Gateways know the loads of
    their peers as they were up to `view_age` seconds ago. Engines that are empty at the
    start accept work from `opens_at` on.
    """

    def __init__(self, seed, shares, gateways, view_age, slowness=None, opens_at=0.0):
        self._accept_from = [0.0 if share else opens_at for share in shares]
        self._random, self._view_age = Random(seed), view_age
        self._slowness = slowness or [1.0] * len(shares)
        self.now, self._history = 0.0, []
        self._engines = [EngineModel(SETTINGS) for _ in shares]
        self._clocks = [0.0] * len(shares)
        self._planners = [
            LoadMovePlanner(str(g), lambda name, _: self._slowness[int(name)])
            for g in range(gateways)
        ]
        self.generations, self.moves, self.preempted = {}, [], set()
        for number, share in enumerate(shares):
            self._fill(number, self._engines[number], share * SPEC.memory_tokens)

    def _fill(self, number, engine, tokens):
        while True:
            length = round(min(1_780, self._random.lognormvariate(6.4, 0.6)))
            name, order = f"{number}-{len(engine.running)}", len(engine.running)
            prompt = self._random.randrange(2_200, 4_200)
            run = EngineGeneration(name, prompt, length, 0, "", order)
            run.generated = self._random.randrange(1 + length // 4)
            if engine.used_tokens + run.held > tokens:
                return
            engine.running.append(run)
            gateway = self._random.randrange(len(self._planners))
            self.generations[name] = Generation(run, gateway, number)

    def run(self, seconds, *, moves=True):
        gateways = range(len(self._planners))
        while self.now < seconds:
            self.now += TICK_SECONDS
            for generation in self.generations.values():
                if generation.target is not None and generation.arrives <= self.now:
                    self._finish_copy(generation)
            for number, engine in enumerate(self._engines):
                while self._clocks[number] < self.now:
                    step = engine.step()
                    self._clocks[number] += step.duration * self._slowness[number]
                    self.preempted.update(step.preempted)
                    for name in step.finished:
                        del self.generations[name]
            self._history.append([self._loads(gateway) for gateway in gateways])
            # Each gateway checks at its own moments.
            for gateway in gateways[
                len(self._history) % TICKS_PER_CHECK :: TICKS_PER_CHECK
            ]:
                if moves:
                    self._plan(gateway)

    def _of(self, gateway):
        return [g for g in self.generations.values() if g.gateway == gateway]

    def _loads(self, gateway):
        loads = defaultdict(EndpointLoad)
        for generation in self._of(gateway):
            loads[str(generation.engine)] += generation.load()
            if generation.target is not None:
                departing = DepartingWork(generation, lambda: True)
                loads[str(generation.engine)] += departing.load()
                loads[str(generation.target)] += generation.load()
        return dict(loads)

    def _plan(self, gateway):
        age = round(self._random.uniform(0, self._view_age) / TICK_SECONDS)
        seen = [*self._history[max(0, len(self._history) - 1 - age)]]
        seen[gateway] = self._loads(gateway)
        streams = [g.movable() for g in self._of(gateway) if g.target is None]
        endpoints = [endpoint(number) for number in range(len(self._engines))]
        view = FleetView(
            SPEC,
            {stream.source for stream in streams},
            lambda source: [s for s in streams if s.source == source],
            lambda: endpoints,
            lambda one: self.now >= self._accept_from[int(one.name)],
            lambda name: sum((loads.get(name, NO_LOAD) for loads in seen), NO_LOAD),
            lambda name: [str(g) for g, loads in enumerate(seen) if name in loads],
        )
        move = self._planners[gateway].plan(view, self.now)
        if move is not None:
            self.moves.append((self.now, gateway, move))
            self._begin_copy(self.generations[move.stream.request], move.target)

    def _begin_copy(self, generation, target):
        """Copy a generation, unless the target refuses it for lack of memory."""
        number = int(target.name)
        copies = [g.run.held for g in self.generations.values() if g.target == number]
        used = self._engines[number].used_tokens + sum(copies)
        if used + generation.run.held <= SPEC.memory_tokens:
            generation.target, generation.arrives = number, self.now + COPY_SECONDS

    def _finish_copy(self, generation):
        target, generation.target = generation.target, None
        if generation.run in self._engines[generation.engine].running:
            self._engines[generation.engine].cancel(generation.run.identity)
            self._engines[target].running.append(generation.run)
            generation.engine, generation.moved_at = target, self.now
