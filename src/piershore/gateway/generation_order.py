"""A generation as the gateway asks for it."""

from __future__ import annotations

from dataclasses import dataclass


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


@dataclass(frozen=True)
class ShownTokens:
    """Tokens to be shown to the caller, and where the stream then stands."""

    tokens: tuple[str, ...]
    event_id: str
