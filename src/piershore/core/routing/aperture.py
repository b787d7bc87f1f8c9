"""The aperture: the endpoints of a service that a gateway keeps links to."""

from __future__ import annotations

from collections.abc import Mapping

from piershore.core.configuration.relays import rendezvous_order

ENDPOINTS_PER_REMOTE_ENDPOINT = 4


def choose_aperture(
    gateway: str, data_hall: str, data_halls: Mapping[str, str], size: int
) -> frozenset[str]:
    """Return up to `size` endpoints, most of them in the gateway's own data hall.

    `data_halls` maps each endpoint of the service to its data hall. One in
    `ENDPOINTS_PER_REMOTE_ENDPOINT` is in another data hall, so that the gateway can
    still send requests when its own is overloaded or lost. Each gateway ranks the
    endpoints by its own hash, so that links spread evenly and few change when an
    endpoint is added or removed.
    """
    ranked = rendezvous_order(gateway, data_halls)
    local = [name for name in ranked if data_halls[name] == data_hall]
    remote = [name for name in ranked if data_halls[name] != data_hall]
    remote_count = min(len(remote), size // ENDPOINTS_PER_REMOTE_ENDPOINT)
    chosen = local[: size - remote_count]
    return frozenset(chosen + remote[: size - len(chosen)])
