"""What a request is recognized by."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class RequestFingerprint:
    """What a request is recognized by when its caller or others send one like it.

    `content` is the digest of the whole request, `traits` is what it has in common
    with others.
    """

    content: str
    traits: frozenset[str] = frozenset()
