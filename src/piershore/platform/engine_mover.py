"""Moves the memory of generations between engines."""

from __future__ import annotations

import orjson

from piershore.core.fleet.endpoint import Address
from piershore.http1.client_connection import ClientConnection
from piershore.http1.exceptions import ExchangeBrokenError
from piershore.http1.message import RequestHead
from piershore.ingress.ports import GenerationMover, MemoryCopy, MoveResult

STATUS_OK = 200


class EngineMover(GenerationMover):
    """Moves generations by the engines' HTTP interface."""

    async def move(
        self,
        connection: ClientConnection,
        source: Address,
        request_id: str,
        target: Address,
        *,
        is_last: bool,
    ) -> MoveResult | None:
        """Copy the memory that is new; with `is_last`, stop the run first.

        Return None if the generation can't be moved. Raise `ExchangeBrokenError`.
        """
        # `target_version` is the engine's name for the address of the target.
        body = orjson.dumps(
            {"id": request_id, "target_version": str(target), "last": is_last}
        )
        await connection.send(_head(b"POST", b"/kv-move", source, len(body)), body)
        head = await connection.read_head()
        answer = await connection.read_body()
        if head.status == STATUS_OK:
            copied = _decode_result(source, answer)
            if copied is None:
                raise ExchangeBrokenError("invalid answer to a move")
            return copied
        # If the run stopped, the source keeps its memory and returns the handle.
        return _decode_result(source, answer) if is_last else None

    async def release(self, connection: ClientConnection, copy: MemoryCopy) -> None:
        """Free a copy that will not be used."""
        path = f"/kv-handle/{copy.name}".encode()
        await connection.send(_head(b"DELETE", path, copy.holder, 0), b"")
        await connection.read_head()
        await connection.read_body()


def _decode_result(source: Address, answer: bytes) -> MoveResult | None:
    """Return the copy whose handle an answer contains, or None."""
    try:
        fields = orjson.loads(answer)
        return MoveResult(MemoryCopy(source, str(fields["handle"])))
    except (orjson.JSONDecodeError, KeyError, TypeError):
        return None


def _head(method: bytes, path: bytes, host: Address, length: int) -> RequestHead:
    headers = (
        (b"host", str(host).encode()),
        (b"content-type", b"application/json"),
        (b"content-length", str(length).encode()),
    )
    return RequestHead(method, path, headers)
