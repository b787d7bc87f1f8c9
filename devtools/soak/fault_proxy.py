"""A loopback proxy whose connections can be delayed, cut, reset or silenced."""

from __future__ import annotations

import struct
from collections.abc import Callable
from enum import StrEnum

import trio

CHUNK_BYTES = 65_536
DELAY_SECONDS = 0.15
NO_LINGER = struct.pack("ii", 1, 0)


class LinkFault(StrEnum):
    """What happens to bytes on the way."""

    NONE = "none"
    DELAY = "delay"
    REFUSE = "refuse"
    RESET = "reset"
    SILENCE = "silence"
    SILENCE_ANSWERS = "silence_answers"


class FaultProxy:
    """Passes connections on to `target` as the present fault allows."""

    def __init__(self, target: Callable[[], tuple[str, int]]) -> None:
        self._target = target
        self._scopes: set[trio.CancelScope] = set()
        self._changed = trio.Event()
        self._fault = LinkFault.NONE
        self._opened = 0
        self._silenced = 0
        self._listening = trio.Lock()
        self._nursery: trio.Nursery | None = None
        self.disturbed_at = 0.0
        self.port = 0

    @property
    def fault(self) -> LinkFault:
        """The fault in force."""
        return self._fault

    def set_fault(self, fault: LinkFault) -> None:
        """Put a fault in force; a reset ends the open connections."""
        self._fault = fault
        self.disturbed_at = trio.current_time()
        changed, self._changed = self._changed, trio.Event()
        changed.set()
        if fault is LinkFault.RESET:
            for scope in list(self._scopes):
                scope.cancel()

    def silence_open(self) -> None:
        """Let the open connections go silent for good; new ones work."""
        self._silenced = self._opened
        self.disturbed_at = trio.current_time()

    def start(self, nursery: trio.Nursery, port: int) -> None:
        """Let connections run in a nursery; `accept` takes them at a port."""
        self._nursery = nursery
        self.port = port

    async def accept(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Take connections until cancelled; then the port refuses them.

        Run it as long as the target serves: the port of a process that has ended
        refuses connections, and that is what tells a crash from a busy endpoint.
        """
        async with self._listening:
            listeners = await trio.open_tcp_listeners(self.port, host="127.0.0.1")
            task_status.started()
            await trio.serve_listeners(
                self._relay, listeners, handler_nursery=self._nursery
            )

    async def _relay(self, caller: trio.SocketStream) -> None:
        if self._fault in (LinkFault.REFUSE, LinkFault.RESET):
            self._reset(caller)
            return
        target = None
        self._opened += 1
        number = self._opened
        try:
            with trio.CancelScope() as scope:
                self._scopes.add(scope)
                target = await trio.open_tcp_stream(*self._target())
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._pump, number, caller, target, False)
                    await self._pump(number, target, caller, True)
                    nursery.cancel_scope.cancel()
        except* OSError:
            pass
        finally:
            self._scopes.discard(scope)
            for stream in filter(None, (caller, target)):
                self._reset(stream) if scope.cancel_called else None
                with trio.CancelScope(shield=True):
                    await trio.aclose_forcefully(stream)

    async def _pump(self, number: int, source, sink, is_answer: bool) -> None:
        try:
            while data := await source.receive_some(CHUNK_BYTES):
                await self._hold(number, is_answer)
                await sink.send_all(data)
            await sink.send_eof()
        except trio.BrokenResourceError:
            # A reset travels on as a reset: a close would look like a whole end.
            self._reset(sink)
        except trio.ClosedResourceError:
            return

    async def _hold(self, number: int, is_answer: bool) -> None:
        if number <= self._silenced:
            await trio.sleep_forever()
        if self._fault is LinkFault.DELAY:
            await trio.sleep(DELAY_SECONDS)
        while self._fault is LinkFault.SILENCE or (
            is_answer and self._fault is LinkFault.SILENCE_ANSWERS
        ):
            await self._changed.wait()

    @staticmethod
    def _reset(stream: trio.SocketStream) -> None:
        socket = stream.socket
        if socket.fileno() < 0:
            return
        socket.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, NO_LINGER)
        socket.close()
