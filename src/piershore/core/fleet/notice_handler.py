"""Applies the notices that endpoints attach to their answers."""

from __future__ import annotations

from dataclasses import dataclass

from piershore.core.bounded_mapping import put_newest
from piershore.core.fleet.endpoint import Endpoint
from piershore.core.fleet.endpoint_directory import Departure, EndpointDirectory
from piershore.core.fleet.endpoint_notice import EndpointNotice, UNRESTRICTED_NOTICE
from piershore.core.fleet.endpoint_rate_limits import EndpointRateLimits
from piershore.core.fleet.requested_backoffs import RequestedBackoffs

MAX_REMEMBERED_NOTICES = 512
"""Endpoints whose last notice is remembered, to recognize repeated ones."""


@dataclass(frozen=True)
class NoticeResult:
    """The effects of a notice.

    `is_new`: the endpoint's last notice was different. `has_new_limit`: the endpoint's
    rate limit has changed. `departures`: endpoints that take no new work from now on.
    """

    is_new: bool
    has_new_limit: bool
    departures: tuple[Departure, ...] = ()


class NoticeHandler:
    """Updates the directory, the backoffs and the rate limits from notices."""

    def __init__(
        self,
        directory: EndpointDirectory,
        backoffs: RequestedBackoffs,
        limits: EndpointRateLimits,
    ) -> None:
        self._directory = directory
        self._backoffs = backoffs
        self._limits = limits
        self._last: dict[str, EndpointNotice] = {}

    def apply(
        self, endpoint: Endpoint, notice: EndpointNotice, now: float
    ) -> NoticeResult:
        """Apply a notice and return its effects."""
        identity = endpoint.identity
        departures: list[Departure] = []
        if notice.is_leaving:
            # The store's entry may say so much later: while the store accepted no
            # writes for 6 s, 40 calls were sent to an endpoint that stopped during the
            # last of them.
            departures = self._directory.mark_leaving(identity)
        is_new = notice not in (UNRESTRICTED_NOTICE, self._last.get(identity))
        if notice.rest_seconds is not None:
            is_new = is_new or not self._backoffs.is_active(identity, now)
            self._backoffs.record(identity, notice.rest_seconds, now)
        has_new_limit = False
        if notice.rate_limit is not None:
            rate = notice.rate_limit
            has_new_limit = self._limits.record_answer(identity, rate, now)
        if is_new:
            put_newest(self._last, identity, notice, MAX_REMEMBERED_NOTICES)
        return NoticeResult(is_new, has_new_limit, tuple(departures))
