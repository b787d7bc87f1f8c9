"""What to do with a stream whose endpoint has fallen silent.

A pause far above the endpoint's own pace has several causes that look alike from the
stream: the engine waits for memory, its events get lost on the way, or it is gone
without a word. Its report tells them apart.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

UNANSWERED_BEFORE_GIVEN_UP = 2
"""Questions in a row without an answer; one may be lost with a packet, and a stream
that goes on elsewhere too early runs at two endpoints."""
EVENTS_ON_THE_WAY = 2
"""Events that a report may be ahead of what came: it is made apart from the stream."""


@dataclass(frozen=True)
class EndpointReport:
    """What an endpoint says of itself; `made_events` of its generations by request.

    `born` is when the incarnation that tells began, in milliseconds; 0 if unknown.
    """

    is_leaving: bool
    made_events: Mapping[str, int]
    born: int = 0

    def is_of_earlier(self, born: int) -> bool:
        """Tell whether it is from before the incarnation that began at `born`."""
        return 0 < self.born < born

    def is_of_later(self, born: int) -> bool:
        """Tell whether the incarnation that began at `born` has ended since."""
        return 0 < born < self.born


class SilenceVerdict(StrEnum):
    """What is done with the stream.

    `WAIT`: the endpoint works, or there is nowhere else to go on. `MOVE`: its events
    don't come here, so the generation is moved. `GIVE_UP`: nobody is there, or the
    endpoint has started anew and knows nothing of it.
    """

    WAIT = "wait"
    MOVE = "move"
    GIVE_UP = "give_up"


@dataclass(frozen=True)
class SilentStream:
    """A stream that waits; `last_event` is the number of the last that came.

    `born` is when the incarnation of its endpoint began, in milliseconds.
    """

    request: str
    last_event: int
    can_go_on_elsewhere: bool
    born: int = 0


def judge_silence(
    stream: SilentStream, report: EndpointReport | None, unanswered: int
) -> SilenceVerdict:
    """Return what to do; `unanswered` counts the questions in a row without one."""
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
