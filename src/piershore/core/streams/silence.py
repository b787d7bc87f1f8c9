"""What to do with a stream whose endpoint sends no events any more.

A gap far above the endpoint's own pace has several causes, which the stream alone can't
distinguish: the engine waits for memory, its events are lost in transit, or it has
ended without notice. The endpoint's report, which a probe requests, distinguishes them.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

MAX_UNANSWERED_PROBES = 2
"""Consecutive probes without an answer after which an endpoint is given up. One may be
lost with a packet, and a stream that resumes elsewhere too early runs at two endpoints.
"""
MAX_EVENTS_IN_TRANSIT = 2
"""Events by which a report may be ahead of the stream: they are sent separately."""


@dataclass(frozen=True)
class EndpointReport:
    """An endpoint's report on itself, with the number of generated events by request.

    `born` is the start of the incarnation that reports, in Unix milliseconds; 0 if
    unknown.
    """

    is_leaving: bool
    generated_events: Mapping[str, int]
    born: int = 0

    def is_from_earlier_incarnation(self, born: int) -> bool:
        """Return whether it is from before the incarnation that started at `born`."""
        return 0 < self.born < born

    def is_from_later_incarnation(self, born: int) -> bool:
        """Return whether it is from after the incarnation that started at `born`."""
        return 0 < born < self.born


class SilenceDecision(StrEnum):
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

    `born` is the start of its endpoint's incarnation, in Unix milliseconds; 0 if
    unknown.
    """

    request: str
    last_event: int
    can_resume_elsewhere: bool
    born: int = 0


def evaluate_silence(
    stream: SilentStream, report: EndpointReport | None, unanswered: int
) -> SilenceDecision:
    """Return what to do; `unanswered` counts consecutive probes without a report."""
    if report is None:
        is_given_up = unanswered >= MAX_UNANSWERED_PROBES
        if is_given_up and stream.can_resume_elsewhere:
            return SilenceDecision.GIVE_UP
        return SilenceDecision.WAIT
    if report.is_from_later_incarnation(stream.born):
        return SilenceDecision.GIVE_UP
    if report.is_from_earlier_incarnation(stream.born):
        return SilenceDecision.WAIT
    generated = report.generated_events.get(stream.request, 0)
    if generated > stream.last_event + MAX_EVENTS_IN_TRANSIT:
        return SilenceDecision.MOVE
    return SilenceDecision.WAIT
