"""A gateway's reply: the digests of its document and some of the missing chunks."""

from __future__ import annotations

import zlib
from collections.abc import Iterator
from dataclasses import dataclass

import orjson

from piershore.core.documents.chunks_request import ChunksRequest
from piershore.core.documents.compression import compress, decompress
from piershore.core.documents.document import Document, DocumentChunk
from piershore.core.documents.exceptions import InvalidChunksError
from piershore.core.fleet.store_revision import StoreRevision
from piershore.core.numbers import checked_integer

TARGET_REPLY_BYTES = 131_072
"""Size of the chunks in one reply before compression, some 15 KB of routes after it:
0.03 s on a link of 5 Mbit/s. A broken connection loses no more than that."""
LINE_END = b"\n"
"""Separates the chunks: encoded JSON contains no line end."""


@dataclass(frozen=True)
class ChunksReply:
    """The digests of the whole document, and the first chunks that the reader lacks."""

    revision: StoreRevision
    digests: tuple[str, ...]
    chunks: tuple[DocumentChunk, ...]

    @classmethod
    def of(cls, document: Document, request: ChunksRequest) -> ChunksReply:
        """Return the reply to a request, one message of bounded size."""
        chunks = tuple(_first_missing(document, request))
        return cls(document.revision, document.digests, chunks)

    def encode(self) -> bytes:
        """Return the encoded message."""
        head = orjson.dumps([self.revision, self.digests])
        return compress(LINE_END.join([head, *(chunk.data for chunk in self.chunks)]))

    @classmethod
    def decode(cls, data: bytes) -> ChunksReply:
        """Decode a message; raise `InvalidChunksError` if it isn't a reply."""
        try:
            head, *lines = decompress(data).split(LINE_END)
            revision, digests = orjson.loads(head)
            return cls(
                StoreRevision(checked_integer(revision)),
                tuple(map(str, digests)),
                tuple(map(DocumentChunk.of, lines)),
            )
        except (ValueError, TypeError, zlib.error) as error:
            raise InvalidChunksError(f"not a reply with chunks: {error!r}") from error


def _first_missing(
    document: Document, request: ChunksRequest
) -> Iterator[DocumentChunk]:
    size = 0
    for chunk in document.chunks:
        if chunk.digest in request.known:
            continue
        size += len(chunk.data)
        yield chunk
        if size >= TARGET_REPLY_BYTES:
            return
