"""Which gateways of a data hall hold the watches on the platform."""

from __future__ import annotations

from collections.abc import Container, Iterable

from piershore.core.hashing import stable_hash

RELAYS_PER_HALL = 2


def rendezvous_order(key: str, members: Iterable[str]) -> list[str]:
    """Return the members, the most preferred for `key` first."""
    return sorted(members, key=lambda member: (stable_hash(key, member), member))


def relays_of(
    data_hall: str, gateways: Iterable[str], *, preferred: Container[str] = ()
) -> list[str]:
    """Return the gateways that relay in `data_hall`, among those believed live; those
    that are `preferred` go before the others.

    Two boxes with other lists may both think that they relay; that only costs
    a few watches more.
    """
    order = rendezvous_order(f"relay/{data_hall}", gateways)
    order.sort(key=lambda gateway: gateway not in preferred)
    return order[:RELAYS_PER_HALL]
