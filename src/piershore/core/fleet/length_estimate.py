"""What can be told of one generation's output before it has ended."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from math import erfc, exp, log, sqrt

NEGLIGIBLE = 1e-4
"""Chance below which a generation is longer than anything that was expected."""
LEAST_SPREAD = 0.01
"""A narrower distribution counts as a certain length."""


@dataclass(frozen=True)
class LengthEstimate:
    """A log-normal distribution of the output, in tokens, cut off at `most`.

    `spread` is the standard deviation of the logarithm.
    """

    median: float
    spread: float
    most: int

    @classmethod
    def exactly(cls, tokens: int) -> LengthEstimate:
        """Return the estimate of a length that is known."""
        return cls(tokens, 0.0, tokens)

    def mean_remaining(self, made: int) -> float:
        """Return the mean output still to come, given what was made."""
        if made >= self.most:
            return 0.0
        if self.spread < LEAST_SPREAD:
            return max(0.0, min(self.median, self.most) - made)
        chance = self._chance_beyond(made)
        if chance < NEGLIGIBLE:
            return (self.most - made) / 2
        return (self._mean_up_to(self.most) - self._mean_up_to(made)) / chance

    def median_remaining(self, made: int) -> float:
        """Return what is left to the median, and beyond that half of what may come."""
        median = min(self.median, self.most)
        return median - made if made < median else max(0, self.most - made) / 2

    def _mean_up_to(self, length: float) -> float:
        """Return the mean of the smaller of the output and `length`."""
        if length <= 0:
            return 0.0
        place = log(length / self.median) / self.spread
        below = _normal_beyond(self.spread - place)
        mean = self.median * exp(self.spread**2 / 2) * below
        return mean + length * _normal_beyond(place)

    def _chance_beyond(self, length: float) -> float:
        if length <= 0:
            return 1.0
        return _normal_beyond(log(length / self.median) / self.spread)


def _normal_beyond(place: float) -> float:
    """Return the chance of a standard normal variable beyond `place`."""
    return erfc(place / sqrt(2)) / 2


class LengthExpectation(ABC):
    """What of an estimate stands for the output still to come."""

    @abstractmethod
    def remaining(self, estimate: LengthEstimate, made: int) -> float:
        """Return the tokens to reckon with."""


LENGTH_EXPECTATIONS: dict[str, type[LengthExpectation]] = {}
DEFAULT_EXPECTATION = "mean"


def length_expectation(
    name: str,
) -> Callable[[type[LengthExpectation]], type[LengthExpectation]]:
    """Register an expectation under the name that the setting gives."""

    def register(expectation: type[LengthExpectation]) -> type[LengthExpectation]:
        LENGTH_EXPECTATIONS[name] = expectation
        return expectation

    return register


@length_expectation(DEFAULT_EXPECTATION)
class MeanLength(LengthExpectation):
    """The mean given what was made: sums of many generations come out right."""

    def remaining(self, estimate: LengthEstimate, made: int) -> float:
        """Return the mean output still to come."""
        return estimate.mean_remaining(made)


@length_expectation("median")
class MedianLength(LengthExpectation):
    """Baseline: the median, though a few long outputs hold most of the memory."""

    def remaining(self, estimate: LengthEstimate, made: int) -> float:
        """Return what is left to the median."""
        return estimate.median_remaining(made)
