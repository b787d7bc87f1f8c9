"""What endpoints have said of themselves in their answers to this gateway."""

from __future__ import annotations

from piershore.core.fleet.endpoint import Endpoint
from piershore.core.fleet.endpoint_notice import EndpointNotice
from piershore.core.remembering import remember

MOST_KNOWN = 512
"""Endpoints of which it is remembered what they said last."""


class HeardNotices:
    """Takes notices, and tells which of them are new."""

    def __init__(self) -> None:
        self._last: dict[str, EndpointNotice] = {}

    def take(self, endpoint: Endpoint, notice: EndpointNotice, now: float) -> bool:
        """Note what an endpoint asks; tell whether it is something new."""
        if self._last.get(endpoint.identity) == notice:
            return False
        remember(self._last, endpoint.identity, notice, MOST_KNOWN)
        return True
