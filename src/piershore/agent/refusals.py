"""Refuses requests, also during a backoff or at the rate limit of the endpoint."""

from __future__ import annotations

from collections.abc import Callable

import trio

from piershore.core.limits.endpoint_rate_limiter import EndpointRateLimiter
from piershore.core.outcome import Outcome
from piershore.core.refusal_reason import RefusalReason
from piershore.core.routing.backoff import Backoff
from piershore.telemetry import metrics
from piershore.wire.link_pb2 import AgentFrame, Refused

Send = Callable[[int, AgentFrame], None]
"""Queues a frame on a link."""


class Refusals:
    """Sends and counts refusals; tracks the endpoint's backoff and rate limit."""

    def __init__(self, send: Send) -> None:
        self._send = send
        self._backoff = Backoff()
        self._rate_limiter = EndpointRateLimiter()

    @property
    def backoff_seconds_left(self) -> float:
        """Seconds until the endpoint's requested backoff ends; 0 without one."""
        return self._backoff.seconds_left(trio.current_time())

    def record_backoff(self, seconds: float) -> None:
        """Record that the endpoint has requested a backoff of some seconds."""
        self._backoff.extend(seconds, trio.current_time())

    def record_rate(self, rate: float | None) -> None:
        """Record the rate limit that an answer advertises.

        `rate` is in requests per second, None if the answer advertises no limit.
        """
        self._rate_limiter.record_answer(rate, trio.current_time())

    def try_acquire_permit(self) -> bool:
        """Acquire a permit for one request; return whether the rate limit allows it."""
        return self._rate_limiter.try_acquire(trio.current_time())

    def seconds_until_permit(self, waiting: int = 0) -> float:
        """Return the seconds until the rate limit permits a request.

        `waiting` is the number of requests that are ahead of it.
        """
        return self._rate_limiter.seconds_until_available(trio.current_time(), waiting)

    def refuse(
        self,
        link: int,
        request: int,
        reason: RefusalReason,
        outcome: Outcome = Outcome.NOT_RUN,
        retry_after: float = 0.0,
    ) -> None:
        """Refuse a request; `retry_after` is in seconds, 0 if unknown."""
        metrics.REFUSALS.labels(reason=reason, outcome=outcome).inc()
        refused = Refused(
            request=request,
            reason=reason,
            outcome=outcome,
            retry_after_seconds=retry_after,
        )
        self._send(link, AgentFrame(refused=refused))

    def refuse_if_unavailable(self, link: int, request: int) -> bool:
        """Refuse a request as not run if the endpoint accepts none, else use a permit.

        Return whether the request was refused.
        """
        if self.backoff_seconds_left:
            self.refuse_during_backoff(link, request)
            return True
        if not self.try_acquire_permit():
            self.refuse_rate_limited(link, request)
            return True
        return False

    def refuse_during_backoff(self, link: int, request: int) -> None:
        """Refuse a request as not run while the endpoint's backoff lasts.

        The endpoint would refuse it as well. When such a refusal was reported as a lost
        engine, two of them quarantined the request at its gateway as if it had crashed
        engines.
        """
        reason = RefusalReason.ENDPOINT_RESTING
        self.refuse(link, request, reason, retry_after=self.backoff_seconds_left)

    def refuse_rate_limited(self, link: int, request: int, waiting: int = 0) -> None:
        """Refuse a request as not run until the rate limit permits one more."""
        reason = RefusalReason.ENDPOINT_LIMITED
        seconds = self.seconds_until_permit(waiting)
        self.refuse(link, request, reason, retry_after=seconds)
