"""What an agent remembers of one non-repeatable key, and what it decides."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from piershore.core.outcome import Outcome
from piershore.core.refusal_reason import RefusalReason


class ClaimState(StrEnum):
    """Progress of a claimed key."""

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class Answer:
    """The kept answer of a plain call: HTTP status and body.

    If its answer said so, `rest_seconds` is how long the service wants no calls, and
    `rate_limit` how many it takes a second.
    """

    status: int
    body: bytes
    rest_seconds: float | None = None
    rate_limit: float | None = None


@dataclass(frozen=True)
class Claim:
    """State of a key that was accepted; `answer` is dropped when evicted."""

    state: ClaimState
    answer: Answer | None = None


@dataclass(frozen=True)
class RunKey:
    """Run the key now: it was claimed by this decision."""


@dataclass(frozen=True)
class AwaitKey:
    """The key is running already: wait for that run's answer."""


@dataclass(frozen=True)
class ReplayAnswer:
    """The key has run: give the kept answer again."""

    answer: Answer


@dataclass(frozen=True)
class RefuseKey:
    """The key isn't run by this request."""

    reason: RefusalReason
    outcome: Outcome


KeyDecision = RunKey | AwaitKey | ReplayAnswer | RefuseKey
