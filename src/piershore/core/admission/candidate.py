"""Generations as the admission sees them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class LengthKey:
    """What lengths are learned by."""

    account: str
    kind: str


@dataclass(frozen=True)
class Candidate:
    """A generation that asks to be started; times are monotonic seconds.

    `deadline` is when its first token must come. `known_length` is only given
    to the policy that serves as a bound in experiments.
    """

    identity: str
    length_key: LengthKey
    priority: int
    prompt_tokens: int
    max_tokens: int
    arrived_at: float
    deadline: float | None = None
    known_length: int | None = None


@dataclass
class RunningGeneration:
    """A generation that the engine works on; `generated` counts its tokens."""

    candidate: Candidate
    started_at: float
    generated: int = 0

    @property
    def held_tokens(self) -> int:
        """Memory that it holds now, in tokens."""
        return self.candidate.prompt_tokens + self.generated
