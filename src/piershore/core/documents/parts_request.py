"""What a gateway asks a peer for: the parts of a document that it lacks."""

from __future__ import annotations

import zlib
from dataclasses import dataclass

import orjson

from piershore.core.documents.compression import compress, decompress
from piershore.core.documents.exceptions import InvalidPartsError


@dataclass(frozen=True)
class PartsRequest:
    """The digests of the parts that the reader has already."""

    known: frozenset[str]

    def encode(self) -> bytes:
        """Return the message; the same for the same digests."""
        return compress(orjson.dumps(sorted(self.known)))

    @classmethod
    def decode(cls, data: bytes) -> PartsRequest:
        """Read a message; raise `InvalidPartsError` if it isn't a request."""
        try:
            return cls(frozenset(map(str, orjson.loads(decompress(data)))))
        except (ValueError, TypeError, zlib.error) as error:
            raise InvalidPartsError(f"not a request for parts: {error!r}") from error
