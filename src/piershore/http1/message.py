"""Heads of requests and answers."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from http import HTTPStatus

Headers = tuple[tuple[bytes, bytes], ...]
"""Pairs of a name in lower case and a value, in order."""

CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Headers that apply to a single connection (RFC 9110, 7.6.1)."""


FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})
STATUSES_WITHOUT_BODY = frozenset({HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED})


@dataclass(frozen=True)
class RequestHead:
    """Method, target and headers of a request."""

    method: bytes
    target: bytes
    headers: Headers

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None."""
        return find_header(self.headers, name)

    def values(self, name: bytes) -> Iterator[bytes]:
        """Yield all values of a header."""
        return (value for key, value in self.headers if key == name)

    @property
    def host(self) -> str:
        """The requested host in lower case, without the port."""
        value = (self.header(b"host") or b"").decode("latin-1").strip().lower()
        return value if value.endswith("]") else value.partition(":")[0]

    @property
    def path(self) -> str:
        """The path of the target, without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")


@dataclass(frozen=True)
class ResponseHead:
    """Status and headers of an answer."""

    status: int
    headers: Headers

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None."""
        return find_header(self.headers, name)

    def values(self, name: bytes) -> Iterator[bytes]:
        """Yield all values of a header."""
        return (value for key, value in self.headers if key == name)

    @property
    def ends_with_connection(self) -> bool:
        """Whether only the end of its connection ends the body (RFC 9112, 6.3)."""
        if self.status in STATUSES_WITHOUT_BODY:
            return False
        names = {name for name, _ in self.headers}
        return names.isdisjoint(FRAMING_HEADERS)


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, or None."""
    return next((value for key, value in headers if key == name), None)


def end_to_end_headers(
    headers: Headers, protected: frozenset[bytes]
) -> Iterator[tuple]:
    """Yield the headers that are forwarded.

    A sender can exclude further headers by listing them in `Connection`, but none of
    `protected`.
    """
    excluded = set(CONNECTION_HEADERS)
    for key, value in headers:
        if key == b"connection":
            names = (name.strip().lower() for name in value.split(b","))
            excluded.update(name for name in names if name not in protected)
    for key, value in headers:
        if key not in excluded:
            yield key, value
