"""Bounded mappings that evict their oldest entries."""

from __future__ import annotations

from typing import TypeVar

Kept = TypeVar("Kept")


def put_newest(kept: dict[str, Kept], key: str, value: Kept, max_entries: int) -> None:
    """Store an entry as the newest and evict the oldest beyond the upper bound."""
    kept.pop(key, None)
    kept[key] = value
    while len(kept) > max_entries:
        del kept[next(iter(kept))]
