"""A small TCP relay that cuts or stalls a link."""

from __future__ import annotations

import socket
import time
from contextlib import suppress
from math import inf
from threading import Event, Lock, Thread

CHUNK_BYTES = 65_536
BACKLOG = 64


class LinkRelay:
    """Passes connections on to one address until told otherwise.

    Each connection carries at most `bytes_per_second` in each direction.
    """

    def __init__(self, target: str, bytes_per_second: float = inf) -> None:
        self._bytes_per_second = bytes_per_second
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=BACKLOG)
        self._sockets: set[socket.socket] = set()
        self._lock = Lock()
        self._flowing = Event()
        self._flowing.set()
        self._open = True
        Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """Where the relay listens."""
        return f"127.0.0.1:{self._listener.getsockname()[1]}"

    def close(self) -> None:
        """Stop relaying."""
        self._open = False
        self._flowing.set()
        self._listener.close()
        self.cut()

    def cut(self) -> None:
        """Break all connections; new ones pass."""
        with self._lock:
            sockets, self._sockets = self._sockets, set()
        for end in sockets:
            with suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)
            end.close()

    def stall(self) -> None:
        """Let nothing pass, in both directions, new connections neither."""
        self._flowing.clear()

    def resume(self) -> None:
        """Let everything pass again."""
        self._flowing.set()

    def _accept(self) -> None:
        while self._open:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            Thread(target=self._connect, args=(near,), daemon=True).start()

    def _connect(self, near: socket.socket) -> None:
        self._flowing.wait()
        try:
            far = socket.create_connection(self._target)
        except OSError:
            near.close()
            return
        with self._lock:
            self._sockets |= {near, far}
        for source, sink in ((near, far), (far, near)):
            Thread(target=self._pass, args=(source, sink), daemon=True).start()

    def _pass(self, source: socket.socket, sink: socket.socket) -> None:
        with suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                self._flowing.wait()
                time.sleep(len(data) / self._bytes_per_second)
                sink.sendall(data)
        for end in (source, sink):
            with suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)
