"""A gateway's request to a peer for the chunks of a document that it lacks."""

from __future__ import annotations

import zlib
from dataclasses import dataclass

import orjson

from piershore.core.documents.compression import compress, decompress
from piershore.core.documents.exceptions import InvalidChunksError


@dataclass(frozen=True)
class ChunksRequest:
    """The digests of the chunks that the reader already has."""

    known: frozenset[str]

    def encode(self) -> bytes:
        """Return the encoded message, the same for the same digests."""
        return compress(orjson.dumps(sorted(self.known)))

    @classmethod
    def decode(cls, data: bytes) -> ChunksRequest:
        """Decode a message; raise `InvalidChunksError` if it isn't a request."""
        try:
            return cls(frozenset(map(str, orjson.loads(decompress(data)))))
        except (ValueError, TypeError, zlib.error) as error:
            raise InvalidChunksError(f"not a request for chunks: {error!r}") from error
