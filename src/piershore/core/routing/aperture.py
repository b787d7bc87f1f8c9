"""Which endpoints of a service a gateway keeps links to."""

from __future__ import annotations

from collections.abc import Mapping

from piershore.core.configuration.relays import rendezvous_order

REMOTE_SHARE = 4


def choose_aperture(
    gateway: str, data_hall: str, halls: Mapping[str, str], size: int
) -> frozenset[str]:
    """Return up to `size` endpoints, most of them in the gateway's own data hall.

    `halls` maps each endpoint of the service to its data hall. One in
    `REMOTE_SHARE` is elsewhere, so that a crowded or lost hall is not all that a
    gateway knows. Each gateway ranks the endpoints by its own hash, so the links
    spread evenly, and an endpoint that comes or goes moves few of them.
    """
    ranked = rendezvous_order(gateway, halls)
    local = [name for name in ranked if halls[name] == data_hall]
    remote = [name for name in ranked if halls[name] != data_hall]
    kept_for_remote = min(len(remote), size // REMOTE_SHARE)
    chosen = local[: size - kept_for_remote]
    return frozenset(chosen + remote[: size - len(chosen)])
