"""The message that reports the speeds of endpoints to a peer that shares them."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

import orjson

from piershore.core.fleet.peer_report import InvalidReportError
from piershore.core.numbers import checked_integer, checked_number

SPEED_REPORT_PREFIX = b"~"
"""First byte of a speed report."""
MAX_REPORTED_SPEEDS = 64
"""Endpoints in one report, so that it takes at most 3 KB."""
MICROSECONDS = 1_000_000
AGE_DECIMAL_PLACES = 1


@dataclass(frozen=True)
class ReportedSpeed:
    """One endpoint's own seconds per token, and the samples it is based on.

    `age` is the time in seconds since the last of them.
    """

    endpoint: str
    token_seconds: float
    samples: int
    age: float = 0.0


@dataclass(frozen=True)
class SpeedReport:
    """Estimates of one gateway; `number` increases within an `incarnation`."""

    host: str
    incarnation: str
    number: int
    speeds: tuple[ReportedSpeed, ...]

    def encode(self) -> bytes:
        """Return the report as a datagram."""
        speeds = [
            [
                s.endpoint,
                round(s.token_seconds * MICROSECONDS),
                s.samples,
                round(s.age, AGE_DECIMAL_PLACES),
            ]
            for s in self.speeds
        ]
        return SPEED_REPORT_PREFIX + orjson.dumps(
            [self.host, self.incarnation, self.number, speeds]
        )

    @classmethod
    def decode(cls, data: bytes) -> SpeedReport:
        """Decode a datagram; raise `InvalidReportError` if it isn't a speed report."""
        try:
            host, incarnation, number, speeds = orjson.loads(
                data[len(SPEED_REPORT_PREFIX) :]
            )
            if len(speeds) > MAX_REPORTED_SPEEDS:
                raise ValueError("too many endpoints")
            decoded = tuple(_decode_speeds(speeds))
            number = checked_integer(number)
            return cls(str(host), str(incarnation), number, decoded)
        except (ValueError, TypeError, OverflowError) as error:
            raise InvalidReportError(f"not a speed report: {error!r}") from error


def _decode_speeds(speeds: list) -> Iterator[ReportedSpeed]:
    for endpoint, microseconds, samples, age in speeds:
        yield ReportedSpeed(
            str(endpoint),
            checked_number(microseconds) / MICROSECONDS,
            checked_integer(samples),
            checked_number(age),
        )
