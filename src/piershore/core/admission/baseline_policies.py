"""Policies to measure against: simple rules, and a bound that knows the future."""

from __future__ import annotations

from collections.abc import Collection

from piershore.core.admission.admission_policy import (
    admission_policy,
    AdmissionPolicy,
)
from piershore.core.admission.candidate import Candidate, RunningGeneration


@admission_policy("fixed_slots")
class FixedSlots(AdmissionPolicy):
    """A fixed number of generations at a time."""

    def admits(
        self, candidate: Candidate, running: Collection[RunningGeneration]
    ) -> bool:
        """Tell whether a slot is free."""
        return len(running) < self._settings.slots


@admission_policy("memory_free_now")
class MemoryFreeNow(AdmissionPolicy):
    """Whatever fits into the memory that is free at this moment."""

    def admits(
        self, candidate: Candidate, running: Collection[RunningGeneration]
    ) -> bool:
        """Tell whether the prompt fits now."""
        held = sum(generation.held_tokens for generation in running)
        return held + candidate.prompt_tokens < self.capacity


@admission_policy("reserve_maximum")
class ReserveMaximum(AdmissionPolicy):
    """Memory for the longest answer that each request allows."""

    def admits(
        self, candidate: Candidate, running: Collection[RunningGeneration]
    ) -> bool:
        """Tell whether the longest answers of all would fit."""
        reserved = sum(_longest(generation.candidate) for generation in running)
        return reserved + _longest(candidate) <= self.capacity


@admission_policy("known_lengths")
class KnownLengths(AdmissionPolicy):
    """The bound: as if the length of each answer were known in advance."""

    def admits(
        self, candidate: Candidate, running: Collection[RunningGeneration]
    ) -> bool:
        """Tell whether the true peak stays below the capacity."""
        sizes = [(_left(g.candidate, g.generated), g.held_tokens) for g in running]
        sizes.append((_left(candidate, 0), candidate.prompt_tokens))
        sizes.sort(reverse=True)
        held = 0
        peak = 0
        for count, (left, tokens) in enumerate(sizes, start=1):
            held += tokens
            peak = max(peak, held + left * count)
        return peak <= self.capacity


def _longest(candidate: Candidate) -> int:
    return candidate.prompt_tokens + candidate.max_tokens


def _left(candidate: Candidate, generated: int) -> int:
    length = candidate.known_length or candidate.max_tokens
    return max(0, length - generated)
