"""How much memory a service's engines have for generations, now and later.

Derived from the load alone: an engine frees what it holds at the pace at which its
generations are expected to end.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import accumulate
from math import inf

from piershore.core.attempts.leaving import TOKEN_SECONDS
from piershore.core.fleet.endpoint_load import EndpointLoad
from piershore.core.fleet.generation_admission import (
    MAX_HELD_SHARE,
    MAX_PROJECTED_SHARE,
)
from piershore.core.routes.service_spec import EngineSpec

MIN_REMAINING_SECONDS = 0.5
"""Minimum of the mean time until an engine's generations end: they aren't expected to
end together at once, whatever their estimates say."""


@dataclass(frozen=True)
class EngineMemory:
    """Free memory of one engine in tokens, below 0 if it is too full."""

    free: float
    freed_per_second: float

    @property
    def available_at(self) -> float:
        """In how many seconds the first token of memory is free."""
        if self.free >= 0:
            return 0.0
        return -self.free / self.freed_per_second if self.freed_per_second else inf


class MemoryForecast:
    """Memory of some engines for generations of one size; times are seconds from now.

    While an engine is full, whatever ends is replaced, so that memory is freed at a
    constant rate.
    """

    def __init__(
        self,
        loads: Iterable[EndpointLoad],
        engine: EngineSpec,
        prompt_tokens: int,
        tokens: int,
    ) -> None:
        self._size = max(1, tokens)
        prompt = max(1, prompt_tokens)
        engines = [
            EngineMemory(
                self._size * _free_places(load, engine, prompt, self._size),
                freed_per_second(load),
            )
            for load in loads
        ]
        self.free_tokens = self._size * sum(
            int(memory.free // self._size) for memory in engines if memory.free > 0
        )
        """Memory that is free now for whole generations of this size."""
        self._start_with(engines)

    def _start_with(self, engines: list[EngineMemory]) -> None:
        """Prepare the piecewise linear sum of what engines have free."""
        ordered = sorted(
            (memory for memory in engines if memory.available_at < inf),
            key=lambda memory: memory.available_at,
        )
        self._times = [memory.available_at for memory in ordered]
        self._rates = list(accumulate(m.freed_per_second for m in ordered))
        free_now = sum(max(0.0, memory.free) for memory in ordered)
        self._totals: list[float] = []
        total, rate, before = free_now, 0.0, 0.0
        for at, next_rate in zip(self._times, self._rates, strict=True):
            total += rate * (at - before)
            self._totals.append(total)
            rate, before = next_rate, at

    def seconds_until(self, tokens: float) -> float:
        """Return when this much memory has been free, or inf if never."""
        if not self._totals:
            return inf
        if tokens <= self._totals[0]:
            return 0.0
        last = bisect_right(self._totals, tokens) - 1
        rate = self._rates[last]
        return self._times[last] + (tokens - self._totals[last]) / rate if rate else inf


def freed_per_second(load: EndpointLoad) -> float:
    """Return the tokens of memory that an engine frees per second."""
    if not load.requests:
        return 0.0
    remaining = (load.projected_tokens - load.held_tokens) / load.requests
    seconds = max(MIN_REMAINING_SECONDS, TOKEN_SECONDS * remaining)
    return max(0, load.projected_tokens) / seconds


def _free_places(
    load: EndpointLoad, engine: EngineSpec, prompt: int, tokens: int
) -> float:
    """Return how many generations fit, by the bounds of `has_memory`."""
    held = MAX_HELD_SHARE * engine.memory_tokens - load.held_tokens
    projected = MAX_PROJECTED_SHARE * engine.memory_tokens - load.projected_tokens
    return min(held / prompt, projected / tokens)
