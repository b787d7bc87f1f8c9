"""Reports that gateways exchange about requests that crash endpoints."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import orjson

from piershore.core.fleet.peer_report import InvalidReportError

MARK = b"!"
"""First byte of a datagram with crash reports; peer reports begin with a bracket, load
updates with a plus."""
MOST_ENDPOINTS = 16
"""Endpoints in one report; a request is quarantined after far fewer crashes."""
LONGEST_NAME = 256
"""Maximum length of a digest or of an endpoint's identity, in characters."""


@dataclass(frozen=True)
class CrashNote:
    """The endpoints that crashed while they ran a request.

    `content` is the request's digest. `excused` are the crashes that the request did
    not cause, since it has completed elsewhere; `probes` is how often it was released
    from quarantine as a probe. Sets and count only grow, so reports may be lost,
    repeated or reordered.
    """

    content: str
    crashed: frozenset[str]
    excused: frozenset[str] = frozenset()
    probes: int = 0


def is_crash_news(data: bytes) -> bool:
    """Return whether a datagram holds crash reports."""
    return data.startswith(MARK)


def encode_notes(notes: Iterable[CrashNote]) -> bytes:
    """Return one datagram with the reports."""
    return MARK + orjson.dumps(
        [[n.content, sorted(n.crashed), sorted(n.excused), n.probes] for n in notes]
    )


def decode_notes(data: bytes) -> tuple[CrashNote, ...]:
    """Decode a datagram; raise `InvalidReportError` if it isn't valid."""
    try:
        return tuple(_note(*fields) for fields in orjson.loads(data[len(MARK) :]))
    except (ValueError, TypeError) as error:
        raise InvalidReportError(f"invalid crash reports: {error!r}") from error


def _note(content: object, crashed: object, excused: object, probes: object):
    if not isinstance(probes, int) or probes < 0:
        raise ValueError("probes must be a count")
    return CrashNote(_name(content), _names(crashed), _names(excused), probes)


def _names(value: object) -> frozenset[str]:
    if not isinstance(value, list) or len(value) > MOST_ENDPOINTS:
        raise ValueError(f"not a list of at most {MOST_ENDPOINTS} endpoints")
    return frozenset(map(_name, value))


def _name(value: object) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= LONGEST_NAME:
        raise ValueError(f"not a text of 1 to {LONGEST_NAME} characters")
    return value
