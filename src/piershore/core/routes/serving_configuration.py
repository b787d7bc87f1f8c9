"""One version of the configuration for the routing of requests."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from functools import cached_property
from itertools import chain
from math import inf

from piershore.core.routes.client_limits import ClientLimits
from piershore.core.routes.route import RequestKind, Route
from piershore.core.routes.service_spec import ServiceSpec


@dataclass(frozen=True)
class AccountRef:
    """The client account that owns a key; its priority overrides the route's."""

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

    @cached_property
    def shortest_stream_targets(self) -> Mapping[str, float]:
        """The shortest target latency of a service's stream routes, in seconds."""
        shortest: dict[str, float] = {}
        for route in chain.from_iterable(self.routes_by_host.values()):
            if route.kind is RequestKind.STREAM:
                for share in route.shares:
                    known = shortest.get(share.service, inf)
                    shortest[share.service] = min(known, route.target_latency)
        return shortest

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of `host` with the longest matching path prefix, or None."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_start):
                return route
        return None


def group_routes(routes: Iterable[Route]) -> dict[str, tuple[Route, ...]]:
    """Group routes by host, those with the longest path prefix first."""
    groups: dict[str, list[Route]] = {}
    for route in routes:
        groups.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(group, key=lambda r: -len(r.path_start)))
        for host, group in groups.items()
    }
