"""How much memory a service's engines have for generations, now and later.

Derived from the load alone: in the time that one generation takes from its start to
its end, an engine frees as much as it holds. Expected remainders aren't used: those of
generations that run for long are underestimated, and short ones end at once.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import accumulate, pairwise
from math import floor, inf

from piershore.core.fleet.endpoint_load import EndpointLoad
from piershore.core.fleet.generation_admission import (
    MAX_HELD_SHARE_IN_ORDER,
    MAX_PROJECTED_SHARE,
)
from piershore.core.routes.service_spec import EngineSpec

MIN_GENERATION_SECONDS = 0.1
"""Minimum of the time that a generation is expected to take."""
FREED_SHARE = 0.5
"""Part of the freed memory that counts: the rest goes to more urgent generations and to
those of engines that leave. A caller that returns too early waits in vain, while one
that returns too late is still in time."""
MEAN_MISSING_PART = 0.5
"""Part of a whole place that is missing on average until the next one is free."""


@dataclass(frozen=True)
class EngineMemory:
    """Memory of one engine in tokens: free now for whole generations, and later.

    It has more from `grows_at` on, in seconds from now.
    """

    whole: float
    grows_at: float
    freed_per_second: float

    @classmethod
    def of(
        cls,
        load: EndpointLoad,
        engine: EngineSpec,
        prompt: int,
        size: int,
        seconds: float,
    ) -> EngineMemory:
        """Return the memory for generations of this size, by `has_memory_in_order`.

        A place may be in part free. On average half a place more must become free until
        the next one is whole.
        """
        held = MAX_HELD_SHARE_IN_ORDER * engine.memory_tokens - load.held_tokens
        projected = MAX_PROJECTED_SHARE * engine.memory_tokens - load.projected_tokens
        places = max(0.0, min(held / prompt, projected / size))
        excess = max(0.0, -held, -projected)
        whole = floor(places)
        missing = excess + size * max(0.0, whole + MEAN_MISSING_PART - places)
        rate = FREED_SHARE * max(0, load.held_tokens) / seconds
        return cls(size * whole, missing / rate if rate else inf, rate)


class MemoryForecast:
    """Memory of some engines for generations of one size; times are seconds from now.

    Such a generation holds `prompt_tokens` at its start and `tokens` at its end, in
    `seconds`. While an engine is full, whatever ends is replaced, so that memory is
    freed at a constant rate.
    """

    def __init__(
        self,
        loads: Iterable[EndpointLoad],
        engine: EngineSpec,
        prompt_tokens: int,
        tokens: int,
        seconds: float,
    ) -> None:
        size = max(1, tokens)
        seconds = max(MIN_GENERATION_SECONDS, seconds)
        engines = [
            EngineMemory.of(load, engine, max(1, prompt_tokens), size, seconds)
            for load in loads
        ]
        self.free_tokens = round(sum(memory.whole for memory in engines))
        """Memory that is free now for whole generations of this size."""
        self._add_up(engines)

    def _add_up(self, engines: list[EngineMemory]) -> None:
        """Prepare the piecewise linear sum of what engines will have free."""
        growing = sorted(
            (memory for memory in engines if memory.grows_at < inf),
            key=lambda memory: memory.grows_at,
        )
        self._times = [0.0, *(memory.grows_at for memory in growing)]
        self._rates = [0.0, *accumulate(m.freed_per_second for m in growing)]
        self._totals = [float(self.free_tokens)]
        for (before, at), rate in zip(pairwise(self._times), self._rates, strict=False):
            self._totals.append(self._totals[-1] + rate * (at - before))

    def seconds_until(self, tokens: float) -> float:
        """Return when this much memory has been free, or inf if never."""
        if tokens <= self._totals[0]:
            return 0.0
        last = bisect_right(self._totals, tokens) - 1
        rate = self._rates[last]
        return self._times[last] + (tokens - self._totals[last]) / rate if rate else inf
