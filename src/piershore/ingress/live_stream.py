"""Streams in progress, and the endpoints at which they may continue."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

import trio

from piershore.core.fleet.endpoint import Endpoint
from piershore.core.fleet.evacuation_plan import StreamReport
from piershore.core.fleet.generation_work import GenerationWork
from piershore.core.streams.delivered_events import DeliveredEvents
from piershore.core.streams.reader_progress import ReaderProgress
from piershore.ingress.callers.exchange import Exchange
from piershore.ingress.moves.stop_order import StopOrder
from piershore.ingress.ports import MemoryCopy

MAX_RETURN_TO_SOURCE_SECONDS = 1.0
"""Time after the notice in which a leaving source may still continue the run that it
stopped; from 2 s after the notice it must get no new work."""
BACKUP_COMPLETE_SECONDS = 0.8
"""Time from the first event until a backup is complete: copying a long prompt takes up
to 0.4 s, and newer memory is sent several times a second."""


class RunState(Enum):
    """What is known of a run that is no longer read from.

    `RUNNING`: its endpoint may work on it. `UNREACHABLE`: so it may, but it doesn't
    answer. `ENDED`: it has ended, or was told to.
    """

    RUNNING = "running"
    UNREACHABLE = "unreachable"
    ENDED = "ended"


@dataclass
class Handover:
    """A move of a stream to another endpoint.

    `copy` is set once `target` holds a copy of the memory, `stop_order` once the source
    is being told to stop the run, and `is_settled` once no more work is done for the
    move. `noticed_at` is when the source was known to leave. If it `uses_backup`, the
    copy was made before the move.
    """

    source: Endpoint
    target: Endpoint
    copy: MemoryCopy | None = None
    noticed_at: float = float("-inf")
    uses_backup: bool = False
    stop_order: StopOrder | None = None
    is_settled: trio.Event = field(default_factory=trio.Event)

    def continuation_endpoints(self, now: float) -> tuple[Endpoint, ...]:
        """Return where the stream may continue; at the source only for a short time."""
        if now - self.noticed_at > MAX_RETURN_TO_SOURCE_SECONDS:
            return (self.target,)
        return self.target, self.source


@dataclass
class LiveStream:
    """One stream of a caller; `endpoint` runs it now.

    `backup` is the endpoint that receives a copy of its memory as it grows.
    `reading_scope` cancels the wait for the next chunk from the current endpoint,
    `waiting_since` is when that wait started. `given_up_run` is set when the stream is
    to continue at another endpoint, to what is known of its run. `stop_orders` are the
    orders to stop its runs, at this endpoint or at earlier ones.
    """

    exchange: Exchange
    endpoint: Endpoint
    work: GenerationWork
    delivered: DeliveredEvents = field(default_factory=DeliveredEvents)
    reader: ReaderProgress = field(default_factory=ReaderProgress)
    handover: Handover | None = None
    backup: Endpoint | None = None
    given_up_run: RunState | None = None
    stop_orders: list[StopOrder] = field(default_factory=list)
    reading_scope: trio.CancelScope | None = None
    waiting_since: float | None = None
    moves: int = 0
    endpoint_first_event_at: float = float("inf")
    last_event_at: float = 0.0
    longest_pause: float = 0.0
    first_seconds: float = 0.0

    @property
    def is_given_up(self) -> bool:
        """Whether nothing more is read from the current endpoint."""
        return self.given_up_run is not None

    @property
    def may_have_been_stopped(self) -> bool:
        """Whether the run may have ended early because of an order to stop it."""
        return any(
            order.may_have_ended_run
            for order in self.stop_orders
            if order.endpoint.identity == self.endpoint.identity
        )

    def give_up_endpoint(self, run: RunState) -> None:
        """Stop reading from the current endpoint; what was read is forwarded."""
        self.given_up_run = run
        if self.reading_scope is not None:
            self.reading_scope.cancel()

    def continue_at(self, endpoint: Endpoint, backup: Endpoint | None) -> None:
        """Continue at another endpoint.

        Orders that are still being sent may stop the run there, too.
        """
        self.stop_orders = [o for o in self.stop_orders if not o.is_settled]
        self.endpoint = endpoint
        self.backup = backup
        self.handover = None
        self.given_up_run = None
        self.endpoint_first_event_at = float("inf")
        self.waiting_since = None
        self.moves += 1

    @property
    def has_backup(self) -> bool:
        """Whether another endpoint has a complete copy of its memory by now."""
        seconds = trio.current_time() - self.endpoint_first_event_at
        return self.backup is not None and seconds > BACKUP_COMPLETE_SECONDS

    def report(self) -> StreamReport:
        """Return the report that peers get when the endpoint leaves."""
        return StreamReport(
            self.exchange.identity,
            self.work.held_tokens,
            self.work.has_begun,
            self.has_backup,
        )

    def record_events(self, count: int, now: float, tokens_per_event: int) -> None:
        """Record events that were forwarded to the caller."""
        if not self.work.has_begun:
            self.work.has_begun = True
            self.first_seconds = self.exchange.age
        else:
            self.longest_pause = max(self.longest_pause, now - self.last_event_at)
        if self.endpoint_first_event_at == float("inf"):
            self.endpoint_first_event_at = now
        self.last_event_at = now
        self.work.made_tokens += count * tokens_per_event


def backup_handover(stream: LiveStream) -> Handover:
    """Return the move of a stream to its backup, which has a copy of its memory."""
    copy = MemoryCopy(stream.backup.address, stream.exchange.identity)
    handover = Handover(stream.endpoint, stream.backup, copy, uses_backup=True)
    handover.is_settled.set()
    return handover


class LiveStreams:
    """All streams of this gateway, by the endpoint that runs them."""

    def __init__(self) -> None:
        self._streams: dict[int, LiveStream] = {}
        self._copied_from: dict[int, tuple[str, LiveStream]] = {}

    def __len__(self) -> int:
        return len(self._streams)

    def __iter__(self) -> Iterator[LiveStream]:
        return iter(list(self._streams.values()))

    def add(self, stream: LiveStream) -> None:
        """Add a stream that has started."""
        self._streams[id(stream)] = stream

    def remove(self, stream: LiveStream) -> None:
        """Remove a stream that has ended."""
        self._streams.pop(id(stream), None)

    def is_live(self, stream: LiveStream) -> bool:
        """Return whether the stream has not ended."""
        return id(stream) in self._streams

    def drop_backups(self, identity: str) -> list[LiveStream]:
        """Drop the backups at an endpoint that leaves; return their streams."""
        streams = [
            stream
            for stream in self._streams.values()
            if stream.backup is not None and stream.backup.identity == identity
        ]
        for stream in streams:
            stream.backup = None
        return streams

    def endpoints(self) -> set[str]:
        """Return the identities of the endpoints that run or copy streams."""
        running = {s.endpoint.identity for s in self._streams.values()}
        return running | {source for source, _ in self._copied_from.values()}

    def begin_copy(self, stream: LiveStream, source: str) -> None:
        """Record that the endpoint `source` copies the stream's memory."""
        self._copied_from[id(stream)] = (source, stream)

    def end_copy(self, stream: LiveStream) -> None:
        """Record that the copy has ended."""
        self._copied_from.pop(id(stream), None)

    def reports(self, identity: str) -> Iterator[StreamReport]:
        """Yield a report on each stream that an endpoint runs or copies.

        A copy occupies the endpoint's link even if its stream has ended.
        """
        for stream in self.running_at(identity):
            yield stream.report()
        for source, stream in self._copied_from.values():
            if source == identity and not self.is_live(stream):
                yield stream.report()

    def running_at(self, identity: str) -> list[LiveStream]:
        """Return the streams that an endpoint runs."""
        return [s for s in self._streams.values() if s.endpoint.identity == identity]
