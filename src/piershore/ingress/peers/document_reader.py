"""Reads a document from peers, chunk by chunk."""

from __future__ import annotations

from http import HTTPStatus

import trio

from piershore.core.documents.chunks_reply import ChunksReply
from piershore.core.documents.chunks_request import ChunksRequest
from piershore.core.documents.document import Document
from piershore.core.documents.document_assembler import DocumentAssembler
from piershore.core.documents.exceptions import InvalidChunksError
from piershore.core.fleet.endpoint import Address
from piershore.http1.client_connection import ClientConnection
from piershore.http1.exceptions import ExchangeBrokenError, NotConnectedError
from piershore.http1.message import RequestHead
from piershore.telemetry import ingress_metrics
from piershore.telemetry.event_log import EventLog
from piershore.telemetry.events import DocumentReadEnded

CONNECT_TIMEOUT_SECONDS = 0.4
STALL_TIMEOUT_SECONDS = 1.0
"""A read is aborted when nothing arrives for so long. There is no timeout for the whole
read: a link that many gateways share may take longer, and with 1 s for 0.8 MB on links
of 5 Mbit/s no read ever succeeded."""


class DocumentReader:
    """Reads one kind of document; chunks received before a read fails are kept."""

    def __init__(self, path: bytes, port: int, log: EventLog) -> None:
        self._path = path
        self._port = port
        self._log = log
        self._assembler = DocumentAssembler()
        self._received_bytes = 0

    async def read(self, host: str, own: Document | None) -> Document | None:
        """Return a peer's document, or None if it couldn't be read completely.

        Chunks of `own`, the document that this gateway has, are not read again.
        """
        self._received_bytes = 0
        started = trio.current_time()
        document, reason = None, ""
        try:
            document = await self._read(host, own)
        except (NotConnectedError, ExchangeBrokenError, InvalidChunksError) as error:
            reason = error.message
        name, seconds = self._path.decode(), trio.current_time() - started
        self._log.write(
            DocumentReadEnded(name, host, self._received_bytes, seconds, reason),
            is_failure=bool(reason),
        )
        ingress_metrics.DOCUMENT_BYTES.labels(name).inc(self._received_bytes)
        return document

    async def _read(self, host: str, own: Document | None) -> Document:
        connection = await ClientConnection.open(
            host, self._port, CONNECT_TIMEOUT_SECONDS
        )
        try:
            while True:
                request = self._assembler.request(own)
                reply = await self._request_chunks(connection, host, request)
                document = self._assembler.receive_reply(reply, own)
                if document is not None:
                    return document
                if self._assembler.request(own) == request:
                    raise ExchangeBrokenError(
                        "the peer sent none of the missing chunks"
                    )
        finally:
            with trio.CancelScope(shield=True):
                await connection.close()

    async def _request_chunks(
        self, connection: ClientConnection, host: str, request: ChunksRequest
    ) -> ChunksReply:
        body = request.encode()
        headers = (
            (b"host", str(Address(host, self._port)).encode()),
            (b"content-length", str(len(body)).encode()),
        )
        try:
            with trio.fail_after(STALL_TIMEOUT_SECONDS):
                await connection.send(RequestHead(b"POST", self._path, headers), body)
                answer = await connection.read_head()
        except trio.TooSlowError as error:
            message = f"no answer after {STALL_TIMEOUT_SECONDS:g} s"
            raise ExchangeBrokenError(message) from error
        chunks = []
        async for chunk in connection.read_chunks(STALL_TIMEOUT_SECONDS):
            self._received_bytes += len(chunk)
            chunks.append(chunk)
        if answer.status != HTTPStatus.OK:
            raise ExchangeBrokenError(f"the peer answered {answer.status}")
        if not connection.end_exchange():
            raise ExchangeBrokenError("the peer closed the connection")
        return ChunksReply.decode(b"".join(chunks))
