"""What an endpoint says of itself beside an answer."""

from __future__ import annotations

from dataclasses import dataclass

from piershore.core.fleet.endpoint_rate_limits import UNLIMITED


@dataclass(frozen=True)
class EndpointNotice:
    """What the head of an answer asks of the gateway that gets it.

    `is_leaving`: the endpoint takes no new work and ends soon. `rest_seconds`: it
    turned the request away and wants nothing from this gateway for so long.
    `rate_limit`: the requests a second that it takes from all gateways together, None
    if the answer doesn't tell. `unreadable`: what it sent in place of a rate.
    """

    is_leaving: bool = False
    rest_seconds: float | None = None
    rate_limit: float | None = None
    unreadable: str = ""

    @property
    def named_rate(self) -> float | None:
        """The rate that the answer names, if it names one."""
        return None if self.rate_limit == UNLIMITED else self.rate_limit


NO_NOTICE = EndpointNotice()
"""A head that doesn't tell what the endpoint asks."""
PLAIN_NOTICE = EndpointNotice(rate_limit=UNLIMITED)
"""The head of an answer to a request that asks for nothing."""
