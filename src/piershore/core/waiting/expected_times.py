"""How long a generation takes at an engine, as its load shows."""

from __future__ import annotations

from piershore.core.attempts.leaving import TOKEN_SECONDS
from piershore.core.fleet.endpoint_load import EndpointLoad
from piershore.core.fleet.generation_work import GenerationWork

PROMPT_TOKENS_PER_SECOND = 10_000.0
"""Prompt tokens that a busy engine reads: it reads them between the tokens of others,
two thirds as fast as an idle one."""


def first_part_seconds(load: EndpointLoad, work: GenerationWork) -> float:
    """Return the expected time from the start to the first part of the answer."""
    prompts = load.pending_prompt_tokens + work.size.prompt_tokens
    return prompts / PROMPT_TOKENS_PER_SECOND


def whole_seconds(load: EndpointLoad, work: GenerationWork) -> float:
    """Return the expected time from the start to the end of the answer."""
    return first_part_seconds(load, work) + TOKEN_SECONDS * work.remaining_tokens
