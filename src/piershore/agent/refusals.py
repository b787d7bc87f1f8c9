"""Refusals of requests by an agent, also while its endpoint rests or is limited."""

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
"""Puts a frame on a link."""


class Refusals:
    """Counts and sends refusals; knows when the endpoint takes requests."""

    def __init__(self, send: Send) -> None:
        self._send = send
        self._rest = Backoff()
        self._rate = EndpointRateLimiter()

    @property
    def seconds_to_rest(self) -> float:
        """Seconds until something may be sent to the endpoint; 0 if that is now."""
        return self._rest.seconds_left(trio.current_time())

    def note_rest(self, seconds: float) -> None:
        """Note that the endpoint wants nothing for some seconds."""
        self._rest.extend(seconds, trio.current_time())

    def record_rate(self, rate: float | None) -> None:
        """Take the rate that an answer of the endpoint names, if it names one."""
        self._rate.record_answer(rate, trio.current_time())

    def take_permit(self) -> bool:
        """Take a permit for one request, if the endpoint's rate allows it now."""
        return self._rate.try_acquire(trio.current_time())

    def seconds_to_permit(self, waiting: int = 0) -> float:
        """Return when the rate allows one more request after some that wait."""
        return self._rate.seconds_until_available(trio.current_time(), waiting)

    def refuse(
        self,
        link: int,
        request: int,
        reason: RefusalReason,
        outcome: Outcome = Outcome.NOT_RUN,
        retry_after: float = 0.0,
    ) -> None:
        """Refuse a request; `retry_after` is in seconds, 0 if it isn't known."""
        metrics.REFUSALS.labels(reason=reason, outcome=outcome).inc()
        refused = Refused(
            request=request,
            reason=reason,
            outcome=outcome,
            retry_after_seconds=retry_after,
        )
        self._send(link, AgentFrame(refused=refused))

    def turn_away(self, link: int, request: int) -> bool:
        """Refuse a request unrun if the endpoint takes none now, else use a permit."""
        if self.seconds_to_rest:
            self.refuse_resting(link, request)
            return True
        if not self.take_permit():
            self.refuse_limited(link, request)
            return True
        return False

    def refuse_resting(self, link: int, request: int) -> None:
        """Refuse a request unrun for as long as the endpoint asks for rest.

        Sent on, it would be turned away. Taken for a lost engine, two such refusals
        held a request at its gateway as if it had crashed engines.
        """
        reason = RefusalReason.ENDPOINT_RESTING
        self.refuse(link, request, reason, retry_after=self.seconds_to_rest)

    def refuse_limited(self, link: int, request: int, waiting: int = 0) -> None:
        """Refuse a request unrun until the endpoint's rate allows one more."""
        reason = RefusalReason.ENDPOINT_LIMITED
        seconds = self.seconds_to_permit(waiting)
        self.refuse(link, request, reason, retry_after=seconds)
