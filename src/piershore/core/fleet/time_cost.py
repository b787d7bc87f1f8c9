"""The cost of a generation at an endpoint of a service whose endpoints differ.

The load pattern: a third of a service's endpoints take 2.7 times as long for a token as
the fastest third. By shares of memory and batch alone, all get the same work, and long
streams at the slow ones pause for longer than their callers accept. In time, fast
endpoints are filled further, and the slow ones get the generations that end soon.
"""

from __future__ import annotations

from piershore.core.fleet.caller_aims import CallerAims
from piershore.core.fleet.endpoint_load import EndpointLoad
from piershore.core.fleet.endpoint_speed import EndpointSpeed
from piershore.core.fleet.generation_work import GenerationWork
from piershore.core.routes.service_spec import EngineSpec

PROMPT_TOKEN_SECONDS = 0.00014
"""Time per prompt token at an endpoint of median speed: a prompt is read piece by piece
between the tokens of other generations."""
SAFE_FIRST_SHARE = 0.5
"""Share of the target for the first part that may be expected without a risk, as views
are up to a second old: the risk grows from here until the target itself."""
LATE_COST = 2.0
"""Cost of a generation that ends late, in full loads of an endpoint: more than the
difference between an empty endpoint and a full one, so that a full fast endpoint is
preferred to an empty one at which the generation would be late."""


def time_cost(
    load_cost: float,
    prompt_cost: float,
    load: EndpointLoad,
    work: GenerationWork,
    engine: EngineSpec,
    speed: EndpointSpeed,
    aims: CallerAims,
) -> float:
    """Return the cost of placing `work`, in full loads of an endpoint.

    `load_cost` is the cost if all endpoints were equal, and `prompt_cost` what the
    generation's own prompt would add to it.
    """
    lateness = 1.0 - (1.0 - first_part_risk(load, work, speed, aims)) * (
        1.0 - speed.pause_risk(speed.gaps_in(work.remaining_tokens))
    )
    cost = speed.slowness * load_cost + (speed.slowness - 1.0) * prompt_cost
    delayed = min(engine.slots, delayed_streams(load, work, speed))
    return cost + LATE_COST * (lateness + delayed)


def max_late_cost(engine: EngineSpec) -> float:
    """Return the cost if a generation and a full batch beside it are late."""
    return LATE_COST * (1 + engine.slots)


def first_part_risk(
    load: EndpointLoad, work: GenerationWork, speed: EndpointSpeed, aims: CallerAims
) -> float:
    """Return the risk that the first part comes after its target."""
    if aims.first_seconds is None or work.has_begun:
        return 0.0
    tokens = load.pending_prompt_tokens + work.size.prompt_tokens
    share = prompt_seconds(tokens, speed) / aims.first_seconds
    return min(1.0, max(0.0, (share - SAFE_FIRST_SHARE) / (1.0 - SAFE_FIRST_SHARE)))


def delayed_streams(
    load: EndpointLoad, work: GenerationWork, speed: EndpointSpeed
) -> float:
    """Return how many streams are expected to pause too long beside the new prompt.

    The streams that run there are assumed to accept the same pauses as this one.
    """
    if work.has_begun or not load.held_tokens or not speed.token_seconds:
        return 0.0
    running = load.requests * (1.0 - load.pending_prompt_tokens / load.held_tokens)
    tokens = prompt_seconds(work.size.prompt_tokens, speed) / speed.token_seconds
    return max(0.0, running) * speed.pause_risk(speed.gaps_in(tokens))


def prompt_seconds(tokens: int, speed: EndpointSpeed) -> float:
    """Return the time in which an endpoint reads prompts."""
    return PROMPT_TOKEN_SECONDS * speed.slowness * tokens
