"""Generations that two engines worked on at a time."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from standins.published_endpoint import EngineRun, PublishedEndpoint

STOP_SECONDS = 0.4
"""So long after a generation goes on elsewhere, the engine before may work on it."""


@dataclass(frozen=True)
class Overlap:
    """An engine that still worked on a generation after `later` had begun elsewhere."""

    engine: str
    earlier: EngineRun
    later_engine: str
    later: EngineRun

    @property
    def seconds(self) -> float:
        """How long it worked on it since then."""
        return self.earlier.ended_at - self.later.began_at


def overlapping_runs(endpoints: Iterable[PublishedEndpoint]) -> Iterator[Overlap]:
    """Yield the overlaps of over `STOP_SECONDS` of runs of one request."""
    by_request: dict[str, list[tuple[str, EngineRun]]] = defaultdict(list)
    for endpoint in endpoints:
        for run in endpoint.engine_runs:
            by_request[run.identity].append((endpoint.identity, run))
    for runs in by_request.values():
        runs.sort(key=lambda item: item[1].began_at)
        for number, (later_engine, later) in enumerate(runs):
            for engine, earlier in runs[:number]:
                if earlier.is_running_at(later.began_at + STOP_SECONDS):
                    yield Overlap(engine, earlier, later_engine, later)
