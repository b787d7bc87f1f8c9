"""A document in chunks that are identified by a digest of their contents."""

from __future__ import annotations

from dataclasses import dataclass
from functools import cached_property

from xxhash import xxh3_64_hexdigest

from piershore.core.fleet.store_revision import StoreRevision


@dataclass(frozen=True)
class DocumentChunk:
    """Some entries of a document as JSON; equal chunks have the same digest."""

    digest: str
    data: bytes

    @classmethod
    def of(cls, data: bytes) -> DocumentChunk:
        """Return the chunk that contains `data`."""
        return cls(xxh3_64_hexdigest(data), data)


@dataclass(frozen=True)
class Document:
    """A whole document as of a revision of the platform's store."""

    revision: StoreRevision
    chunks: tuple[DocumentChunk, ...]

    @cached_property
    def by_digest(self) -> dict[str, DocumentChunk]:
        """The chunks by their digest."""
        return {chunk.digest: chunk for chunk in self.chunks}

    @property
    def digests(self) -> tuple[str, ...]:
        """The digests of all chunks, in order."""
        return tuple(chunk.digest for chunk in self.chunks)
