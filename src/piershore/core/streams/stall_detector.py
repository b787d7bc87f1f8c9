"""Detection of stalls relative to an engine's own recent pace."""

from __future__ import annotations

PACE_WEIGHT = 0.02
STALL_FACTOR = 8.0
MIN_STALL_SECONDS = 0.2


class StallDetector:
    """Averages an engine's time between tokens and detects gaps far above it."""

    def __init__(self) -> None:
        self._pace: float | None = None

    @property
    def pace(self) -> float | None:
        """Mean gap in seconds; None if none was recorded."""
        return self._pace

    @property
    def threshold(self) -> float:
        """Gap, in seconds, above which a stream has stalled."""
        return max(MIN_STALL_SECONDS, STALL_FACTOR * (self._pace or 0.0))

    def observe(self, gap: float) -> float:
        """Record a gap between tokens; return its seconds if it was a stall, else 0."""
        stalled = gap > self.threshold
        if not stalled:
            pace = gap if self._pace is None else self._pace
            self._pace = pace + PACE_WEIGHT * (gap - pace)
        return gap if stalled else 0.0
