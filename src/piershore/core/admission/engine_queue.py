"""The queue in front of one engine: what to start, what to refuse, and when."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from itertools import count

from sortedcontainers import SortedKeyList

from piershore.core.admission import baseline_policies, projected_peak  # noqa: F401
from piershore.core.admission.actions import AdmissionAction, Refuse, Start
from piershore.core.admission.admission_policy import POLICIES
from piershore.core.admission.candidate import Candidate, RunningGeneration
from piershore.core.admission.length_model import LengthModel
from piershore.core.admission.pace_model import PaceModel
from piershore.core.configuration.objects import AdmissionSettings
from piershore.core.refusal_reason import RefusalReason

MIN_RETRY_SECONDS = 1.0
MAX_RETRY_SECONDS = 300.0
RATE_WINDOW_SECONDS = 10.0
NO_DEADLINE = float("inf")


def _always() -> bool:
    """Allow every start."""
    return True


class EngineQueue:
    """Admission to one engine; times are monotonic seconds.

    `poll` yields the actions; the other methods only record events.
    """

    def __init__(self, settings: AdmissionSettings) -> None:
        self._settings = settings
        self._lengths = LengthModel()
        self._pace = PaceModel()
        self._policy = POLICIES[settings.policy](settings, self._lengths)
        self._order = count()
        self._queue: SortedKeyList = SortedKeyList(key=lambda entry: entry[0])
        self._queued: dict[str, tuple] = {}
        self._running: dict[str, RunningGeneration] = {}
        self._refused: list[Refuse] = []
        self._token_rate = 0.0
        self._rate_updated_at: float | None = None

    @property
    def running_count(self) -> int:
        """Number of generations that run on the engine."""
        return len(self._running)

    @property
    def queued_count(self) -> int:
        """Number of waiting requests."""
        return len(self._queued)

    @property
    def free_share(self) -> float:
        """Share of the memory that is free now."""
        held = sum(g.held_tokens for g in self._running.values())
        return max(0.0, 1 - held / self._settings.capacity_tokens)

    @property
    def token_rate(self) -> float:
        """Tokens per second that the engine generated recently."""
        return self._token_rate

    def submit(self, candidate: Candidate, now: float) -> None:
        """Add a request to the queue, or refuse it."""
        required = candidate.prompt_tokens + 1
        if required > self._settings.capacity_tokens:
            self._refuse(candidate, RefusalReason.TOO_LONG_FOR_ENGINE, 0.0)
            return
        if len(self._queued) >= self._settings.queue_length:
            wait = self.projected_wait(candidate)
            self._refuse(candidate, RefusalReason.QUEUE_FULL, wait)
            return
        deadline = NO_DEADLINE if candidate.deadline is None else candidate.deadline
        entry = ((-candidate.priority, deadline, next(self._order)), candidate)
        self._queue.add(entry)
        self._queued[candidate.identity] = entry

    def record_progress(self, identity: str, tokens: int) -> None:
        """Record that a generation has produced `tokens` more tokens."""
        generation = self._running.get(identity)
        if generation is not None:
            generation.generated += tokens

    def record_step(self, tokens: int, batch: int, seconds: float, now: float) -> None:
        """Record one step of the engine: its tokens, batch size and duration."""
        self._pace.record(batch, seconds)
        self.record_tokens(tokens, now)

    def record_tokens(self, tokens: int, now: float) -> None:
        """Record that the engine has generated `tokens` since the last call."""
        if self._rate_updated_at is None:
            self._rate_updated_at = now
            return
        elapsed = now - self._rate_updated_at
        if elapsed <= 0:
            return
        decay = max(0.0, 1 - elapsed / RATE_WINDOW_SECONDS)
        self._token_rate = decay * self._token_rate + (1 - decay) * tokens / elapsed
        self._rate_updated_at = now

    def finish(self, identity: str, *, is_complete: bool) -> None:
        """Remove a generation that ended; learn its length if it is complete."""
        generation = self._running.pop(identity, None)
        if generation is not None and is_complete:
            key = generation.candidate.length_key
            self._lengths.record(key, generation.generated)

    def withdraw(self, identity: str) -> bool:
        """Remove a request from the queue; return whether it was there."""
        entry = self._queued.pop(identity, None)
        if entry is None:
            return False
        self._queue.remove(entry)
        return True

    def waiting(self) -> tuple[Candidate, ...]:
        """Return the waiting requests, the most urgent first."""
        return tuple(entry[1] for entry in self._queue)

    def poll(
        self, now: float, may_start: Callable[[], bool] = _always
    ) -> Iterator[AdmissionAction]:
        """Yield the actions to take now: refusals, then starts, the most urgent first.

        `may_start` is called before each start; no more generations are started once it
        returns False.
        """
        yield from self._pop_refused()
        yield from self._refuse_unreachable(now)
        self._policy.start_round(self._running.values())
        while self._queue and self._has_batch_capacity() and may_start():
            candidate = self._queue[0][1]
            if not self._policy.admits(candidate, self._running.values()):
                return
            self.withdraw(candidate.identity)
            self._policy.record_start(candidate)
            self._running[candidate.identity] = RunningGeneration(candidate, now)
            yield Start(candidate)

    def projected_wait(self, candidate: Candidate) -> float:
        """Return the expected seconds until the queue ahead of `candidate` is empty.

        The result is bounded to a sensible time for a retry.
        """
        if self._token_rate <= 0:
            return MIN_RETRY_SECONDS
        tokens_ahead = sum(
            self._expected_tokens(entry[1])
            for entry in self._queue
            if entry[1].priority >= candidate.priority
        )
        wait = tokens_ahead / self._token_rate
        return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, wait))

    def _refuse_unreachable(self, now: float) -> Iterator[Refuse]:
        tokens_ahead = 0.0
        for _, candidate in list(self._queue):
            wait = tokens_ahead / self._token_rate if self._token_rate > 0 else 0.0
            if candidate.deadline is not None and now + wait > candidate.deadline:
                self.withdraw(candidate.identity)
                has_passed = now > candidate.deadline
                reason = (
                    RefusalReason.DEADLINE_PASSED
                    if has_passed
                    else RefusalReason.DEADLINE_UNREACHABLE
                )
                yield Refuse(candidate, reason, max(MIN_RETRY_SECONDS, wait))
                continue
            tokens_ahead += self._expected_tokens(candidate)

    def _expected_tokens(self, candidate: Candidate) -> float:
        return self._lengths.expected_remaining(
            candidate.length_key, 0, candidate.max_tokens
        )

    def _has_batch_capacity(self) -> bool:
        if self._settings.token_pace is None:
            return True
        cap = self._pace.batch_cap(self._settings.token_pace)
        return cap is None or len(self._running) < cap

    def _refuse(
        self, candidate: Candidate, reason: RefusalReason, retry_after: float
    ) -> None:
        self._refused.append(Refuse(candidate, reason, retry_after))

    def _pop_refused(self) -> Iterator[Refuse]:
        while self._refused:
            yield self._refused.pop(0)
