"""The usual pace of each endpoint's streams, observed from traffic."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from piershore.core.streams.stall_detector import StallDetector


@dataclass
class _Pace:
    stalls: StallDetector = field(default_factory=StallDetector)
    last_chunk_at: float = float("-inf")


class EndpointPaces:
    """Usual seconds between the chunks of a stream, by endpoint identity."""

    def __init__(self) -> None:
        self._paces: dict[str, _Pace] = {}

    def record_chunk(self, identity: str, gap: float | None, now: float) -> None:
        """Record a stream's chunk, and the seconds since its last chunk, if any."""
        pace = self._paces.setdefault(identity, _Pace())
        pace.last_chunk_at = now
        if gap is not None:
            pace.stalls.observe(gap)

    def longest_pause(self, identity: str) -> float:
        """Return how long a stream may pause before its endpoint seems silent."""
        pace = self._paces.get(identity)
        return (pace.stalls if pace else StallDetector()).threshold

    def slowest(self, identities: Iterable[str]) -> float | None:
        """Return the longest mean gap in seconds of any of these endpoints.

        Return None if no gap of any of them was recorded.
        """
        paces = (self._paces.get(identity) for identity in identities)
        return max((p.stalls.pace for p in paces if p and p.stalls.pace), default=None)

    def last_chunk_at(self, identity: str) -> float:
        """Return when the last chunk of any stream of the endpoint arrived."""
        pace = self._paces.get(identity)
        return pace.last_chunk_at if pace else float("-inf")

    def forget(self, identity: str) -> None:
        """Drop the records of an endpoint that departed."""
        self._paces.pop(identity, None)
