"""What endpoints have said of themselves in their answers to this gateway."""

from __future__ import annotations

from dataclasses import dataclass

from piershore.core.fleet.asked_rests import AskedRests
from piershore.core.fleet.endpoint import Endpoint
from piershore.core.fleet.endpoint_directory import Departure, EndpointDirectory
from piershore.core.fleet.endpoint_notice import EndpointNotice
from piershore.core.remembering import remember

MOST_KNOWN = 512
"""Endpoints of which it is remembered what they said last."""


@dataclass(frozen=True)
class Heard:
    """What came of a notice: whether it said something new, and who left by it."""

    is_new: bool
    departures: tuple[Departure, ...] = ()


class HeardNotices:
    """Takes notices, and applies them to what is known of the endpoints."""

    def __init__(self, directory: EndpointDirectory, rests: AskedRests) -> None:
        self._directory = directory
        self._rests = rests
        self._last: dict[str, EndpointNotice] = {}

    def take(self, endpoint: Endpoint, notice: EndpointNotice, now: float) -> Heard:
        """Note what an endpoint asks."""
        identity = endpoint.identity
        departures: list[Departure] = []
        if notice.is_leaving:
            # Its entry may say so much later: in 6 s in which the store took no writes
            # 40 calls were sent to an endpoint that ended under the last of them.
            departures = self._directory.mark_leaving(identity)
        is_new = self._last.get(identity) != notice
        if notice.rest_seconds is not None:
            is_new = is_new or not self._rests.is_resting(identity, now)
            self._rests.note(identity, notice.rest_seconds, now)
        if is_new:
            remember(self._last, identity, notice, MOST_KNOWN)
        return Heard(is_new, tuple(departures))
