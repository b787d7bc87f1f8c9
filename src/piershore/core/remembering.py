"""Bounded memories, of which the oldest entry goes first."""

from __future__ import annotations

from typing import TypeVar

Kept = TypeVar("Kept")


def remember(kept: dict[str, Kept], key: str, value: Kept, most: int) -> None:
    """Note something as the newest of the `most` entries that are kept."""
    kept.pop(key, None)
    kept[key] = value
    while len(kept) > most:
        del kept[next(iter(kept))]
