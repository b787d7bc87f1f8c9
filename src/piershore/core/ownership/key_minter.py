"""Minting of keys in a gateway, and lookup of the intervals that contain a key."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from random import Random

from piershore.core.ownership.interval import Interval, SlotInterval
from piershore.core.ownership.minted_key import MintedKey

ATTEMPTS_PER_SLOT = 16


def mint_key(
    reachable: Iterable[SlotInterval], now: int, random: Random
) -> MintedKey | None:
    """Return a new key that the owner of a reachable interval may run.

    `now` is in Unix milliseconds. It is clamped to the owner's interval, so that keys
    run even if this clock is wrong, or if the platform is down and leases aren't
    extended.
    """
    usable = [held for held in reachable if _is_usable(held.interval)]
    if not usable:
        return None
    held = random.choice(usable)
    mint_time = min(max(now, held.interval.start + 1), held.interval.end)
    for _ in range(ATTEMPTS_PER_SLOT * held.slot_count):
        key = MintedKey.mint(mint_time, random)
        if key.slot(held.slot_count) == held.slot:
            return key
    return None


def intervals_for(
    key: MintedKey, known: Iterable[SlotInterval]
) -> Iterator[SlotInterval]:
    """Yield the known interval whose owner may run `key`, if there is one."""
    for held in known:
        if held.contains(key.mint_time, key.slot(held.slot_count)):
            yield held


def _is_usable(interval: Interval) -> bool:
    return not interval.released and interval.end > interval.start
