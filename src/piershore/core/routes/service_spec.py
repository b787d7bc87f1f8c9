"""The configuration of a service."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class EngineSpec:
    """The model engines of a service.

    `memory_tokens` is the memory of one engine. Moving a generation to another engine
    copies `token_bytes` for each token over links of `link_bytes_per_second`. An event
    of a stream holds `tokens_per_event`, fewer at its end.
    """

    slots: int
    memory_tokens: int
    token_bytes: float
    link_bytes_per_second: float
    can_move: bool
    can_back_up: bool
    tokens_per_event: int = 1

    def copy_seconds(self, tokens: float, *, within_data_hall: bool) -> float:
        """Return how long copying the memory of `tokens` takes on an idle link."""
        seconds = tokens * self.token_bytes / self.link_bytes_per_second
        return seconds if within_data_hall else 2 * seconds


@dataclass(frozen=True)
class ServiceSpec:
    """A service, with its engines if it is a model service.

    An endpoint is cold for `cold_start_seconds` after its start. During that time it
    can serve `cold_rate` requests a second, or any number if that is None.
    """

    name: str
    engine: EngineSpec | None = None
    cold_start_seconds: float = 0.0
    cold_rate: float | None = None
