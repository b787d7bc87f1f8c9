"""Reports that gateways exchange about requests that crash endpoints."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import orjson

from piershore.core.fleet.peer_report import InvalidReportError
from piershore.core.numbers import checked_integer, checked_number

PREFIX = b"!"
"""First byte of a datagram with crash reports; peer reports begin with a bracket, load
updates with a plus."""
MAX_ENDPOINTS = 16
"""Endpoints in one report; a request is quarantined after far fewer crashes."""
MAX_NAME_LENGTH = 256
"""Maximum length of a digest or of an endpoint's identity, in characters."""


@dataclass(frozen=True)
class CrashReport:
    """The endpoints that crashed while they ran a request.

    `content` is the request's digest. `cleared` are the crashes that the request did
    not cause, since it has completed elsewhere; `probes` is how often it was released
    from quarantine as a probe. Sets and count only grow, so reports may be lost,
    repeated or reordered. `ages` is how many seconds ago each endpoint of `crashed`, in
    the order of their identities, was found to have crashed; empty if that isn't known.
    """

    content: str
    crashed: frozenset[str]
    cleared: frozenset[str] = frozenset()
    probes: int = 0
    ages: tuple[float, ...] = ()

    def age(self, identity: str) -> float:
        """Return how many seconds ago an endpoint was found to have crashed."""
        if not self.ages:
            return 0.0
        return self.ages[sorted(self.crashed).index(identity)]


def encode_reports(reports: Iterable[CrashReport]) -> bytes:
    """Return one datagram with the reports."""
    return PREFIX + orjson.dumps([_fields(report) for report in reports])


def decode_reports(data: bytes) -> tuple[CrashReport, ...]:
    """Decode a datagram; raise `InvalidReportError` if it isn't valid."""
    try:
        return tuple(_report(*fields) for fields in orjson.loads(data[len(PREFIX) :]))
    except (ValueError, TypeError) as error:
        raise InvalidReportError(f"invalid crash reports: {error!r}") from error


def _fields(report: CrashReport) -> list[object]:
    crashed, cleared = sorted(report.crashed), sorted(report.cleared)
    fields = [report.content, crashed, cleared, report.probes]
    return [*fields, [round(age, 2) for age in report.ages]] if report.ages else fields


def _report(
    content: object,
    crashed: object,
    cleared: object,
    probes: object,
    ages: object = (),
) -> CrashReport:
    report = CrashReport(
        _name(content),
        _names(crashed),
        _names(cleared),
        checked_integer(probes),
        tuple(map(checked_number, ages)),
    )
    if len(report.ages) not in (0, len(report.crashed)):
        raise ValueError("not one age for each crash")
    return report


def _names(value: object) -> frozenset[str]:
    if not isinstance(value, list) or len(value) > MAX_ENDPOINTS:
        raise ValueError(f"not a list of at most {MAX_ENDPOINTS} endpoints")
    return frozenset(map(_name, value))


def _name(value: object) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= MAX_NAME_LENGTH:
        raise ValueError(f"not a text of 1 to {MAX_NAME_LENGTH} characters")
    return value
