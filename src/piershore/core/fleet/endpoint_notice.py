"""What an endpoint says about itself in the head of an answer."""

from __future__ import annotations

from dataclasses import dataclass

from piershore.core.fleet.endpoint_rate_limits import UNLIMITED


@dataclass(frozen=True)
class EndpointNotice:
    """What an endpoint asks of the gateway that receives its answer.

    `is_leaving`: the endpoint takes no new work and stops soon. `rest_seconds`: it
    refused the request and asks this gateway to back off for that long; None if it
    doesn't. `rate_limit`: the requests a second that it accepts from all gateways
    together; None if the answer says nothing about it. `unreadable`: the header's
    value if it isn't a valid rate, else empty.
    """

    is_leaving: bool = False
    rest_seconds: float | None = None
    rate_limit: float | None = None
    unreadable: str = ""

    @property
    def advertised_rate(self) -> float | None:
        """The rate limit that the endpoint advertises; None if there is none."""
        return None if self.rate_limit == UNLIMITED else self.rate_limit


NO_NOTICE = EndpointNotice()
"""The notice of an answer that tells nothing about the endpoint."""
UNRESTRICTED_NOTICE = EndpointNotice(rate_limit=UNLIMITED)
"""The notice of an endpoint that serves normally, without a rate limit."""
