"""Bounded mappings that evict their oldest entries."""

from __future__ import annotations

from typing import TypeVar

Kept = TypeVar("Kept")


def put_newest(
    entries: dict[str, Kept], key: str, value: Kept, max_entries: int
) -> None:
    """Store an entry as the newest and evict the oldest beyond the upper bound."""
    entries.pop(key, None)
    entries[key] = value
    while len(entries) > max_entries:
        del entries[next(iter(entries))]
