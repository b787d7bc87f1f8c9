"""What gateways tell each other of requests under which endpoints crashed."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import orjson

from piershore.core.fleet.peer_report import InvalidReportError

MARK = b"!"
"""Begins a datagram of these; reports begin with a bracket, load notes with a plus."""
MOST_ENDPOINTS = 16
"""Endpoints that one note names; far fewer crash before a request is held."""
LONGEST_NAME = 256
"""Characters of a digest or of an endpoint's identity."""


@dataclass(frozen=True)
class CrashNote:
    """The endpoints that crashed under a request, by its content.

    `excused` are those among them that crashed by chance, since the request ran well
    elsewhere; `probes` is how often it was let through again. Sets only grow, so notes
    may be lost, repeated and come in any order.
    """

    content: str
    crashed: frozenset[str]
    excused: frozenset[str] = frozenset()
    probes: int = 0


def is_crash_news(data: bytes) -> bool:
    """Tell whether a datagram holds notes of crashes."""
    return data.startswith(MARK)


def encode_notes(notes: Iterable[CrashNote]) -> bytes:
    """Return one datagram with some notes."""
    return MARK + orjson.dumps(
        [[n.content, sorted(n.crashed), sorted(n.excused), n.probes] for n in notes]
    )


def decode_notes(data: bytes) -> tuple[CrashNote, ...]:
    """Read a datagram; raise `InvalidReportError` if it holds no such notes."""
    try:
        return tuple(_note(*fields) for fields in orjson.loads(data[len(MARK) :]))
    except (ValueError, TypeError) as error:
        raise InvalidReportError(f"not notes of crashes: {error!r}") from error


def _note(content: object, crashed: object, excused: object, probes: object):
    if not isinstance(probes, int) or probes < 0:
        raise ValueError("probes are no count")
    return CrashNote(_name(content), _names(crashed), _names(excused), probes)


def _names(value: object) -> frozenset[str]:
    if not isinstance(value, list) or len(value) > MOST_ENDPOINTS:
        raise ValueError("not a short list of endpoints")
    return frozenset(map(_name, value))


def _name(value: object) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= LONGEST_NAME:
        raise ValueError("not a name")
    return value
