"""The work that gateways have in flight at one endpoint."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class EndpointLoad:
    """Sums over requests in flight, memory being counted in tokens.

    `held_tokens` is the memory in use now, `projected_tokens` the memory in use at the
    expected ends, and `pending_prompt_tokens` the prompts of generations that have not
    produced their first token.
    """

    requests: int = 0
    held_tokens: int = 0
    projected_tokens: int = 0
    pending_prompt_tokens: int = 0

    def __add__(self, other: EndpointLoad) -> EndpointLoad:
        return EndpointLoad(
            self.requests + other.requests,
            self.held_tokens + other.held_tokens,
            self.projected_tokens + other.projected_tokens,
            self.pending_prompt_tokens + other.pending_prompt_tokens,
        )

    def __sub__(self, other: EndpointLoad) -> EndpointLoad:
        return EndpointLoad(
            self.requests - other.requests,
            self.held_tokens - other.held_tokens,
            self.projected_tokens - other.projected_tokens,
            self.pending_prompt_tokens - other.pending_prompt_tokens,
        )


NO_LOAD = EndpointLoad()
