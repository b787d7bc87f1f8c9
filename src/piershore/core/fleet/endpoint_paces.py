"""How fast the streams of each endpoint come, from traffic alone."""

from __future__ import annotations

from dataclasses import dataclass, field

from piershore.core.streams.stall_detector import StallDetector


@dataclass
class _Pace:
    stalls: StallDetector = field(default_factory=StallDetector)
    last_part_at: float = float("-inf")


class EndpointPaces:
    """Usual time between the parts of a stream, by endpoint identity, in seconds."""

    def __init__(self) -> None:
        self._paces: dict[str, _Pace] = {}

    def note_part(self, identity: str, gap: float | None, now: float) -> None:
        """Note a part of a stream, and the time since the part before if any."""
        pace = self._paces.setdefault(identity, _Pace())
        pace.last_part_at = now
        if gap is not None:
            pace.stalls.observe(gap)

    def longest_pause(self, identity: str) -> float:
        """Return how long a stream may pause before the endpoint seems silent."""
        pace = self._paces.get(identity)
        return (pace.stalls if pace else StallDetector()).threshold

    def last_part_at(self, identity: str) -> float:
        """Return when any stream of the endpoint had its last part."""
        pace = self._paces.get(identity)
        return pace.last_part_at if pace else float("-inf")

    def forget(self, identity: str) -> None:
        """Drop what is known of an endpoint that has gone."""
        self._paces.pop(identity, None)
