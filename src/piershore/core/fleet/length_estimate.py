"""Estimates of a generation's output length before it has ended."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from math import erfc, exp, log, sqrt

NEGLIGIBLE_PROBABILITY = 1e-4
"""If reaching the current length was less likely than this, the estimate says nothing
about the remaining output."""
MIN_SPREAD = 0.01
"""A distribution with less spread is treated as a known length."""


@dataclass(frozen=True)
class LengthEstimate:
    """A log-normal distribution of the output in tokens, cut off at `maximum`.

    `spread` is the standard deviation of the logarithm.
    """

    median: float
    spread: float
    maximum: int

    @classmethod
    def exactly(cls, tokens: int) -> LengthEstimate:
        """Return the estimate for a known length."""
        return cls(tokens, 0.0, tokens)

    def mean_remaining(self, generated: int) -> float:
        """Return the mean remaining output, given the tokens generated so far."""
        if generated >= self.maximum:
            return 0.0
        if self.spread < MIN_SPREAD:
            return max(0.0, min(self.median, self.maximum) - generated)
        probability = self._probability_beyond(generated)
        if probability < NEGLIGIBLE_PROBABILITY:
            return (self.maximum - generated) / 2
        return (
            self._capped_mean(self.maximum) - self._capped_mean(generated)
        ) / probability

    def median_remaining(self, generated: int) -> float:
        """Return the remaining tokens up to the median.

        Beyond the median, return half of those up to the maximum.
        """
        median = min(self.median, self.maximum)
        return (
            median - generated
            if generated < median
            else max(0, self.maximum - generated) / 2
        )

    def _capped_mean(self, length: float) -> float:
        """Return the mean of the output, capped at `length`."""
        if length <= 0:
            return 0.0
        z_score = log(length / self.median) / self.spread
        probability_below = _normal_survival(self.spread - z_score)
        mean = self.median * exp(self.spread**2 / 2) * probability_below
        return mean + length * _normal_survival(z_score)

    def _probability_beyond(self, length: float) -> float:
        if length <= 0:
            return 1.0
        return _normal_survival(log(length / self.median) / self.spread)


def _normal_survival(z_score: float) -> float:
    """Return the probability that a standard normal variable exceeds `place`."""
    return erfc(z_score / sqrt(2)) / 2


class LengthExpectation(ABC):
    """Derives the expected remaining output from an estimate."""

    @abstractmethod
    def remaining(self, estimate: LengthEstimate, generated: int) -> float:
        """Return the expected remaining tokens after `generated`."""


LENGTH_EXPECTATIONS: dict[str, type[LengthExpectation]] = {}
DEFAULT_EXPECTATION = "mean"


def length_expectation(
    name: str,
) -> Callable[[type[LengthExpectation]], type[LengthExpectation]]:
    """Register an expectation under its setting value."""

    def register(expectation: type[LengthExpectation]) -> type[LengthExpectation]:
        LENGTH_EXPECTATIONS[name] = expectation
        return expectation

    return register


@length_expectation(DEFAULT_EXPECTATION)
class MeanLength(LengthExpectation):
    """The conditional mean: sums over many generations are unbiased."""

    def remaining(self, estimate: LengthEstimate, generated: int) -> float:
        """Return the mean remaining output."""
        return estimate.mean_remaining(generated)


@length_expectation("median")
class MedianLength(LengthExpectation):
    """Baseline: the median, which ignores that few long outputs hold most memory."""

    def remaining(self, estimate: LengthEstimate, generated: int) -> float:
        """Return the tokens left to the median."""
        return estimate.median_remaining(generated)
