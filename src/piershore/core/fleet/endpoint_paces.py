"""How fast the streams of each endpoint come, from traffic alone."""

from __future__ import annotations

from dataclasses import dataclass, field
from statistics import median

from piershore.core.streams.stall_detector import StallDetector

GAP_WEIGHT = 0.15
"""Weight of the newest gap in the recent one: an engine that turns slow shows it within
some ten parts, about a second."""
RECENT_SECONDS = 4.0
"""A pace counts for so long after the last part; then the endpoint is tried again."""
USUAL_SLOWNESS = 2.0
"""How many times the median gap an engine may take: reading prompts beside the streams
doubles it."""


@dataclass
class _Pace:
    stalls: StallDetector = field(default_factory=StallDetector)
    last_part_at: float = float("-inf")
    recent_gap: float | None = None

    def observe(self, gap: float) -> None:
        self.stalls.observe(gap)
        recent = gap if self.recent_gap is None else self.recent_gap
        self.recent_gap = recent + GAP_WEIGHT * (gap - recent)


class EndpointPaces:
    """Usual time between the parts of a stream, by endpoint identity, in seconds."""

    def __init__(self) -> None:
        self._paces: dict[str, _Pace] = {}

    def note_part(self, identity: str, gap: float | None, now: float) -> None:
        """Note a part of a stream, and the time since the part before if any."""
        pace = self._paces.setdefault(identity, _Pace())
        pace.last_part_at = now
        if gap is not None:
            pace.observe(gap)

    def longest_pause(self, identity: str) -> float:
        """Return how long a stream may pause before the endpoint seems silent."""
        pace = self._paces.get(identity)
        return (pace.stalls if pace else StallDetector()).threshold

    def last_part_at(self, identity: str) -> float:
        """Return when any stream of the endpoint had its last part."""
        pace = self._paces.get(identity)
        return pace.last_part_at if pace else float("-inf")

    def slow_endpoints(self, now: float) -> dict[str, float]:
        """Return the endpoints that are unusually slow now, and how much so.

        0 is just usual; each 1 more is once more the median gap.
        """
        gaps = {
            identity: pace.recent_gap
            for identity, pace in self._paces.items()
            if pace.recent_gap and now - pace.last_part_at < RECENT_SECONDS
        }
        if not gaps:
            return {}
        usual = USUAL_SLOWNESS * median(gaps.values())
        return {i: gap / usual - 1 for i, gap in gaps.items() if gap > usual}

    def forget(self, identity: str) -> None:
        """Drop what is known of an endpoint that has gone."""
        self._paces.pop(identity, None)
