"""An agent's claims of non-repeatable keys and its decisions about them."""

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
    """The stored answer of a plain call: HTTP status and body.

    `rest_seconds` is the backoff that the service requested with its answer, and
    `rate_limit` the calls a second that it advertised; None if it didn't.
    """

    status: int
    body: bytes
    rest_seconds: float | None = None
    rate_limit: float | None = None


@dataclass(frozen=True)
class Claim:
    """State of an accepted key; `answer` is dropped when it is evicted."""

    state: ClaimState
    answer: Answer | None = None


@dataclass(frozen=True)
class RunKey:
    """Run the key now: this decision has claimed it."""


@dataclass(frozen=True)
class AwaitKey:
    """The key is already running: wait for the answer of that run."""


@dataclass(frozen=True)
class ReplayAnswer:
    """The key has run: return the stored answer again."""

    answer: Answer


@dataclass(frozen=True)
class RefuseKey:
    """Refuse the request: it doesn't run the key."""

    reason: RefusalReason
    outcome: Outcome


KeyDecision = RunKey | AwaitKey | ReplayAnswer | RefuseKey
