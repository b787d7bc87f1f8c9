"""How long the gaps of a service's streams are, in token times of its endpoints."""

from __future__ import annotations

from math import log2

BINS_PER_OCTAVE = 8
"""Resolution of the distribution: bounds of neighbouring bins differ by 9 %."""
LOWEST_OCTAVE, HIGHEST_OCTAVE = -2, 10
"""Gaps are counted from a quarter of a token's time up to a thousand of them."""
BINS = (HIGHEST_OCTAVE - LOWEST_OCTAVE) * BINS_PER_OCTAVE
MIN_GAPS = 200
"""Gaps without which the share of a rare long gap isn't known."""
MAX_GAPS = 8_192
"""Gaps after which all counts are halved, so that the distribution follows the load."""


class GapSpread:
    """Counts of gaps by their length in token times of the endpoint they came from.

    It holds what makes a gap longer than an endpoint's own time: prompts that are read
    between the tokens, and moments in which an endpoint is slow.
    """

    def __init__(self) -> None:
        self._counts = [0.0] * BINS
        self._gaps = 0.0
        self._tokens = 0.0

    @property
    def tokens_per_gap(self) -> float:
        """Mean tokens that arrive after one gap."""
        return self._tokens / self._gaps if self._gaps else 1.0

    def record(self, token_times: float, tokens: int) -> None:
        """Record the gap before a chunk of `tokens`."""
        self._counts[_bin(token_times)] += 1
        self._gaps += 1
        self._tokens += tokens
        if self._gaps >= MAX_GAPS:
            self._halve()

    def share_above(self, token_times: float) -> float:
        """Return the share of gaps longer than this; 0 while too few were observed."""
        if self._gaps < MIN_GAPS:
            return 0.0
        return sum(self._counts[_bin(token_times) + 1 :]) / self._gaps

    def _halve(self) -> None:
        self._counts = [count / 2 for count in self._counts]
        self._gaps /= 2
        self._tokens /= 2


def _bin(token_times: float) -> int:
    if token_times <= 0:
        return 0
    position = int((log2(token_times) - LOWEST_OCTAVE) * BINS_PER_OCTAVE)
    return min(BINS - 1, max(0, position))
