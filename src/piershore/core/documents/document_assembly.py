"""Parts of a document on their way from peers."""

from __future__ import annotations

from piershore.core.documents.document import Document, DocumentPart
from piershore.core.documents.parts_reply import PartsReply
from piershore.core.documents.parts_request import PartsRequest


class DocumentAssembly:
    """Collects the parts of a newer version, whoever they come from.

    `own` is the version that the gateway has; parts of it aren't asked for. Parts that
    came are kept when a read breaks off, or when the peer takes a newer version midway.
    """

    def __init__(self) -> None:
        self._received: dict[str, DocumentPart] = {}

    def request(self, own: Document | None) -> PartsRequest:
        """Return what to ask a peer for."""
        known = own.by_digest if own is not None else {}
        return PartsRequest(frozenset((*known, *self._received)))

    def take(self, reply: PartsReply, own: Document | None) -> Document | None:
        """Take a peer's reply; return the document once it is whole."""
        known = {**(own.by_digest if own is not None else {}), **self._received}
        known.update((part.digest, part) for part in reply.parts)
        if all(digest in known for digest in reply.digests):
            self._received = {}
            parts = tuple(known[digest] for digest in reply.digests)
            return Document(reply.revision, parts)
        wanted = {digest: known[digest] for digest in reply.digests if digest in known}
        if own is not None:
            wanted = {d: p for d, p in wanted.items() if d not in own.by_digest}
        self._received = wanted
        return None
