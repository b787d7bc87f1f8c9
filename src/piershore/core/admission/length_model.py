"""A model of output lengths, learned by client account and request kind."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator, Sequence
from math import log1p

from piershore.core.admission.candidate import LengthKey
from piershore.core.admission.length_histogram import LengthHistogram

ENOUGH_SAMPLES = 64
PRIOR_SAMPLES = 6.0
NEGLIGIBLE_PROBABILITY = 1e-6
MAX_KEYS = 512
MEAN_STEPS = (0, *(int(8 * 1.3**n) for n in range(40)))
"""Steps in tokens, up to about 200,000, over which survival is summed for the mean."""


class LengthModel:
    """Survival function of a generation's length, given its current length.

    Estimates are hierarchical: until there are enough samples, those of an account's
    kind are blended with those of the kind in all accounts, these with those of the
    whole service, and these with a prior up to the maximum that the request allows.
    """

    def __init__(self) -> None:
        self._by_key: OrderedDict[LengthKey, LengthHistogram] = OrderedDict()
        self._by_kind: dict[str, LengthHistogram] = {}
        self._service = LengthHistogram()
        self._expected: dict[tuple[LengthKey, int, int], float] = {}
        self._expected_at = 0

    def record(self, key: LengthKey, length: int) -> None:
        """Add the length of a finished generation, in tokens."""
        if key not in self._by_key and len(self._by_key) >= MAX_KEYS:
            self._by_key.popitem(last=False)
        self._by_key.setdefault(key, LengthHistogram()).record(length)
        self._by_key.move_to_end(key)
        self._by_kind.setdefault(key.kind, LengthHistogram()).record(length)
        self._service.record(length)

    def survival_probabilities(
        self, key: LengthKey, generated: int, steps: Sequence[int], max_tokens: int
    ) -> Iterator[float]:
        """Yield the probability of more than each of `steps` further tokens.

        Stop at the first step whose probability is negligible.
        """
        chain = tuple(self._chain(key))
        current = self._blended_survival(chain, generated, max_tokens)
        for step in steps:
            length = generated + step
            if length >= max_tokens:
                return
            if current > NEGLIGIBLE_PROBABILITY:
                probability = (
                    self._blended_survival(chain, length, max_tokens) / current
                )
            else:
                # Longer than all samples: only the maximum is known.
                probability = 1 - step / (max_tokens - generated)
            if probability <= NEGLIGIBLE_PROBABILITY:
                return
            yield probability

    def expected_remaining(
        self, key: LengthKey, generated: int, max_tokens: int
    ) -> float:
        """Return the mean number of remaining tokens."""
        if self._expected_at != self._service.recorded:
            self._expected_at = self._service.recorded
            self._expected.clear()
        cache_key = (key, generated, max_tokens)
        if cache_key not in self._expected:
            self._expected[cache_key] = self._sum_survivals(key, generated, max_tokens)
        return self._expected[cache_key]

    def _sum_survivals(self, key: LengthKey, generated: int, max_tokens: int) -> float:
        probabilities = list(
            self.survival_probabilities(key, generated, MEAN_STEPS, max_tokens)
        )
        total = 0.0
        for number, probability in enumerate(probabilities):
            end = min(MEAN_STEPS[number + 1], max_tokens - generated)
            total += probability * max(0, end - MEAN_STEPS[number])
        return total

    def _chain(self, key: LengthKey) -> Iterator[LengthHistogram]:
        """Yield the histograms that apply to `key`, the most specific first.

        A histogram with `ENOUGH_SAMPLES` is the last one.
        """
        for histogram in (
            self._by_key.get(key),
            self._by_kind.get(key.kind),
            self._service,
        ):
            if histogram is not None and histogram.count:
                yield histogram
                if histogram.count >= ENOUGH_SAMPLES:
                    return

    @staticmethod
    def _blended_survival(
        chain: tuple[LengthHistogram, ...], length: int, max_tokens: int
    ) -> float:
        """Return the survival of `length`, blending each histogram with the next.

        The last one is blended with a prior that is uniform in the logarithm.
        """
        blended = 1 - log1p(length) / log1p(max_tokens)
        for histogram in reversed(chain):
            if histogram.count >= ENOUGH_SAMPLES:
                blended = histogram.survival(length)
                continue
            weight = histogram.count / (histogram.count + PRIOR_SAMPLES)
            blended = weight * histogram.survival(length) + (1 - weight) * blended
        return blended
