"""The kinds of object that operators and agents keep in the platform."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import datetime, time
from enum import StrEnum
from zoneinfo import ZoneInfo, ZoneInfoNotFoundError


class ObjectKind(StrEnum):
    """Kinds of object; the values are the platform's collection names."""

    TEMPLATE = "AccountTemplate"
    ACCOUNT = "ClientAccount"
    SERVICE = "Service"
    ENDPOINT = "EndpointStatus"
    SLOTS = "SlotTable"


class ServiceType(StrEnum):
    """What stands behind a service."""

    MODEL = "model"
    PLAIN = "plain"


@dataclass(frozen=True)
class WorkingHours:
    """Local hours of a client account: ``start``/``end`` as HH:MM.

    ``days`` counts from Monday = 0. An end before the start is on the next day.
    """

    time_zone: str
    start: str
    end: str
    days: tuple[int, ...] = (0, 1, 2, 3, 4, 5)

    def __post_init__(self) -> None:
        try:
            ZoneInfo(self.time_zone)
        except (ZoneInfoNotFoundError, OSError) as error:
            raise ValueError(f"unknown time zone {self.time_zone!r}") from error
        time.fromisoformat(self.start)
        time.fromisoformat(self.end)
        if not all(0 <= day <= 6 for day in self.days):
            raise ValueError("days must lie between 0 (Monday) and 6 (Sunday)")

    def contains(self, moment: datetime) -> bool:
        """Tell whether the aware `moment` lies within the hours."""
        local = moment.astimezone(ZoneInfo(self.time_zone))
        start = time.fromisoformat(self.start)
        end = time.fromisoformat(self.end)
        clock = local.time()
        if start <= end:
            return local.weekday() in self.days and start <= clock < end
        if clock >= start:
            return local.weekday() in self.days
        return (local.weekday() - 1) % 7 in self.days and clock < end


@dataclass(frozen=True)
class AccountParameters:
    """What a template sets and an account may override; None inherits.

    A higher priority is served first. Rates are requests a second.
    """

    working_hours: WorkingHours | None = None
    priorities: dict[str, int] | None = None
    non_repeatable_kinds: tuple[str, ...] | None = None
    requests_per_second: float | None = None
    concurrent_requests: int | None = None

    def __post_init__(self) -> None:
        if self.requests_per_second is not None and self.requests_per_second <= 0:
            raise ValueError("requests_per_second must be above 0")
        if self.concurrent_requests is not None and self.concurrent_requests <= 0:
            raise ValueError("concurrent_requests must be above 0")


@dataclass(frozen=True)
class AccountTemplate:
    """Parameters that many client accounts share."""

    parameters: AccountParameters = field(default_factory=AccountParameters)


@dataclass(frozen=True)
class ClientAccount:
    """One customer: its template, its bearer keys (SHA-256, hex) and overrides."""

    template: str
    key_hashes: tuple[str, ...] = ()
    overrides: AccountParameters = field(default_factory=AccountParameters)
    services: tuple[str, ...] = ()


@dataclass(frozen=True)
class AdmissionSettings:
    """How a service's agents admit: the policy's name and its numbers.

    `risk` is the share of cases in which the projected peak may be exceeded;
    `token_pace` is the aim for the time between tokens in seconds.
    """

    policy: str = "projected_peak"
    capacity_tokens: int = 16_384
    slots: int = 16
    risk: float = 0.05
    token_pace: float | None = None
    queue_length: int = 256
    default_max_tokens: int = 4_096


@dataclass(frozen=True)
class Service:
    """A model service or a plain service and the request kinds that it takes."""

    type: ServiceType
    kinds: tuple[str, ...]
    non_repeatable_kinds: tuple[str, ...] = ()
    slots: int = 8
    admission: AdmissionSettings = field(default_factory=AdmissionSettings)

    def __post_init__(self) -> None:
        unknown = set(self.non_repeatable_kinds) - set(self.kinds)
        if unknown:
            raise ValueError(f"non_repeatable_kinds has unknown {sorted(unknown)}")
        if self.slots < 1:
            raise ValueError("slots must be at least 1")


@dataclass(frozen=True)
class EndpointStatus:
    """An endpoint as its agent announced it; `drain` is set by operators."""

    service: str
    data_hall: str
    address: str
    incarnation: str
    drain: bool = False


ObjectSpec = AccountTemplate | ClientAccount | Service | EndpointStatus
