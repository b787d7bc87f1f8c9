"""Settings of gateways and agents."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from piershore.core.configuration.checked import (
    address,
    check_fields,
    checked,
    not_negative,
    positive,
    share,
)
from piershore.core.ownership.slot_owner import OwnershipSettings

KIBIBYTE = 1_024


class LogFormat(StrEnum):
    """The format of log lines."""

    KEY_VALUE = "key_value"
    JSON = "json"


@dataclass(frozen=True)
class RequestSizeLimits:
    """Maximum sizes in callers' requests, in bytes."""

    body_bytes: int = checked(positive, default=1_024 * KIBIBYTE)
    header_bytes: int = checked(positive, default=16 * KIBIBYTE)
    field_bytes: int = checked(positive, default=512 * KIBIBYTE)

    def __post_init__(self) -> None:
        check_fields(self)


@dataclass(frozen=True)
class GatewaySettings:
    """Settings of a gateway; addresses are host:port, times are in seconds.

    `peers` are the `peer_listen` addresses of other gateways. They provide the
    configuration if the platform is unavailable before this gateway has discovered
    any peer.
    """

    data_hall: str
    listen: str = checked(address)
    peer_listen: str = checked(address)
    platform_url: str
    operator_key_hashes: tuple[str, ...] = ()
    peers: tuple[str, ...] = ()
    caps: RequestSizeLimits = field(default_factory=RequestSizeLimits)
    retry_share: float = checked(share, default=0.1)
    endpoint_choice: str = "least_work_of_two"
    aperture: int = checked(positive, default=32)
    request_timeout: float = checked(positive, default=600.0)
    leave_notice: float = checked(not_negative, default=1.0)
    box_list_period: float = checked(positive, default=2.0)
    log_format: LogFormat = LogFormat.KEY_VALUE

    def __post_init__(self) -> None:
        check_fields(self)


@dataclass(frozen=True)
class AgentSettings:
    """Settings of an agent; addresses are host:port, times are in seconds.

    `advertise` is the address announced to gateways; by default that is `listen`.
    """

    data_hall: str
    service: str
    listen: str = checked(address)
    platform_url: str
    endpoint_url: str
    metrics_listen: str | None = checked(address, default=None)
    advertise: str | None = checked(address, default=None)
    retained_tokens: int = checked(not_negative, default=65_536)
    resume_grace: float = checked(not_negative, default=30.0)
    flush_interval: float = checked(not_negative, default=0.01)
    stall_timeout: float = checked(positive, default=5.0)
    ownership: OwnershipSettings = field(default_factory=OwnershipSettings)
    log_format: LogFormat = LogFormat.KEY_VALUE

    def __post_init__(self) -> None:
        check_fields(self)
