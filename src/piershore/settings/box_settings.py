"""What a process learns about its box when it starts."""

from __future__ import annotations

from dataclasses import dataclass

from piershore.core.attempts.retry_budget import RetryLimits
from piershore.core.fleet.endpoint import Address


@dataclass(frozen=True)
class BoxSettings:
    """Addresses, place and limits of one box; times in seconds.

    `peer_ports` are free on every box for what processes of the system say to
    each other; `seeds` are boxes that may know others, perhaps out of date.
    `link_megabits` a second cross the box's own link in each direction.
    `drain_seconds` is how soon nothing new may reach a data hall that operators drain;
    None where the platform doesn't drain data halls.
    """

    name: str
    data_hall: str
    host: str
    callers_address: Address
    ready_address: Address
    peer_ports: tuple[int, int]
    seeds: tuple[Address, ...]
    store_address: Address
    stop_grace: float
    contact_seconds: float
    retry_limits: RetryLimits
    link_megabits: float = 1_000.0
    drain_seconds: float | None = None
    service: str | None = None
    endpoint_address: Address | None = None
