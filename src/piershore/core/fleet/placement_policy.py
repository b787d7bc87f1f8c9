"""Policies that rank engines for a new generation, registered by setting value."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from random import Random

from piershore.core.fleet.caller_aims import CallerAims
from piershore.core.fleet.endpoint import Endpoint
from piershore.core.fleet.endpoint_load import EndpointLoad
from piershore.core.fleet.endpoint_speed import EndpointSpeed
from piershore.core.fleet.endpoint_speeds import MAX_SLOWNESS
from piershore.core.fleet.generation_admission import has_memory, MAX_PROJECTED_SHARE
from piershore.core.fleet.generation_work import GenerationWork
from piershore.core.fleet.time_cost import max_late_cost, time_cost
from piershore.core.routes.service_spec import EngineSpec

PENDING_PROMPT_COST_TOKENS = 6_000.0
"""Pending prompt tokens that cost as much as a full endpoint: 0.4 s of prompt
processing, a quarter of the shortest first-token target latency observed."""
BATCH_COST = 0.5
"""Cost of a full batch relative to full memory: a batch only slows tokens down."""
POWER_OF_TWO_SAMPLE_SIZE = 2


class PlacementPolicy(ABC):
    """Assigns a cost to each engine; the cheapest of the sample is chosen."""

    @abstractmethod
    def cost(
        self, load: EndpointLoad, work: GenerationWork, engine: EngineSpec
    ) -> float:
        """Return the cost of placing `work`: 0 on an empty engine, about 1 if full."""

    def uneven_cost(
        self,
        load: EndpointLoad,
        work: GenerationWork,
        engine: EngineSpec,
        speed: EndpointSpeed,
        aims: CallerAims,
    ) -> float:
        """Return the cost of placing `work` where the engines differ in speed."""
        return self.cost(load, work, engine)

    def sample(self, endpoints: Sequence[Endpoint], random: Random) -> list[Endpoint]:
        """Return the engines to compare."""
        return list(endpoints)


PLACEMENT_POLICIES: dict[str, type[PlacementPolicy]] = {}
DEFAULT_PLACEMENT = "projected_peak"


def placement_policy(
    name: str,
) -> Callable[[type[PlacementPolicy]], type[PlacementPolicy]]:
    """Register a policy under its setting value."""

    def register(policy: type[PlacementPolicy]) -> type[PlacementPolicy]:
        PLACEMENT_POLICIES[name] = policy
        return policy

    return register


@placement_policy(DEFAULT_PLACEMENT)
class ProjectedPeak(PlacementPolicy):
    """Projected memory at the expected ends, batch size, and pending prompts."""

    def cost(
        self, load: EndpointLoad, work: GenerationWork, engine: EngineSpec
    ) -> float:
        """Return how full the engine would become."""
        required = work.held_tokens + work.remaining_tokens
        memory = (load.projected_tokens + required) / engine.memory_tokens
        pending_prompts = load.pending_prompt_tokens / PENDING_PROMPT_COST_TOKENS
        return memory + BATCH_COST * _batch_share(load, engine) + pending_prompts

    def uneven_cost(
        self,
        load: EndpointLoad,
        work: GenerationWork,
        engine: EngineSpec,
        speed: EndpointSpeed,
        aims: CallerAims,
    ) -> float:
        """Return how full the engine would become in time, and the risk to be late.

        An engine without memory ranks behind all that have it, as a late answer is
        better than a refusal.
        """
        own_prompt = 0 if work.has_begun else work.size.prompt_tokens
        cost = time_cost(
            self.cost(load, work, engine),
            own_prompt / PENDING_PROMPT_COST_TOKENS,
            load,
            work,
            engine,
            speed,
            aims,
        )
        if has_memory(load, work, engine):
            return cost
        return cost + _max_cost_with_memory(engine)


@placement_policy("least_in_flight")
class LeastInFlight(PlacementPolicy):
    """Baseline: the engine with the fewest generations."""

    def cost(
        self, load: EndpointLoad, work: GenerationWork, engine: EngineSpec
    ) -> float:
        """Return the share of the batch that would be used."""
        return _batch_share(load, engine)


@placement_policy("power_of_two")
class PowerOfTwo(LeastInFlight):
    """Baseline: of two engines picked at random, the one with fewer generations."""

    def sample(self, endpoints: Sequence[Endpoint], random: Random) -> list[Endpoint]:
        """Return two engines at random, or all if there are fewer."""
        return random.sample(endpoints, min(POWER_OF_TWO_SAMPLE_SIZE, len(endpoints)))


@placement_policy("memory_free_now")
class MemoryFreeNow(PlacementPolicy):
    """Baseline: the engine with the most free memory now."""

    def cost(
        self, load: EndpointLoad, work: GenerationWork, engine: EngineSpec
    ) -> float:
        """Return the share of the memory that would be in use."""
        return (load.held_tokens + work.held_tokens) / engine.memory_tokens


def _max_cost_with_memory(engine: EngineSpec) -> float:
    """Return the most that an engine with memory for a generation can cost."""
    prompts = engine.memory_tokens / PENDING_PROMPT_COST_TOKENS
    load_cost = MAX_PROJECTED_SHARE + BATCH_COST + prompts
    return MAX_SLOWNESS * load_cost + max_late_cost(engine)


def _batch_share(load: EndpointLoad, engine: EngineSpec) -> float:
    return (load.requests + 1) / engine.slots
