"""What to do with a stream whose endpoint sends no events any more.

A gap far above the endpoint's own pace has several causes, which the stream alone can't
distinguish: the engine waits for memory, its events are lost in transit, or it has
ended without notice. The endpoint's report, which a probe requests, distinguishes them.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

UNANSWERED_BEFORE_GIVEN_UP = 2
"""Consecutive probes without an answer after which an endpoint is given up. One may be
lost with a packet, and a stream that resumes elsewhere too early runs at two endpoints.
"""
EVENTS_ON_THE_WAY = 2
"""Events by which a report may be ahead of the stream: they are sent separately."""


@dataclass(frozen=True)
class EndpointReport:
    """An endpoint's report on itself, with the number of generated events by request.

    `incarnation_started_ms` is the start of the incarnation that reports, in Unix
    milliseconds; 0 if unknown.
    """

    is_leaving: bool
    made_events: Mapping[str, int]
    born: int = 0

    def is_of_earlier(self, born: int) -> bool:
        """Return whether an incarnation before the given one made the report."""
        return 0 < self.born < born

    def is_of_later(self, born: int) -> bool:
        """Return whether an incarnation after the given one made the report."""
        return 0 < born < self.born


class SilenceVerdict(StrEnum):
    """What to do with the stream.

    `WAIT`: the endpoint works, or the stream can't be resumed elsewhere. `MOVE`: its
    events don't arrive, so the generation is moved. `GIVE_UP`: the endpoint doesn't
    answer, or it has restarted without the generation.
    """

    WAIT = "wait"
    MOVE = "move"
    GIVE_UP = "give_up"


@dataclass(frozen=True)
class SilentStream:
    """A stream that waits for events; `last_event` is the last number received.

    `incarnation_started_ms` is the start of its endpoint's incarnation, in Unix
    milliseconds; 0 if unknown.
    """

    request: str
    last_event: int
    can_go_on_elsewhere: bool
    born: int = 0


def judge_silence(
    stream: SilentStream, report: EndpointReport | None, unanswered: int
) -> SilenceVerdict:
    """Return what to do; `unanswered` counts consecutive probes without a report."""
    if report is None:
        is_given_up = unanswered >= UNANSWERED_BEFORE_GIVEN_UP
        if is_given_up and stream.can_go_on_elsewhere:
            return SilenceVerdict.GIVE_UP
        return SilenceVerdict.WAIT
    if report.is_of_later(stream.born):
        return SilenceVerdict.GIVE_UP
    if report.is_of_earlier(stream.born):
        return SilenceVerdict.WAIT
    made = report.made_events.get(stream.request, 0)
    if made > stream.last_event + EVENTS_ON_THE_WAY:
        return SilenceVerdict.MOVE
    return SilenceVerdict.WAIT
