"""Selection of the gateways that watch the platform for their data hall."""

from __future__ import annotations

from collections.abc import Container, Iterable

from piershore.core.hashing import stable_hash

RELAYS_PER_DATA_HALL = 2


def rendezvous_order(key: str, members: Iterable[str]) -> list[str]:
    """Return the members by rendezvous hashing, the most preferred for `key` first."""
    return sorted(members, key=lambda member: (stable_hash(key, member), member))


def relays_of(
    data_hall: str, gateways: Iterable[str], *, preferred: Container[str] = ()
) -> list[str]:
    """Return the relays of `data_hall` among the gateways that are assumed live.

    Gateways that are `preferred` are chosen before the others. Boxes with different
    lists may choose different relays, which only costs a few additional watches.
    """
    order = rendezvous_order(f"relay/{data_hall}", gateways)
    order.sort(key=lambda gateway: gateway not in preferred)
    return order[:RELAYS_PER_DATA_HALL]
