"""Time that the answer to a request may take, before it has begun."""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil

from piershore.core.fleet.generation_work import GenerationSize
from piershore.core.routes.route import RequestKind, Route

PACE_MARGIN = 2.0
"""Factor on the observed mean time between events: an engine's other streams slow a
stream down, and their prompts interrupt it."""


@dataclass(frozen=True)
class ObservedTimes:
    """Recent times of a gateway's streams; None if it had none.

    `first_event_seconds` is the longest time to the first event of a route's streams,
    `event_seconds` the mean time between events at the slowest engine of a service.
    """

    first_event_seconds: float | None = None
    event_seconds: float | None = None


def max_answer_seconds(
    route: Route,
    size: GenerationSize | None,
    tokens_per_event: int,
    observed: ObservedTimes,
) -> float:
    """Return how long the answer may take; at most the route's timeout.

    A generation is assumed to make all tokens that it may, as slowly as its route
    allows for an answer in time, or as the observed engines are, if that is slower.
    """
    event_seconds = max(
        route.longest_pause or 0.0, PACE_MARGIN * (observed.event_seconds or 0.0)
    )
    if route.kind is not RequestKind.STREAM or size is None or not event_seconds:
        return route.timeout
    first_event_seconds = max(route.target_latency, observed.first_event_seconds or 0.0)
    events = ceil(size.max_output_tokens / tokens_per_event)
    return min(route.timeout, first_event_seconds + events * event_seconds)
