"""Decodes the operators' configuration object."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import TypeVar

from piershore.core.numbers import checked_integer, checked_number
from piershore.core.routes.client_limits import ClientLimits
from piershore.core.routes.partial_configuration import (
    merge_partial_configurations,
    PartialConfiguration,
)
from piershore.core.routes.route import RequestKind, Route, ServiceShare
from piershore.core.routes.service_spec import EngineSpec, ServiceSpec
from piershore.core.routes.serving_configuration import (
    AccountRef,
    ServingConfiguration,
)
from piershore.platform.exceptions import InvalidObjectError

Entry = TypeVar("Entry")
Default = TypeVar("Default", float, None)

KINDS = {
    "safe": RequestKind.REPEATABLE,
    "unsafe": RequestKind.ONCE,
    "streaming": RequestKind.STREAM,
}
BITS_PER_MEGABIT = 1_000_000
BITS_PER_BYTE = 8
DEFAULT_PRIORITY = 5


def decode_partial_configuration(fields: Mapping) -> PartialConfiguration:
    """Decode some of the fields; raise `InvalidObjectError` if one is invalid."""
    try:
        version = fields.get("version")
        limits = fields.get("limits")
        return PartialConfiguration(
            version=None if version is None else checked_integer(version),
            routes=_decode_list(fields, "routes", _route),
            services=_decode_list(fields, "services", _service),
            accounts_by_key=dict(_accounts(fields.get("tenants") or ())),
            limits=_limits(limits) if limits else None,
            requires_keys=bool(fields.get("tenants")),
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise _invalid(error) from error


def merge_decoded_configurations(
    partials: Iterable[PartialConfiguration],
) -> ServingConfiguration:
    """Merge configurations; raise `InvalidObjectError` if the result is incomplete."""
    try:
        return merge_partial_configurations(partials)
    except ValueError as error:
        raise _invalid(error) from error


def _decode_list(
    fields: Mapping, name: str, decode: Callable[[Mapping], Entry]
) -> tuple[Entry, ...] | None:
    return tuple(map(decode, fields[name])) if name in fields else None


def _invalid(error: Exception) -> InvalidObjectError:
    return InvalidObjectError(f"the configuration is invalid: {error!r}")


def _route(item: Mapping) -> Route:
    return Route(
        name=item["name"],
        host=item["host"].lower(),
        path_start=item["path_prefix"],
        kind=KINDS.get(item.get("kind"), RequestKind.ONCE),
        shares=tuple(_shares(item)),
        timeout=checked_number(item["timeout_ms"]) / 1_000,
        target_latency=checked_number(item.get("target_latency_ms") or 1_000) / 1_000,
        priority=checked_integer(item.get("priority", DEFAULT_PRIORITY)),
        max_attempts=max(1, checked_integer(item.get("max_attempts") or 1)),
        is_public=bool(item.get("public")),
        is_resumable=bool(item.get("stream_resume")),
        longest_pause=_seconds(item.get("gap_aim_ms"), None),
    )


def _shares(item: Mapping) -> Iterator[ServiceShare]:
    weighted = item.get("weighted_services")
    if not weighted:
        yield ServiceShare(item["service"], 1.0)
        return
    for share in weighted:
        yield ServiceShare(share["service"], checked_number(share["weight"]))


def _service(item: Mapping) -> ServiceSpec:
    engine, cold_rate = item.get("engine"), item.get("cold_per_s")
    return ServiceSpec(
        name=item["name"],
        engine=_engine(engine) if engine else None,
        cold_start_seconds=checked_number(item.get("cold_start_s") or 0.0),
        cold_rate=checked_number(cold_rate) if cold_rate else None,
    )


def _engine(item: Mapping) -> EngineSpec:
    bits = checked_number(item.get("link_mbps") or 1_000.0) * BITS_PER_MEGABIT
    return EngineSpec(
        slots=checked_integer(item["slots"]),
        memory_tokens=checked_integer(item["kv_capacity_tokens"]),
        token_bytes=checked_number(item.get("kv_token_bytes") or 0),
        link_bytes_per_second=bits / BITS_PER_BYTE,
        can_move=bool(item.get("moves")),
        can_back_up=bool(item.get("backups")),
        tokens_per_event=max(1, checked_integer(item.get("stride") or 1)),
    )


def _accounts(tenants) -> Iterator[tuple[str, AccountRef]]:
    for tenant in tenants:
        priority = tenant.get("priority")
        account = AccountRef(
            tenant["name"], None if priority is None else checked_integer(priority)
        )
        for key in tenant.get("api_keys") or ():
            yield key, account


def _limits(item: Mapping) -> ClientLimits:
    default = ClientLimits()
    return ClientLimits(
        header_bytes=checked_integer(
            item.get("max_header_bytes") or default.header_bytes
        ),
        body_bytes=checked_integer(item.get("max_body_bytes") or default.body_bytes),
        header_timeout=_seconds(item.get("header_timeout_ms"), default.header_timeout),
        idle_timeout=_seconds(item.get("idle_timeout_ms"), default.idle_timeout),
    )


def _seconds(milliseconds: float | None, default: Default) -> float | Default:
    return checked_number(milliseconds) / 1_000 if milliseconds else default
