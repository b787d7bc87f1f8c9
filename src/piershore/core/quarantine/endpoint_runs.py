"""What runs at each endpoint, so that a crash can be laid to who had just begun."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from math import inf

FRESH_SECONDS = 1.0
"""A run whose first part came longer ago isn't suspected of its endpoint's crash.
Crashes were seen 0.07 to 0.25 s after the begin of the run that caused them; the
reviews that they broke off had run for 1.8 to 8.5 s."""
REMEMBERED_SECONDS = 6.0
"""A run that ended without an answer is remembered for so long: the entry of an
endpoint that has fallen silent goes after 3.6 s, and changes may come late."""


@dataclass(eq=False)
class EndpointRun:
    """One try at one endpoint; `content` is the same for each try of a request.

    `first_at` is when a part of its answer came first, `ended_at` when its gateway
    stopped waiting for more.
    """

    request: str
    content: str
    first_at: float = inf
    ended_at: float = inf

    def note_part(self, now: float) -> None:
        """Count a part of the answer."""
        self.first_at = min(self.first_at, now)

    def is_fresh(self, now: float) -> bool:
        """Whether it has not run for long, or had not when it ended."""
        return min(now, self.ended_at) - self.first_at <= FRESH_SECONDS


class EndpointRuns:
    """Runs by endpoint identity: those under way, and those lately left unanswered."""

    def __init__(self) -> None:
        self._runs: dict[str, list[EndpointRun]] = {}

    def begin(self, identity: str, request: str, content: str) -> EndpointRun:
        """Note that an endpoint gets a request."""
        run = EndpointRun(request, content)
        self._runs.setdefault(identity, []).append(run)
        return run

    def end(self, identity: str, run: EndpointRun) -> None:
        """Note that the endpoint has answered, so it has not crashed under the run."""
        runs = self._runs.get(identity)
        if runs is None or run not in runs:
            return
        runs.remove(run)
        if not runs:
            del self._runs[identity]

    def leave(self, identity: str, run: EndpointRun, now: float) -> None:
        """Note that no more will be heard of a run that has not been answered."""
        run.ended_at = now
        if not run.is_fresh(now):
            self.end(identity, run)

    def suspects(self, identity: str, now: float) -> Iterator[EndpointRun]:
        """Yield the runs that may have crashed an endpoint that has just crashed."""
        self.sweep(now)
        yield from (run for run in self._runs.get(identity, ()) if run.is_fresh(now))

    def clear(self, identity: str) -> None:
        """Note that an endpoint lives: what ended there has not crashed it."""
        for run in list(self._runs.get(identity, ())):
            if run.ended_at < inf:
                self.end(identity, run)

    def sweep(self, now: float) -> None:
        """Forget what ended long ago."""
        for identity, runs in list(self._runs.items()):
            for run in list(runs):
                if now - run.ended_at > REMEMBERED_SECONDS:
                    self.end(identity, run)
