"""What a generation can expect of one endpoint of a service whose endpoints differ."""

from __future__ import annotations

from dataclasses import dataclass
from statistics import fmean


@dataclass(frozen=True)
class EndpointSpeed:
    """The endpoint's time per token, and its gaps.

    `slowness` is its time per token relative to the median of its service, and
    `pause_shares` the share of its gaps that are longer than callers accept, for each
    of several speeds if its speed isn't known.
    """

    slowness: float = 1.0
    token_seconds: float = 0.0
    pause_shares: tuple[float, ...] = ()
    tokens_per_gap: float = 1.0

    def gaps_in(self, tokens: float) -> float:
        """Return the number of gaps in an output of this length."""
        return tokens / self.tokens_per_gap

    def pause_risk(self, gaps: float) -> float:
        """Return the probability that one of several gaps is too long."""
        if not self.pause_shares:
            return 0.0
        return 1.0 - fmean((1.0 - share) ** gaps for share in self.pause_shares)
