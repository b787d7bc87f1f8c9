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

    def copy_seconds(self, tokens: float, *, within_hall: bool) -> float:
        """Return how long the memory of `tokens` takes on an idle link."""
        seconds = tokens * self.token_bytes / self.link_bytes_per_second
        return seconds if within_hall else 2 * seconds


@dataclass(frozen=True)
class ServiceSpec:
    """A service, and what its engines are if it has some.

    An endpoint is cold for `cold_start_seconds` after its start; it bears `cold_rate`
    requests a second meanwhile, or any number if that is None.
    """

    name: str
    engine: EngineSpec | None = None
    cold_start_seconds: float = 0.0
    cold_rate: float | None = None
