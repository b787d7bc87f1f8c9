"""What the configuration tells of a service."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class EngineSpec:
    """A service of model engines.

    `memory_tokens` is one engine's memory; moving a generation to another engine
    copies `token_bytes` a token over links of `link_bytes_per_second`.
    """

    slots: int
    memory_tokens: int
    token_bytes: float
    link_bytes_per_second: float
    can_move: bool
    can_back_up: bool
    copy_lifetime: float

    def copy_seconds(self, tokens: float, *, within_hall: bool) -> float:
        """Return how long the memory of `tokens` takes on an idle link."""
        seconds = tokens * self.token_bytes / self.link_bytes_per_second
        return seconds if within_hall else 2 * seconds


@dataclass(frozen=True)
class ServiceSpec:
    """A service; `max_connections` is what one endpoint takes of all callers."""

    name: str
    max_connections: int
    engine: EngineSpec | None = None
