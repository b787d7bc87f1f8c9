"""Baselines: simple rules, and an upper bound that knows all lengths in advance."""

from __future__ import annotations

from collections.abc import Collection

from piershore.core.admission.admission_policy import (
    admission_policy,
    AdmissionPolicy,
)
from piershore.core.admission.candidate import Candidate, RunningGeneration


@admission_policy("fixed_slots")
class FixedSlots(AdmissionPolicy):
    """Admit up to a fixed number of generations at a time."""

    def admits(
        self, candidate: Candidate, running: Collection[RunningGeneration]
    ) -> bool:
        """Return whether a slot is free."""
        return len(running) < self._settings.slots


@admission_policy("memory_free_now")
class MemoryFreeNow(AdmissionPolicy):
    """Admit whatever fits into the memory that is free now."""

    def admits(
        self, candidate: Candidate, running: Collection[RunningGeneration]
    ) -> bool:
        """Return whether the prompt fits now."""
        held = sum(generation.held_tokens for generation in running)
        return held + candidate.prompt_tokens < self.capacity


@admission_policy("reserve_maximum")
class ReserveMaximum(AdmissionPolicy):
    """Reserve memory for the longest answer that each request allows."""

    def admits(
        self, candidate: Candidate, running: Collection[RunningGeneration]
    ) -> bool:
        """Return whether the longest answers of all generations would fit."""
        reserved = sum(
            _max_total_tokens(generation.candidate) for generation in running
        )
        return reserved + _max_total_tokens(candidate) <= self.capacity


@admission_policy("known_lengths")
class KnownLengths(AdmissionPolicy):
    """Upper bound: admit as if the length of each answer were known in advance."""

    def admits(
        self, candidate: Candidate, running: Collection[RunningGeneration]
    ) -> bool:
        """Return whether the actual peak stays within the capacity."""
        sizes = [
            (_remaining_tokens(g.candidate, g.generated), g.held_tokens)
            for g in running
        ]
        sizes.append((_remaining_tokens(candidate, 0), candidate.prompt_tokens))
        sizes.sort(reverse=True)
        held = 0
        peak = 0
        for count, (remaining, tokens) in enumerate(sizes, start=1):
            held += tokens
            peak = max(peak, held + remaining * count)
        return peak <= self.capacity


def _max_total_tokens(candidate: Candidate) -> int:
    return candidate.prompt_tokens + candidate.max_tokens


def _remaining_tokens(candidate: Candidate, generated: int) -> int:
    length = candidate.known_length or candidate.max_tokens
    return max(0, length - generated)
