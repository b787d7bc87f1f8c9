"""The interface of admission policies and their registry."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Collection

from piershore.core.admission.candidate import Candidate, RunningGeneration
from piershore.core.admission.length_model import LengthModel
from piershore.core.configuration.objects import AdmissionSettings


class AdmissionPolicy(ABC):
    """Decides whether one more generation may start now."""

    def __init__(self, settings: AdmissionSettings, model: LengthModel) -> None:
        self._settings = settings
        self._model = model

    def start_round(self, running: Collection[RunningGeneration]) -> None:  # noqa: B027
        """Prepare a round of calls to `admits` with the running generations."""

    @abstractmethod
    def admits(
        self, candidate: Candidate, running: Collection[RunningGeneration]
    ) -> bool:
        """Return whether `candidate` fits beside `running`."""

    def record_start(self, candidate: Candidate) -> None:  # noqa: B027
        """Record that `candidate` was started in this round."""

    @property
    def capacity(self) -> int:
        """The engine's memory in tokens."""
        return self._settings.capacity_tokens


POLICIES: dict[str, type[AdmissionPolicy]] = {}


def admission_policy(
    name: str,
) -> Callable[[type[AdmissionPolicy]], type[AdmissionPolicy]]:
    """Register a policy under its name in a service's settings."""

    def register(policy: type[AdmissionPolicy]) -> type[AdmissionPolicy]:
        POLICIES[name] = policy
        return policy

    return register
