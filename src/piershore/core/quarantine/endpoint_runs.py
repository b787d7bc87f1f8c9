"""Requests that run at each endpoint, to find those that may have crashed it."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from math import inf

from piershore.core.quarantine.request_fingerprint import RequestFingerprint

SUSPECT_WINDOW_SECONDS = 1.0
"""A run whose first chunk came longer ago isn't suspected of its endpoint's crash.
Observed crashes came 0.07 to 0.25 s after the start of the run that caused them; the
reviews that they broke off had run for 1.8 to 8.5 s."""
REMEMBERED_SECONDS = 6.0
"""How long a run without a complete answer is remembered: the entry of an endpoint that
stops responding is removed after 3.6 s, and the change may arrive late."""


def _ignore_recall() -> None:
    """Do nothing: the run can't be recalled."""


@dataclass(eq=False)
class EndpointRun:
    """One attempt at an endpoint.

    `content` is the digest of the request, the same for all its attempts; `traits` are
    what it has in common with others. `first_chunk_at` is when
    the first chunk of the answer came, `ended_at` when the gateway stopped waiting for
    more. `is_probe` is whether it was released from quarantine. `recall` stops to wait
    for an answer.
    """

    request: str
    content: str
    traits: frozenset[str] = frozenset()
    first_chunk_at: float = inf
    ended_at: float = inf
    is_probe: bool = False
    recall: Callable[[], None] = _ignore_recall

    @property
    def fingerprint(self) -> RequestFingerprint:
        """What the request is recognized by."""
        return RequestFingerprint(self.content, self.traits)

    @property
    def has_answered(self) -> bool:
        """Whether a chunk of the answer came."""
        return self.first_chunk_at < inf

    @property
    def latest_start(self) -> float:
        """When the endpoint had begun to run the request, or had dropped it, at latest.

        An endpoint drops a request that it hasn't begun when its connection is closed.
        """
        return min(self.first_chunk_at, self.ended_at)

    def record_chunk(self, now: float) -> None:
        """Record a chunk of the answer."""
        self.first_chunk_at = min(self.first_chunk_at, now)

    def is_suspect(self, now: float, endpoint_alive_at: float = -inf) -> bool:
        """Return whether the run may have caused a crash of its endpoint now.

        It may if its first chunk came within `SUSPECT_WINDOW_SECONDS` before, or before
        the run ended, or has not come yet. It may not if its endpoint was alive that
        long after it began.
        """
        window = SUSPECT_WINDOW_SECONDS
        if min(now, self.ended_at) - self.first_chunk_at > window:
            return False
        return endpoint_alive_at - self.latest_start <= window


class EndpointRuns:
    """Runs by endpoint identity: active ones, and those recently abandoned."""

    def __init__(self) -> None:
        self._runs: dict[str, list[EndpointRun]] = {}
        self._alive_at: dict[str, float] = {}

    def begin(
        self,
        identity: str,
        request: str,
        content: str,
        traits: frozenset[str] = frozenset(),
    ) -> EndpointRun:
        """Record that a request is sent to an endpoint."""
        run = EndpointRun(request, content, traits)
        self._runs.setdefault(identity, []).append(run)
        return run

    def end(self, identity: str, run: EndpointRun) -> None:
        """Remove a run that was answered: it has not crashed the endpoint."""
        runs = self._runs.get(identity)
        if runs is None or run not in runs:
            return
        runs.remove(run)
        if not runs:
            del self._runs[identity]
            self._alive_at.pop(identity, None)

    def end_stopped(self, identity: str, request: str) -> None:
        """Remove the runs of a request that the endpoint reported as stopped."""
        for run in list(self._runs.get(identity, ())):
            if run.request == request:
                self.end(identity, run)

    def record_alive(self, identity: str, now: float) -> None:
        """Record that an endpoint was alive: it answered, or its connections held."""
        if identity in self._runs:
            self._alive_at[identity] = now

    def abandon(self, identity: str, run: EndpointRun, now: float) -> None:
        """Record that the gateway no longer waits for the answer to a run."""
        run.ended_at = now
        if not run.is_suspect(now):
            self.end(identity, run)

    def suspects(self, identity: str, now: float) -> Iterator[EndpointRun]:
        """Yield the runs that may have caused a crash of an endpoint now."""
        self.drop_expired(now)
        alive_at = self._alive_at.get(identity, -inf)
        for run in self._runs.get(identity, ()):
            if run.is_suspect(now, alive_at):
                yield run

    def clear_abandoned(self, identity: str) -> None:
        """Remove the abandoned runs at an endpoint that lives: none has crashed it."""
        for run in list(self._runs.get(identity, ())):
            if run.ended_at < inf:
                self.end(identity, run)

    def unanswered(self) -> Iterator[EndpointRun]:
        """Yield the runs whose answer hasn't begun."""
        for runs in self._runs.values():
            for run in runs:
                if not run.has_answered and run.ended_at == inf:
                    yield run

    def drop_expired(self, now: float) -> None:
        """Remove runs that were abandoned long ago."""
        for identity, runs in list(self._runs.items()):
            for run in list(runs):
                if now - run.ended_at > REMEMBERED_SECONDS:
                    self.end(identity, run)
