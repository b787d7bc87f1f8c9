"""What an endpoint says of itself beside an answer."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class EndpointNotice:
    """What the head of an answer asks of the gateway that gets it.

    `is_leaving`: the endpoint takes no new work and ends soon. `rest_seconds`: it
    turned the request away and wants nothing from this gateway for so long.
    """

    is_leaving: bool = False
    rest_seconds: float | None = None


NO_NOTICE = EndpointNotice()
"""A head that asks for nothing."""
