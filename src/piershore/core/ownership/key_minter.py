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
    usable = [
        slot_interval
        for slot_interval in reachable
        if _is_usable(slot_interval.interval)
    ]
    if not usable:
        return None
    slot_interval = random.choice(usable)
    mint_time = min(
        max(now, slot_interval.interval.start + 1), slot_interval.interval.end
    )
    for _ in range(ATTEMPTS_PER_SLOT * slot_interval.slot_count):
        key = MintedKey.mint(mint_time, random)
        if key.slot(slot_interval.slot_count) == slot_interval.slot:
            return key
    return None


def intervals_for(
    key: MintedKey, known: Iterable[SlotInterval]
) -> Iterator[SlotInterval]:
    """Yield the known interval whose owner may run `key`, if there is one."""
    for slot_interval in known:
        if slot_interval.contains(key.mint_time, key.slot(slot_interval.slot_count)):
            yield slot_interval


def _is_usable(interval: Interval) -> bool:
    return not interval.released and interval.end > interval.start
