"""The engines' calls that move a generation's memory."""

from __future__ import annotations

import orjson

from piershore.core.fleet.endpoint import Address
from piershore.http1.client_connection import ClientConnection
from piershore.http1.exceptions import ExchangeBrokenError
from piershore.http1.message import RequestHead
from piershore.ingress.ports import GenerationMover, MemoryCopy, MoveResult

STATUS_OK = 200


class EngineMover(GenerationMover):
    """Moves over the engines' own interface."""

    async def move(
        self,
        connection: ClientConnection,
        source: Address,
        request_id: str,
        target: Address,
        *,
        is_last: bool,
    ) -> MoveResult | None:
        """Copy what is new; with `is_last`, the run stops first."""
        # The engine calls the address of the receiving engine `target_version`.
        body = orjson.dumps(
            {"id": request_id, "target_version": str(target), "last": is_last}
        )
        await connection.send(_head(b"POST", b"/kv-move", source, len(body)), body)
        head = await connection.read_head()
        answer = await connection.read_body()
        if head.status == STATUS_OK:
            copied = _copy_at(source, answer)
            if copied is None:
                raise ExchangeBrokenError("the answer to a move can't be read")
            return copied
        # The source keeps the memory of a run that stopped, and names it.
        return _copy_at(source, answer) if is_last else None

    async def release(self, connection: ClientConnection, copy: MemoryCopy) -> None:
        """Free a copy that won't be used."""
        path = f"/kv-handle/{copy.name}".encode()
        await connection.send(_head(b"DELETE", path, copy.holder, 0), b"")
        await connection.read_head()
        await connection.read_body()


def _copy_at(source: Address, answer: bytes) -> MoveResult | None:
    """Return the copy that an answer names, if it names one."""
    try:
        found = orjson.loads(answer)
        return MoveResult(MemoryCopy(source, str(found["handle"])))
    except (orjson.JSONDecodeError, KeyError, TypeError):
        return None


def _head(method: bytes, path: bytes, host: Address, length: int) -> RequestHead:
    headers = (
        (b"host", str(host).encode()),
        (b"content-type", b"application/json"),
        (b"content-length", str(length).encode()),
    )
    return RequestHead(method, path, headers)
