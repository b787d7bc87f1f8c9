"""One version of the configuration that requests are routed by."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from piershore.core.routes.client_limits import ClientLimits
from piershore.core.routes.route import Route
from piershore.core.routes.service_spec import ServiceSpec


@dataclass(frozen=True)
class AccountRef:
    """The client account that holds a key; its priority goes before the route's."""

    name: str
    priority: int | None = None


@dataclass(frozen=True)
class ServingConfiguration:
    """Routes, services, keys and limits of one version."""

    version: int
    routes_by_host: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, ServiceSpec]
    accounts_by_key: Mapping[str, AccountRef]
    limits: ClientLimits = field(default_factory=ClientLimits)
    requires_keys: bool = False

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of `host` whose start of the path is the longest."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_start):
                return route
        return None


def group_routes(routes: Iterable[Route]) -> dict[str, tuple[Route, ...]]:
    """Group routes by host, those with the longest start of a path first."""
    groups: dict[str, list[Route]] = {}
    for route in routes:
        groups.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(group, key=lambda r: -len(r.path_start)))
        for host, group in groups.items()
    }
