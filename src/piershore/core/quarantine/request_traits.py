"""What a generation has in common with others: its account, and parts of its prompt."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import islice

from piershore.core.attempts.request_digest import request_digest

MAX_TRACKED_PARTS = 64
"""Parts of one prompt that are tracked, the first ones: each may cost a record at every
gateway. The whole request is tracked whatever the number of its parts."""
TRAIT_PREFIX = "trait:"
"""Tells traits from the digests of whole requests, in reports and records."""
ACCOUNT_PREFIX = TRAIT_PREFIX + "account:"
"""Tells accounts from parts of prompts."""


def request_traits(account: str, model: str, parts: Iterable[str]) -> frozenset[str]:
    """Return the traits of a generation; none if its prompt shares no part.

    `parts` are the ids of the parts that other prompts may have too. The same id stands
    for another text with another model.
    """
    traits = frozenset(
        TRAIT_PREFIX + request_digest(model, b"part", part.encode())
        for part in islice(parts, MAX_TRACKED_PARTS)
    )
    if not traits:
        return traits
    return traits | {ACCOUNT_PREFIX + request_digest(model, b"", account.encode())}


def is_trait(subject: str) -> bool:
    """Return whether the subject of a report is a trait, not a whole request."""
    return subject.startswith(TRAIT_PREFIX)


def is_account(trait: str) -> bool:
    """Return whether a trait is an account."""
    return trait.startswith(ACCOUNT_PREFIX)
