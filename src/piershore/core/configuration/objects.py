"""The kinds of objects that operators and agents store in the platform."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import datetime, time
from enum import StrEnum
from zoneinfo import ZoneInfo, ZoneInfoNotFoundError

from piershore.core.configuration.checked import (
    check_fields,
    checked,
    positive,
    share,
)


class ObjectKind(StrEnum):
    """Kinds of objects; the values are the platform's collection names."""

    TEMPLATE = "AccountTemplate"
    ACCOUNT = "ClientAccount"
    SERVICE = "Service"
    ENDPOINT = "EndpointStatus"
    SLOTS = "SlotTable"


class ServiceType(StrEnum):
    """Whether a service is served by model engines or is a plain service."""

    MODEL = "model"
    PLAIN = "plain"


def _known_time_zone(name: str) -> None:
    try:
        ZoneInfo(name)
    except (ZoneInfoNotFoundError, OSError) as error:
        raise ValueError(f"unknown time zone {name!r}") from error


def _clock_time(text: str) -> None:
    time.fromisoformat(text)


def _week_days(days: tuple[int, ...]) -> None:
    if not all(0 <= day <= 6 for day in days):
        raise ValueError("days must lie between 0 (Monday) and 6 (Sunday)")


@dataclass(frozen=True)
class WorkingHours:
    """Local working hours of a client account; ``start`` and ``end`` as HH:MM.

    ``days`` are weekdays, Monday = 0. An end before the start is on the next day.
    """

    time_zone: str = checked(_known_time_zone)
    start: str = checked(_clock_time)
    end: str = checked(_clock_time)
    days: tuple[int, ...] = checked(_week_days, default=(0, 1, 2, 3, 4, 5))

    def __post_init__(self) -> None:
        check_fields(self)

    def contains(self, moment: datetime) -> bool:
        """Return whether the timezone-aware `moment` lies within the hours."""
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
    """Parameters that a template sets and an account may override; None inherits.

    Requests of a higher priority are served first. Rates are in requests a second.
    """

    working_hours: WorkingHours | None = None
    priorities: dict[str, int] | None = None
    non_repeatable_kinds: tuple[str, ...] | None = None
    requests_per_second: float | None = checked(positive, default=None)
    concurrent_requests: int | None = checked(positive, default=None)

    def __post_init__(self) -> None:
        check_fields(self)


@dataclass(frozen=True)
class AccountTemplate:
    """Parameters that many client accounts share."""

    parameters: AccountParameters = field(default_factory=AccountParameters)


@dataclass(frozen=True)
class ClientAccount:
    """A customer: its template, bearer keys (SHA-256, hex) and overrides."""

    template: str
    key_hashes: tuple[str, ...] = ()
    overrides: AccountParameters = field(default_factory=AccountParameters)
    services: tuple[str, ...] = ()


@dataclass(frozen=True)
class AdmissionSettings:
    """How a service's agents admit requests: the policy and its parameters.

    `risk` is the accepted fraction of cases in which the projected peak is exceeded;
    `token_pace` is the target time between tokens in seconds.
    """

    policy: str = "projected_peak"
    capacity_tokens: int = checked(positive, default=16_384)
    slots: int = checked(positive, default=16)
    risk: float = checked(share, default=0.05)
    token_pace: float | None = checked(positive, default=None)
    queue_length: int = checked(positive, default=256)
    default_max_tokens: int = checked(positive, default=4_096)

    def __post_init__(self) -> None:
        check_fields(self)


@dataclass(frozen=True)
class Service:
    """A model service or a plain service and the request kinds that it accepts."""

    type: ServiceType
    kinds: tuple[str, ...]
    non_repeatable_kinds: tuple[str, ...] = ()
    slots: int = checked(positive, default=8)
    admission: AdmissionSettings = field(default_factory=AdmissionSettings)

    def __post_init__(self) -> None:
        unknown = set(self.non_repeatable_kinds) - set(self.kinds)
        if unknown:
            raise ValueError(f"non_repeatable_kinds has unknown {sorted(unknown)}")
        check_fields(self)


@dataclass(frozen=True)
class EndpointStatus:
    """An endpoint as announced by its agent; `drain` is set by operators."""

    service: str
    data_hall: str
    address: str
    incarnation: str
    drain: bool = False


ObjectSpec = AccountTemplate | ClientAccount | Service | EndpointStatus
