"""Work that gateways have in flight at one endpoint."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class EndpointLoad:
    """Sums over requests in flight.

    `held_tokens` is memory in use now, `projected_tokens` memory at the expected
    ends, `unread_tokens` prompts whose first token has not come yet.
    """

    requests: int = 0
    held_tokens: int = 0
    projected_tokens: int = 0
    unread_tokens: int = 0

    def __add__(self, other: EndpointLoad) -> EndpointLoad:
        return EndpointLoad(
            self.requests + other.requests,
            self.held_tokens + other.held_tokens,
            self.projected_tokens + other.projected_tokens,
            self.unread_tokens + other.unread_tokens,
        )

    def __sub__(self, other: EndpointLoad) -> EndpointLoad:
        return EndpointLoad(
            self.requests - other.requests,
            self.held_tokens - other.held_tokens,
            self.projected_tokens - other.projected_tokens,
            self.unread_tokens - other.unread_tokens,
        )


NO_LOAD = EndpointLoad()
