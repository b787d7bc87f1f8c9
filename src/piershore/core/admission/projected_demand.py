"""Projected memory demand of the running generations, step by step into the future.

docs/design/admission.md discusses the projection of the peak as generations finish one
after the other, with the measurement that supports it.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import sqrt
from statistics import NormalDist

from piershore.core.admission.candidate import Candidate, RunningGeneration
from piershore.core.admission.length_model import LengthModel

HORIZON_STEPS = (
    0,
    8,
    16,
    32,
    64,
    128,
    256,
    384,
    512,
    768,
    1024,
    1536,
    2048,
    3072,
    4096,
    6144,
    8192,
    12288,
    16384,
    24576,
    32768,
)


class ProjectedDemand:
    """Mean and variance of the demand at each of `HORIZON_STEPS` tokens ahead.

    A generation that survives `t` more steps holds its current tokens and `t` more; one
    that ends earlier holds none.
    """

    def __init__(self, model: LengthModel) -> None:
        self._model = model
        self._mean = [0.0] * len(HORIZON_STEPS)
        self._variance = [0.0] * len(HORIZON_STEPS)

    def __copy__(self) -> ProjectedDemand:
        duplicate = ProjectedDemand(self._model)
        duplicate._mean = list(self._mean)
        duplicate._variance = list(self._variance)
        return duplicate

    def add_all(self, running: Iterable[RunningGeneration]) -> None:
        """Add all running generations."""
        for generation in running:
            self.add(generation.candidate, generation.generated)

    def add(self, candidate: Candidate, generated: int) -> None:
        """Add one generation that has `generated` tokens so far."""
        held = candidate.prompt_tokens + generated
        probabilities = self._model.survival_probabilities(
            candidate.length_key, generated, HORIZON_STEPS, candidate.max_tokens
        )
        for index, probability in enumerate(probabilities):
            size = held + HORIZON_STEPS[index]
            self._mean[index] += probability * size
            self._variance[index] += probability * (1 - probability) * size * size

    def peak(self, risk: float) -> float:
        """Return the peak demand in tokens that is exceeded with probability `risk`."""
        deviations = NormalDist().inv_cdf(1 - risk)
        return max(
            mean + deviations * sqrt(variance)
            for mean, variance in zip(self._mean, self._variance, strict=True)
        )
