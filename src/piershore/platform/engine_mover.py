"""Moves the memory of generations between engines."""

from __future__ import annotations

from http import HTTPStatus

import orjson

from piershore.core.fleet.endpoint import Address
from piershore.http1.client_connection import ClientConnection
from piershore.http1.exceptions import ExchangeBrokenError
from piershore.http1.message import RequestHead
from piershore.ingress.ports import (
    GenerationMover,
    MemoryCopy,
    MoveResult,
    StopOutcome,
    StopResult,
)


class EngineMover(GenerationMover):
    """Moves generations by the engines' HTTP interface."""

    async def move(
        self,
        connection: ClientConnection,
        source: Address,
        request_id: str,
        target: Address,
    ) -> MoveResult | None:
        """Copy the memory that is new, while the run goes on.

        Return None if the generation can't be moved. Raise `ExchangeBrokenError`.
        """
        await _send_move(connection, source, request_id, target, is_last=False)
        head = await connection.read_head()
        answer = await connection.read_body()
        if head.status != HTTPStatus.OK:
            return None
        copy = _decode_copy(source, answer)
        if copy is None:
            raise ExchangeBrokenError("invalid answer to a move")
        return MoveResult(copy)

    async def send_stop(
        self,
        connection: ClientConnection,
        source: Address,
        request_id: str,
        target: Address,
    ) -> None:
        """Order to stop a run and to copy its memory; raise `ExchangeBrokenError`."""
        await _send_move(connection, source, request_id, target, is_last=True)

    async def read_stop_result(
        self, connection: ClientConnection, source: Address
    ) -> StopResult:
        """Read the answer to `send_stop`; raise `ExchangeBrokenError`."""
        head = await connection.read_head()
        copy = _decode_copy(source, await connection.read_body())
        if head.status == HTTPStatus.NOT_FOUND:
            return StopResult(StopOutcome.NO_RUN)
        # Without room at the target, the source keeps the memory and names it.
        if head.status == HTTPStatus.OK or copy is not None:
            return StopResult(StopOutcome.STOPPED, copy)
        return StopResult(StopOutcome.REFUSED)

    async def release(self, connection: ClientConnection, copy: MemoryCopy) -> None:
        """Free a copy that will not be used."""
        path = f"/kv-handle/{copy.name}".encode()
        await connection.send(_head(b"DELETE", path, copy.holder, 0), b"")
        await connection.read_head()
        await connection.read_body()


async def _send_move(
    connection: ClientConnection,
    source: Address,
    request_id: str,
    target: Address,
    *,
    is_last: bool,
) -> None:
    # `target_version` is the engine's name for the address of the target.
    body = orjson.dumps(
        {"id": request_id, "target_version": str(target), "last": is_last}
    )
    await connection.send(_head(b"POST", b"/kv-move", source, len(body)), body)


def _decode_copy(source: Address, answer: bytes) -> MemoryCopy | None:
    """Return the copy whose handle an answer contains, or None."""
    try:
        fields = orjson.loads(answer)
        return MemoryCopy(source, str(fields["handle"]))
    except (orjson.JSONDecodeError, KeyError, TypeError):
        return None


def _head(method: bytes, path: bytes, host: Address, length: int) -> RequestHead:
    headers = (
        (b"host", str(host).encode()),
        (b"content-type", b"application/json"),
        (b"content-length", str(length).encode()),
    )
    return RequestHead(method, path, headers)
