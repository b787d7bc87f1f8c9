"""A generation as the gateway asks for it."""

from __future__ import annotations

from dataclasses import dataclass

from piershore.core.attempts.request_digest import request_digest


@dataclass(frozen=True)
class GenerationOrder:
    """One caller's request; `first_token_seconds` 0 sets no deadline."""

    account: str
    service: str
    kind: str
    priority: int
    prompt: str
    max_tokens: int
    first_token_seconds: float = 0.0

    @property
    def content(self) -> str:
        """What identifies the request when it comes again."""
        target = f"{self.service}/{self.kind}/{self.max_tokens}"
        return request_digest(self.account, target.encode(), self.prompt.encode())


@dataclass(frozen=True)
class ShownTokens:
    """Tokens to be shown to the caller, and where the stream then stands."""

    tokens: tuple[str, ...]
    event_id: str
