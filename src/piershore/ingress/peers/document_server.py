"""Serves this gateway's documents to its peers, only the chunks that they lack."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from http import HTTPStatus

import trio

from piershore.core.documents.chunks_reply import ChunksReply
from piershore.core.documents.chunks_request import ChunksRequest
from piershore.core.documents.document import Document
from piershore.core.documents.exceptions import InvalidChunksError
from piershore.core.routes.client_limits import ClientLimits
from piershore.http1.exceptions import BadRequestError
from piershore.http1.message import RequestHead
from piershore.http1.server_connection import ServerConnection
from piershore.telemetry.event_log import EventLog
from piershore.telemetry.events import DependencyLost

DocumentSource = Callable[[], Document | None]

MAX_CACHED_REPLIES = 16
"""Maximum number of cached replies: peers that had the same version before send the
same request, and building a reply takes about 2 ms of a core."""


class DocumentServer:
    """Answers requests for chunks; `sources` returns the current documents by path."""

    def __init__(self, sources: Mapping[bytes, DocumentSource], log: EventLog) -> None:
        self._sources = sources
        self._log = log
        self._replies: dict[tuple, bytes] = {}

    async def serve(self, stream: trio.SocketStream) -> None:
        """Answer one peer's requests until it closes the connection."""
        connection = ServerConnection(stream, ClientLimits)
        try:
            while (head := await connection.next_request()) is not None:
                await self._answer(connection, head, await connection.read_body())
                if not connection.prepare_next_request():
                    break
        except (BadRequestError, InvalidChunksError, trio.BrokenResourceError) as error:
            self._log.write(DependencyLost("peer's read", str(error)))
        finally:
            with trio.CancelScope(shield=True):
                await connection.close_gracefully()

    async def _answer(
        self, connection: ServerConnection, head: RequestHead, body: bytes
    ) -> None:
        source = self._sources.get(head.target)
        document = source() if source is not None else None
        if document is None:
            await connection.respond(HTTPStatus.NOT_FOUND, (), b"")
            return
        reply = self._reply(head.target, document, body)
        await connection.respond(HTTPStatus.OK, (), reply)

    def _reply(self, path: bytes, document: Document, request: bytes) -> bytes:
        key = (path, document.revision, document.digests, request)
        reply = self._replies.get(key)
        if reply is None:
            reply = ChunksReply.of(document, ChunksRequest.decode(request)).encode()
            self._replies[key] = reply
            while len(self._replies) > MAX_CACHED_REPLIES:
                del self._replies[next(iter(self._replies))]
        return reply
