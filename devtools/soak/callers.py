"""Callers of a soak: they keep connections, and record what they got."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf
from random import Random

import trio

from devtools.soak.fleet import ACCOUNTS, Fleet, Gateway, HOST
from piershore.http1.client_connection import ClientConnection
from piershore.http1.exceptions import ExchangeBrokenError, NotConnectedError
from piershore.http1.message import RequestHead
from piershore.platform.headers import REQUEST_ID

KINDS = {"once": 5, "again": 5, "stream": 4, "version": 3}
ALIKE = ("again", "version")
"""Kinds whose requests have the same body."""
SPARED_SHARE = 0.05
"""Share of new connections that don't go to a favoured gateway."""
LEAVE_SHARE = 0.05
PAUSE_SECONDS = 0.03
DEADLINE_MS = 9_000


@dataclass
class Call:
    """One attempt of a caller and what came of it."""

    identity: str
    kind: str
    account: str
    gateway: str
    life: int
    sent_at: float
    version: int = 0
    events_wanted: int = 0
    parts: tuple[str, ...] = ()
    shares_parts: bool = False
    status: int | None = None
    is_whole: bool = False
    has_left: bool = False
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    ended_at: float = 0.0


class Callers:
    """Some callers at random gateways."""

    def __init__(self, fleet: Fleet, random: Random, count: int) -> None:
        self._fleet = fleet
        self._random = random
        self._count = count
        self._next = 0
        self.shared_parts: tuple[str, ...] = ()
        self.favoured: Gateway | None = None
        self.calls: list[Call] = []

    async def run(self, seconds: float) -> None:
        """Call for some seconds, then let the last calls end."""
        end = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            for _ in range(self._count):
                nursery.start_soon(self._call_on, end)

    async def _call_on(self, end: float) -> None:
        connection: ClientConnection | None = None
        gateway: Gateway | None = None
        while trio.current_time() < end:
            await trio.sleep(self._random.random() * 2 * PAUSE_SECONDS)
            if connection is None:
                gateway = self._random.choice(self._fleet.gateways)
                if self.favoured is not None and not self._is_spared():
                    gateway = self.favoured
                connection = await self._connect(gateway)
                if connection is None:
                    continue
            call = self._draw_call(gateway)
            with trio.move_on_after(DEADLINE_MS / 1_000 + 1):
                leaves_after = self._random.random() if self._leaves() else inf
                body = self._body(call)
                is_done = await self._exchange(connection, call, leaves_after, body)
                if is_done and connection.is_clean():
                    continue
            await connection.close()
            connection = None
        if connection is not None:
            await connection.close()

    async def _connect(self, gateway: Gateway) -> ClientConnection | None:
        try:
            return await ClientConnection.open(*gateway.address, timeout=0.5)
        except NotConnectedError:
            return None

    async def call_once(
        self, gateway: Gateway, call: Call, body: bytes, pause: float = 0.0
    ) -> None:
        """Make one call on a connection of its own.

        After the first part of the answer nothing is read for `pause` seconds.
        """
        connection = await self._connect(gateway)
        if connection is None:
            return
        with trio.move_on_after(DEADLINE_MS / 1_000 + 1):
            await self._exchange(connection, call, inf, body, pause)
        await connection.close()

    def new_call(self, gateway: Gateway, kind: str, account: str) -> Call:
        """Return a call that is to be made, and keep it."""
        self._next += 1
        call = Call(
            identity=f"{self._next:016x}",
            kind=kind,
            account=account,
            gateway=gateway.name,
            life=gateway.lives,
            sent_at=trio.current_time(),
        )
        self.calls.append(call)
        return call

    def _draw_call(self, gateway: Gateway) -> Call:
        kind = self._random.choices(list(KINDS), KINDS.values())[0]
        call = self.new_call(gateway, kind, self._random.choice(list(ACCOUNTS)))
        if kind == "stream":
            call.events_wanted = self._random.choice([3, 12, 60, 150])
            call.shares_parts = bool(self.shared_parts)
        if kind == "version":
            call.version = self._random.randint(
                max(1, self._fleet.config_version - 2), self._fleet.config_version
            )
        return call

    def _head(self, call: Call, length: int) -> RequestHead:
        name = f"v{call.version}" if call.kind == "version" else call.kind
        name = "stream" if call.events_wanted else name
        headers = [
            (b"host", HOST.encode()),
            (REQUEST_ID, call.identity.encode()),
            (b"deadline-ms", str(DEADLINE_MS).encode()),
            (b"authorization", f"Token {call.account}".encode()),
            (b"tenant", b"somebody-else"),
            (b"content-length", str(length).encode()),
        ]
        if call.events_wanted:
            prompt = self._random.choice([100, 2_000, 9_000])
            usage = f"{prompt},{call.events_wanted * 4}".encode()
            headers.append((b"token-usage", usage))
            parts = call.parts or (*self.shared_parts, call.identity)
            prefix = ",".join(f"{part}:40" for part in parts)
            headers.append((b"prompt-prefix", prefix.encode()))
        return RequestHead(b"POST", f"/{name}/x".encode(), tuple(headers))

    async def _exchange(
        self,
        connection: ClientConnection,
        call: Call,
        leaves_after: float,
        body: bytes,
        pause: float = 0.0,
    ) -> bool:
        """Make one call; tell whether the connection may be used again."""
        try:
            with trio.move_on_after(leaves_after) as patience:
                await connection.send(self._head(call, len(body)), body)
                head = await connection.read_head()
                call.status = head.status
                call.headers = {k.decode(): v.decode() for k, v in head.headers}
                async for part in connection.read_chunks():
                    call.body += part
                    if pause:
                        await trio.sleep(pause)
                        pause = 0.0
                call.is_whole = True
            call.has_left = patience.cancelled_caught
        except ExchangeBrokenError:
            call.is_whole = False
        call.ended_at = trio.current_time()
        closes = call.headers.get("connection", "") == "close"
        return call.is_whole and not closes and connection.end_exchange()

    @staticmethod
    def _body(call: Call) -> bytes:
        """Return a body: many ask for a page alike, prompts and orders differ."""
        return b"{}" if call.kind in ALIKE else b'{"of": "%s"}' % call.identity.encode()

    def _is_spared(self) -> bool:
        """Draw whether a new connection goes to any gateway, also a favoured one."""
        return self._random.random() < SPARED_SHARE

    def _leaves(self) -> bool:
        return self._random.random() < LEAVE_SHARE
