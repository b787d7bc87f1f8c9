"""Settings of a box that a process reads when it starts."""

from __future__ import annotations

from dataclasses import dataclass

from piershore.core.attempts.retry_budget import RetryLimits
from piershore.core.fleet.endpoint import Address


@dataclass(frozen=True)
class BoxSettings:
    """Addresses, location and limits of one box; times are in seconds.

    `peer_ports` is a range that is free on every box for traffic between gateways.
    `seeds` are boxes to discover peers from; the list may be out of date.
    `link_megabits` is the capacity of the box's link in Mbit/s in each direction.
    `drain_seconds` is the time within which no new requests may reach a data hall that
    operators drain; None where the platform doesn't drain data halls.
    `change_seconds` is the time within which a change in the store must be in force.
    """

    name: str
    data_hall: str
    host: str
    callers_address: Address
    ready_address: Address
    peer_ports: tuple[int, int]
    seeds: tuple[Address, ...]
    store_address: Address
    stop_grace_seconds: float
    contact_seconds: float
    retry_limits: RetryLimits
    link_megabits: float = 1_000.0
    drain_seconds: float | None = None
    change_seconds: float = 2.0
    service: str | None = None
    endpoint_address: Address | None = None
