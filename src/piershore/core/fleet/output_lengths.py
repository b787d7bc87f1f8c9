"""Expected output lengths, from callers' guesses and from what came."""

from __future__ import annotations

from math import exp, log

from piershore.core.fleet.generation_work import GenerationSize

GUESS_SPREAD = 1.2
"""Standard deviation of the logarithm of guess over length, from the first days
played: a guess is right in the median and often far off."""
LENGTH_SPREAD = 0.84
"""The same of lengths of one route among themselves."""
UNKNOWN_SHARE_OF_MOST = 0.3
"""Median length as a part of the most allowed, until lengths were seen."""
PRIOR_COUNT = 4.0
"""Seen lengths after which they weigh as much as that first assumption."""


class OutputLengths:
    """Median lengths by route, learned from the generations that ended."""

    def __init__(self) -> None:
        self._seen: dict[str, tuple[float, float]] = {}

    def record(self, route: str, tokens: int) -> None:
        """Add the length of a generation that ended."""
        count, total = self._seen.get(route, (0.0, 0.0))
        self._seen[route] = (count + 1, total + log(max(1, tokens)))

    def expected(self, route: str, size: GenerationSize) -> int:
        """Return the median length given the guess, in tokens."""
        most = max(1, size.max_output_tokens)
        count, total = self._seen.get(route, (0.0, 0.0))
        first = log(max(1.0, UNKNOWN_SHARE_OF_MOST * most))
        median = (PRIOR_COUNT * first + total) / (PRIOR_COUNT + count)
        if size.hinted_tokens is not None:
            guess_weight = 1 / GUESS_SPREAD**2
            own_weight = 1 / LENGTH_SPREAD**2
            guess = log(max(1, size.hinted_tokens))
            median = (guess_weight * guess + own_weight * median) / (
                guess_weight + own_weight
            )
        return min(most, round(exp(median)))
