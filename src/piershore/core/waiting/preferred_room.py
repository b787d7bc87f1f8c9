"""The preference of endpoints with memory over cheaper ones without."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from piershore.core.fleet.endpoint_load import EndpointLoad
from piershore.core.fleet.placement import PlacementDecision


def prefer_room(
    decision: PlacementDecision, has_room: Callable[[EndpointLoad], bool]
) -> PlacementDecision:
    """Return the choice of the cheapest logged endpoint with memory, if any."""
    if has_room(decision.load):
        return decision
    for candidate in decision.others:
        if has_room(candidate.load):
            others = (
                other
                for other in (decision.best, *decision.others)
                if other is not candidate
            )
            return replace(decision, best=candidate, others=tuple(others))
    return decision
