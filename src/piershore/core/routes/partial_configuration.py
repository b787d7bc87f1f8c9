"""Partial configurations, each decoded separately, and how they are merged."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from itertools import chain

from piershore.core.routes.client_limits import ClientLimits
from piershore.core.routes.route import Route
from piershore.core.routes.service_spec import ServiceSpec
from piershore.core.routes.serving_configuration import (
    AccountRef,
    group_routes,
    ServingConfiguration,
)


@dataclass(frozen=True)
class PartialConfiguration:
    """The fields in one chunk of a configuration; all others are None or empty.

    A new version differs from the last in few chunks: the partial configurations that
    were decoded from the other chunks are reused.
    """

    version: int | None = None
    routes: tuple[Route, ...] | None = None
    services: tuple[ServiceSpec, ...] | None = None
    accounts_by_key: Mapping[str, AccountRef] = field(default_factory=dict)
    limits: ClientLimits | None = None
    requires_keys: bool = False


def merge_partial_configurations(
    partials: Iterable[PartialConfiguration],
) -> ServingConfiguration:
    """Return the configuration; raise ValueError if a required field is missing."""
    partials = tuple(partials)
    routes = chain.from_iterable(_values_of(partials, "routes"))
    services = chain.from_iterable(_values_of(partials, "services"))
    accounts: dict[str, AccountRef] = {}
    for partial in partials:
        accounts.update(partial.accounts_by_key)
    limits = [partial.limits for partial in partials if partial.limits is not None]
    return ServingConfiguration(
        version=_values_of(partials, "version")[-1],
        routes_by_host=group_routes(routes),
        services={service.name: service for service in services},
        accounts_by_key=accounts,
        limits=limits[-1] if limits else ClientLimits(),
        requires_keys=any(partial.requires_keys for partial in partials),
    )


def _values_of(partials: tuple[PartialConfiguration, ...], name: str) -> list:
    """Return the values of a field; raise ValueError if there is none."""
    all_values = [getattr(partial, name) for partial in partials]
    values = [value for value in all_values if value is not None]
    if not values:
        raise ValueError(f"the configuration has no field {name!r}")
    return values
