"""What an endpoint says of itself beside an answer."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class EndpointNotice:
    """What the head of an answer asks of the gateway that gets it.

    `is_leaving`: the endpoint takes no new work and ends soon. `rest_seconds`: it
    turned the request away and wants nothing from this gateway for so long.
    `rate_limit`: the requests a second that it takes from all gateways together.
    `unreadable`: what it sent in place of a rate.
    """

    is_leaving: bool = False
    rest_seconds: float | None = None
    rate_limit: float | None = None
    unreadable: str = ""


NO_NOTICE = EndpointNotice()
"""A head that asks for nothing."""
