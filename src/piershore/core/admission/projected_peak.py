"""Admission by the projected memory peak, based on learned output lengths."""

from __future__ import annotations

from collections.abc import Collection
from copy import copy

from piershore.core.admission.admission_policy import (
    admission_policy,
    AdmissionPolicy,
)
from piershore.core.admission.candidate import Candidate, RunningGeneration
from piershore.core.admission.projected_demand import ProjectedDemand


@admission_policy("projected_peak")
class ProjectedPeak(AdmissionPolicy):
    """Admit what keeps the projected peak within the capacity at a configured risk."""

    _demand: ProjectedDemand | None = None

    def start_round(self, running: Collection[RunningGeneration]) -> None:
        """Project the demand of the running generations."""
        self._demand = ProjectedDemand(self._model)
        self._demand.add_all(running)

    def admits(
        self, candidate: Candidate, running: Collection[RunningGeneration]
    ) -> bool:
        """Return whether the projected peak stays within the capacity."""
        if not running:
            return True
        demand = copy(self._demand)
        demand.add(candidate, 0)
        return demand.peak(self._settings.risk) <= self.capacity

    def record_start(self, candidate: Candidate) -> None:
        """Add the started generation to the projection."""
        self._demand.add(candidate, 0)
