"""Steps for generations that leave an engine's prompt reading to others."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from behave import given, then, when

from piershore.core.fleet.endpoint_load import EndpointLoad
from piershore.core.fleet.generation_work import GenerationSize, GenerationWork
from piershore.core.fleet.length_estimate import LengthEstimate
from piershore.core.fleet.prompt_deferral import defers_prompt
from piershore.core.routes.route import RequestKind, Route, ServiceShare
from piershore.core.routes.serving_configuration import (
    group_routes,
    ServingConfiguration,
)
from standins.engine_model import EngineModel, EngineSettings

ENGINE = EngineSettings(
    capacity_tokens=200_000,
    most_batched=64,
    step_base=0.007,
    step_per_sequence=0.00012,
    prefill_per_token=0.0000714,
    prefill_chunk=112,
)
"""Memory is no limit here: only the reading of prompts is."""
LONG_TARGET, SHORT_TARGET = 4.0, 1.5
LONG_PROMPT, SHORT_PROMPT = 3_000, 2_500
LONG_TOKENS, SHORT_TOKENS = 300, 10
CHECK_SECONDS = 0.1
MAX_WAIT_SECONDS = 0.35 * LONG_TARGET


@dataclass
class Prompt:
    """A generation, and when its first part came; times are in virtual seconds."""

    identity: str
    work: GenerationWork
    arrived: float
    target: float
    first_at: float | None = None

    @property
    def is_in_time(self) -> bool:
        return self.first_at is not None and self.first_at - self.arrived <= self.target


def work_of(prompt_tokens: int, output_tokens: int) -> GenerationWork:
    size = GenerationSize(prompt_tokens, output_tokens)
    return GenerationWork(size, LengthEstimate.exactly(output_tokens))


def arrivals(random: Random) -> list[Prompt]:
    """Return bursts of two long generations, and short ones in between."""
    prompts = []
    for burst in range(8):
        for number in range(2):
            arrived = 3.2 * burst + random.uniform(0.0, 0.2)
            work = work_of(LONG_PROMPT, LONG_TOKENS)
            prompts.append(Prompt(f"l{burst}.{number}", work, arrived, LONG_TARGET))
        for number in range(2):
            arrived = 3.2 * burst + random.uniform(0.2, 1.2)
            work = work_of(SHORT_PROMPT, SHORT_TOKENS)
            prompts.append(Prompt(f"s{burst}.{number}", work, arrived, SHORT_TARGET))
    return sorted(prompts, key=lambda prompt: prompt.arrived)


def replay(prompts: list[Prompt], *, defers: bool) -> list[Prompt]:
    """Play the arrivals at one engine; return them with their first parts."""
    model, now, next_check = EngineModel(ENGINE), 0.0, 0.0
    waiting, running = list(prompts), {}
    while waiting or model.is_busy:
        if now >= next_check:
            next_check = now + CHECK_SECONDS
            for prompt in [p for p in waiting if p.arrived <= now]:
                load = sum((p.work.load() for p in running.values()), EndpointLoad())
                waited = now - prompt.arrived
                may_defer = defers and waited < MAX_WAIT_SECONDS
                if may_defer and defers_prompt(
                    load, prompt.work, waited, prompt.target, SHORT_TARGET
                ):
                    continue
                waiting.remove(prompt)
                running[prompt.identity] = prompt
                tokens = prompt.work.size
                model.submit(
                    prompt.identity,
                    prompt.identity,
                    tokens.prompt_tokens,
                    tokens.max_output_tokens,
                    1,
                )
        step = model.step() if model.is_busy else None
        now += step.duration if step else CHECK_SECONDS
        for identity in step.progressed if step else ():
            prompt = running[identity]
            prompt.work.made_tokens += 1
            prompt.work.has_begun = True
            if prompt.first_at is None:
                prompt.first_at = now
        for identity in step.finished if step else ():
            del running[identity]
    return prompts


def share_in_time(prompts: list[Prompt], target: float) -> float:
    some = [prompt for prompt in prompts if prompt.target == target]
    return sum(prompt.is_in_time for prompt in some) / len(some)


@given("an engine that gets prompts of long and short generations in bursts")
def set_up_bursts(context):
    context.seeds = range(5)


@when("long generations defer their prompts")
def play_both(context):
    context.deferred, context.plain = [], []
    for seed in context.seeds:
        context.deferred += replay(arrivals(Random(seed)), defers=True)
        context.plain += replay(arrivals(Random(seed)), defers=False)


@then(
    "{ninths:d} of 10 first parts of short ones arrive within 1.5 s, "
    "and fewer without deferral"
)
def check_short_ones(context, ninths):
    deferred = share_in_time(context.deferred, SHORT_TARGET)
    plain = share_in_time(context.plain, SHORT_TARGET)
    assert plain < ninths / 10 <= deferred, (plain, deferred)


@then("each first part of a long one arrives within 4 s")
def check_long_ones(context):
    share = share_in_time(context.deferred, LONG_TARGET)
    assert share == 1.0, share


@then(
    "a long generation that has waited {waited:g} s defers to {pending:d} pending "
    "tokens, at targets of {target:g} and {shortest} s: {expected}"
)
def check_deferral(context, waited, pending, target, shortest, expected):
    load = EndpointLoad(2, pending, pending, pending)
    work = work_of(LONG_PROMPT, LONG_TOKENS)
    defers = defers_prompt(load, work, waited, target, float(shortest))
    assert defers is (expected == "yes")


@then("a short generation doesn't defer to {pending:d} pending tokens")
def check_short_one(context, pending):
    load = EndpointLoad(8, pending, pending, pending)
    work = work_of(SHORT_PROMPT, SHORT_TOKENS)
    assert not defers_prompt(load, work, 0.0, LONG_TARGET, SHORT_TARGET)


@then("of routes with targets of 4 s, 1.5 s and a call of 0.2 s the shortest is 1.5 s")
def check_shortest(context):
    shares = (ServiceShare("engines", 1.0),)
    routes = (
        Route("a", "h", "/a/", RequestKind.STREAM, shares, 39.0, 4.0),
        Route("b", "h", "/b/", RequestKind.STREAM, shares, 6.0, 1.5),
        Route("c", "h", "/c/", RequestKind.ONCE, shares, 1.0, 0.2),
    )
    configuration = ServingConfiguration(1, group_routes(routes), {}, {})
    assert configuration.shortest_stream_targets == {"engines": 1.5}
