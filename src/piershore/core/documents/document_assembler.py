"""Assembly of a document from chunks that peers send."""

from __future__ import annotations

from piershore.core.documents.chunks_reply import ChunksReply
from piershore.core.documents.chunks_request import ChunksRequest
from piershore.core.documents.document import Document, DocumentChunk


class DocumentAssembler:
    """Collects the chunks of a newer version from any number of peers.

    `own` is the version that the gateway has; its chunks aren't requested. Received
    chunks are kept when a read breaks off, or when the peer applies a newer version
    before the document is complete.
    """

    def __init__(self) -> None:
        self._received: dict[str, DocumentChunk] = {}

    def request(self, own: Document | None) -> ChunksRequest:
        """Return the request to send to a peer."""
        known = own.by_digest if own is not None else {}
        return ChunksRequest(frozenset((*known, *self._received)))

    def receive_reply(
        self, reply: ChunksReply, own: Document | None
    ) -> Document | None:
        """Add the chunks of a peer's reply; return the document once it is complete."""
        known = {**(own.by_digest if own is not None else {}), **self._received}
        known.update((chunk.digest, chunk) for chunk in reply.chunks)
        if all(digest in known for digest in reply.digests):
            self._received = {}
            ordered = tuple(known[digest] for digest in reply.digests)
            return Document(reply.revision, ordered)
        received = {
            digest: known[digest] for digest in reply.digests if digest in known
        }
        if own is not None:
            received = {
                digest: chunk
                for digest, chunk in received.items()
                if digest not in own.by_digest
            }
        self._received = received
        return None
