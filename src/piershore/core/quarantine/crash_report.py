"""Reports that gateways exchange about requests that crash endpoints."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import orjson

from piershore.core.fleet.peer_report import InvalidReportError
from piershore.core.numbers import checked_integer

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
    repeated or reordered.
    """

    content: str
    crashed: frozenset[str]
    cleared: frozenset[str] = frozenset()
    probes: int = 0


def encode_reports(reports: Iterable[CrashReport]) -> bytes:
    """Return one datagram with the reports."""
    return PREFIX + orjson.dumps(
        [[r.content, sorted(r.crashed), sorted(r.cleared), r.probes] for r in reports]
    )


def decode_reports(data: bytes) -> tuple[CrashReport, ...]:
    """Decode a datagram; raise `InvalidReportError` if it isn't valid."""
    try:
        return tuple(_report(*fields) for fields in orjson.loads(data[len(PREFIX) :]))
    except (ValueError, TypeError) as error:
        raise InvalidReportError(f"invalid crash reports: {error!r}") from error


def _report(content: object, crashed: object, cleared: object, probes: object):
    return CrashReport(
        _name(content), _names(crashed), _names(cleared), checked_integer(probes)
    )


def _names(value: object) -> frozenset[str]:
    if not isinstance(value, list) or len(value) > MAX_ENDPOINTS:
        raise ValueError(f"not a list of at most {MAX_ENDPOINTS} endpoints")
    return frozenset(map(_name, value))


def _name(value: object) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= MAX_NAME_LENGTH:
        raise ValueError(f"not a text of 1 to {MAX_NAME_LENGTH} characters")
    return value
