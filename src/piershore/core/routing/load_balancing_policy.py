"""Load balancing policies, registered by the value of the setting."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from random import Random

from piershore.core.hashing import stable_hash
from piershore.core.routing.endpoint_state import EndpointState

REMOTE_DATA_HALL_PENALTY = 1.0
AFFINITY_CANDIDATES = 2
AFFINITY_SLACK = 4.0
PREFIX_CHARACTERS = 256


class LoadBalancingPolicy(ABC):
    """Chooses among the endpoints that accept work."""

    def __init__(self, data_hall: str, random: Random) -> None:
        self._data_hall = data_hall
        self._random = random

    @abstractmethod
    def choose(self, endpoints: Sequence[EndpointState], prompt: str) -> EndpointState:
        """Return one of `endpoints`, which must not be empty."""

    def cost(self, endpoint: EndpointState) -> float:
        """Return the expected work, plus a penalty for another data hall."""
        is_remote = endpoint.data_hall != self._data_hall
        return endpoint.expected_work + (REMOTE_DATA_HALL_PENALTY if is_remote else 0.0)


LOAD_BALANCING_POLICIES: dict[str, type[LoadBalancingPolicy]] = {}


def load_balancing_policy(
    name: str,
) -> Callable[[type[LoadBalancingPolicy]], type[LoadBalancingPolicy]]:
    """Register a policy under its setting value."""

    def register(policy: type[LoadBalancingPolicy]) -> type[LoadBalancingPolicy]:
        LOAD_BALANCING_POLICIES[name] = policy
        return policy

    return register


@load_balancing_policy("random")
class RandomEndpoint(LoadBalancingPolicy):
    """Baseline: any endpoint, at random."""

    def choose(self, endpoints: Sequence[EndpointState], prompt: str) -> EndpointState:
        """Return one of `endpoints` at random."""
        return self._random.choice(endpoints)


@load_balancing_policy("least_work_of_two")
class LeastWorkOfTwo(LoadBalancingPolicy):
    """The less loaded of two random endpoints, which tolerates stale load reports."""

    def choose(self, endpoints: Sequence[EndpointState], prompt: str) -> EndpointState:
        """Return the less loaded of two random endpoints."""
        sampled = self._random.sample(endpoints, min(2, len(endpoints)))
        return min(sampled, key=self.cost)


@load_balancing_policy("prefix_affinity")
class PrefixAffinity(LeastWorkOfTwo):
    """The endpoint likely to have cached the prompt's prefix, unless overloaded."""

    def choose(self, endpoints: Sequence[EndpointState], prompt: str) -> EndpointState:
        """Return a preferred endpoint for the prefix, or the less loaded of two."""
        prefix = prompt[:PREFIX_CHARACTERS]
        ranked = sorted(endpoints, key=lambda e: stable_hash(prefix, e.name))
        preferred = min(ranked[:AFFINITY_CANDIDATES], key=self.cost)
        other = super().choose(endpoints, prompt)
        if self.cost(preferred) <= self.cost(other) + AFFINITY_SLACK:
            return preferred
        return other
