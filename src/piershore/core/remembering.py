"""Bounded mappings that evict their oldest entries."""

from __future__ import annotations

from typing import TypeVar

Kept = TypeVar("Kept")


def remember(kept: dict[str, Kept], key: str, value: Kept, most: int) -> None:
    """Store an entry as the newest and evict the oldest beyond the upper bound."""
    kept.pop(key, None)
    kept[key] = value
    while len(kept) > most:
        del kept[next(iter(kept))]
