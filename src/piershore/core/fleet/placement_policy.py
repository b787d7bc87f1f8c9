"""Policies that rank engines for a new generation, by the name of the setting."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from random import Random

from piershore.core.fleet.endpoint import Endpoint
from piershore.core.fleet.endpoint_load import EndpointLoad
from piershore.core.fleet.generation_work import GenerationWork
from piershore.core.routes.service_spec import EngineSpec

UNREAD_COST_TOKENS = 6_000.0
"""Prompt tokens waiting to be read that count as a full endpoint: 0.4 s of reading,
a quarter of the shortest first-token aim seen."""
BATCH_COST = 0.5
"""Weight of a full batch beside full memory: a batch only makes tokens slower."""
CHOICES_OF_TWO = 2


class PlacementPolicy(ABC):
    """Says what an engine costs; the cheapest of the sample is taken."""

    @abstractmethod
    def cost(
        self, load: EndpointLoad, work: GenerationWork, engine: EngineSpec
    ) -> float:
        """Return the cost of placing `work` there: 0 when empty, 1 about full."""

    def sample(self, endpoints: Sequence[Endpoint], random: Random) -> list[Endpoint]:
        """Return the engines to compare."""
        return list(endpoints)


PLACEMENT_POLICIES: dict[str, type[PlacementPolicy]] = {}
DEFAULT_PLACEMENT = "projected_peak"


def placement_policy(
    name: str,
) -> Callable[[type[PlacementPolicy]], type[PlacementPolicy]]:
    """Register a policy under the name that the setting gives."""

    def register(policy: type[PlacementPolicy]) -> type[PlacementPolicy]:
        PLACEMENT_POLICIES[name] = policy
        return policy

    return register


@placement_policy(DEFAULT_PLACEMENT)
class ProjectedPeak(PlacementPolicy):
    """Memory at the expected ends, the batch, and prompts that wait to be read."""

    def cost(
        self, load: EndpointLoad, work: GenerationWork, engine: EngineSpec
    ) -> float:
        """Return how full the engine would be."""
        wanted = work.held_tokens + work.remaining_tokens
        memory = (load.projected_tokens + wanted) / engine.memory_tokens
        unread = load.unread_tokens / UNREAD_COST_TOKENS
        return memory + BATCH_COST * _batch_share(load, engine) + unread


@placement_policy("least_in_flight")
class LeastInFlight(PlacementPolicy):
    """Baseline: the fewest generations."""

    def cost(
        self, load: EndpointLoad, work: GenerationWork, engine: EngineSpec
    ) -> float:
        """Return the part of the batch that would be taken."""
        return _batch_share(load, engine)


@placement_policy("power_of_two")
class PowerOfTwo(LeastInFlight):
    """Baseline: the fewer generations of two engines picked at random."""

    def sample(self, endpoints: Sequence[Endpoint], random: Random) -> list[Endpoint]:
        """Return two engines."""
        return random.sample(endpoints, min(CHOICES_OF_TWO, len(endpoints)))


@placement_policy("memory_free_now")
class MemoryFreeNow(PlacementPolicy):
    """Baseline: the most memory free at this moment."""

    def cost(
        self, load: EndpointLoad, work: GenerationWork, engine: EngineSpec
    ) -> float:
        """Return the part of the memory that would be held."""
        return (load.held_tokens + work.held_tokens) / engine.memory_tokens


def _batch_share(load: EndpointLoad, engine: EngineSpec) -> float:
    return (load.requests + 1) / engine.slots
