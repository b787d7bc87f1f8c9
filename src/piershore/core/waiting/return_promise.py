"""The time at which a refused caller was told to return, and its memory."""

from __future__ import annotations

from dataclasses import dataclass

EARLY_SECONDS = 0.5
"""A caller that returns up to this much early has kept its time: a connection and a
timer of its own take a few tenths of a second."""
LAPSE_SECONDS = 1.0
"""How long memory stays reserved after the time: callers that don't come by then have
given up."""


@dataclass(frozen=True)
class ReturnPromise:
    """Memory promised to the caller of one content; times are of the own clock.

    The caller may return from `opens` on, and the promise lapses at `lapses`.
    """

    content: str
    service: str
    priority: int
    tokens: int
    opens: float
    lapses: float

    @property
    def first_return(self) -> float:
        """From when on a caller that returns has kept its time."""
        return self.opens - EARLY_SECONDS
