"""The datagram in which a gateway tells peers what waits at it for memory."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import astuple, dataclass, field
from math import isfinite

import orjson

from piershore.core.fleet.peer_report import InvalidReportError

WAITING_PREFIX = b"?"
"""First byte of a report on waiting generations."""
MAX_LISTED = 8
"""Waiting generations of a service that a report lists; the others are summed up."""
MAX_GROUPS = 32
"""Groups of equal rank, but for their arrival, that the others are summed up in."""
MAX_PROMISES_REPORTED = 24
MAX_SERVICES = 64
MAX_NAME_LENGTH = 256
MAX_TOKENS = 1e9
MAX_SECONDS = 600.0
MAX_LEVEL = 99
TIME_DIGITS = 3
"""Decimal places of times in seconds."""


@dataclass(frozen=True)
class ReportedWaiter:
    """One generation that waits at the sender, for `waited` seconds so far."""

    level: int
    is_newcomer: bool
    is_late: bool
    waited: float
    tokens: int


@dataclass(frozen=True)
class ReportedGroup:
    """The memory that further generations of equal rank wait for."""

    level: int
    is_newcomer: bool
    is_late: bool
    tokens: int


@dataclass(frozen=True)
class ServiceWaiting:
    """What waits for one service: the first in the order, and sums of the rest."""

    first: tuple[ReportedWaiter, ...] = ()
    rest: tuple[ReportedGroup, ...] = ()


@dataclass(frozen=True)
class ReportedPromise:
    """A promise of the sender; times are seconds from the report on."""

    content: str
    service: str
    priority: int
    tokens: int
    opens_in: float
    lapses_in: float


@dataclass(frozen=True)
class WaitingReport:
    """All that waits at a gateway, its latest promises, and who returned to it.

    Each report replaces the one before, so reports may be lost or repeated; `number`
    shows which is newer. Times are durations, since clocks of boxes differ.
    """

    host: str
    incarnation: str
    number: int
    services: Mapping[str, ServiceWaiting] = field(default_factory=dict)
    promises: tuple[ReportedPromise, ...] = ()
    returned: tuple[str, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether nothing waits, is promised or has returned."""
        return not (self.services or self.promises or self.returned)

    def encode(self) -> bytes:
        """Return the report as a datagram."""
        return WAITING_PREFIX + orjson.dumps(
            [
                self.host,
                self.incarnation,
                self.number,
                {
                    name: [list(map(astuple, s.first)), list(map(astuple, s.rest))]
                    for name, s in self.services.items()
                },
                list(map(astuple, self.promises)),
                self.returned,
            ]
        )

    @classmethod
    def decode(cls, data: bytes) -> WaitingReport:
        """Decode a datagram; raise `InvalidReportError` if it isn't valid."""
        try:
            host, incarnation, number, services, promises, returned = orjson.loads(
                data[len(WAITING_PREFIX) :]
            )
            return cls(
                _name(host),
                _name(incarnation),
                _whole(number),
                {
                    _name(name): _service_waiting(*parts)
                    for name, parts in _bounded(services, dict, MAX_SERVICES).items()
                },
                tuple(
                    _promise(*fields)
                    for fields in _bounded(promises, list, MAX_PROMISES_REPORTED)
                ),
                tuple(map(_name, _bounded(returned, list, MAX_PROMISES_REPORTED))),
            )
        except (ValueError, TypeError) as error:
            raise InvalidReportError(f"not a waiting report: {error!r}") from error


def _service_waiting(first: object, rest: object) -> ServiceWaiting:
    return ServiceWaiting(
        tuple(_waiter(*fields) for fields in _bounded(first, list, MAX_LISTED)),
        tuple(_group(*fields) for fields in _bounded(rest, list, MAX_GROUPS)),
    )


def _waiter(
    level: object, is_newcomer: object, is_late: object, waited: object, tokens: object
) -> ReportedWaiter:
    return ReportedWaiter(
        _whole(level, MAX_LEVEL),
        _flag(is_newcomer),
        _flag(is_late),
        _seconds(waited),
        _whole(tokens),
    )


def _group(
    level: object, is_newcomer: object, is_late: object, tokens: object
) -> ReportedGroup:
    return ReportedGroup(
        _whole(level, MAX_LEVEL), _flag(is_newcomer), _flag(is_late), _whole(tokens)
    )


def _promise(
    content: object,
    service: object,
    priority: object,
    tokens: object,
    opens_in: object,
    lapses_in: object,
) -> ReportedPromise:
    return ReportedPromise(
        _name(content),
        _name(service),
        _whole(priority, MAX_LEVEL),
        _whole(tokens),
        _seconds(opens_in),
        _seconds(lapses_in),
    )


def _bounded(value: object, kind: type, maximum: int):
    if not isinstance(value, kind) or len(value) > maximum:
        raise ValueError(f"not a {kind.__name__} of at most {maximum}")
    return value


def _name(value: object) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= MAX_NAME_LENGTH:
        raise ValueError(f"not a text of 1 to {MAX_NAME_LENGTH} characters")
    return value


def _flag(value: object) -> bool:
    if not isinstance(value, bool):
        raise ValueError("not a flag")
    return value


def _whole(value: object, maximum: float = MAX_TOKENS) -> int:
    if not isinstance(value, int) or isinstance(value, bool):
        raise ValueError("not a whole number")
    if not 0 <= value <= maximum:
        raise ValueError(f"not within 0 to {maximum:g}")
    return value


def _seconds(value: object) -> float:
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise ValueError("not a number")
    if not isfinite(value) or not 0 <= value <= MAX_SECONDS:
        raise ValueError(f"not within 0 to {MAX_SECONDS:g} s")
    return float(value)
