"""Generations that wait for admission or run."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class LengthKey:
    """The key by which output lengths are learned."""

    account: str
    kind: str


@dataclass(frozen=True)
class Candidate:
    """A generation that waits to be started; times are monotonic seconds.

    `deadline` is the time by which its first token must arrive. `known_length` is only
    set for the policy that serves as an upper bound in experiments.
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
    """A generation that runs on the engine; `generated` counts its output tokens."""

    candidate: Candidate
    started_at: float
    generated: int = 0

    @property
    def held_tokens(self) -> int:
        """Memory in use now, in tokens."""
        return self.candidate.prompt_tokens + self.generated
