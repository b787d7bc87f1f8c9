"""Ports for the processes that tools and tests start."""

from __future__ import annotations

import fcntl
import socket
import tempfile
from pathlib import Path
from typing import TextIO

FIRST_PORT = 12_000
BLOCK_PORTS = 400
BLOCKS = 50


class PortBlock:
    """A block of ports that no other process of ours uses.

    A port that is only found free could be given to another deployment before its
    process binds it. The blocks lie below the range from which the system picks
    ports for outgoing connections.
    """

    def __init__(self) -> None:
        self._lock: TextIO | None = None
        self._first = 0
        self._next = 0

    def free_port(self) -> int:
        """Return the next port of the block that is free now."""
        if self._lock is None:
            self._take_block()
        for _ in range(BLOCK_PORTS):
            port = self._first + self._next % BLOCK_PORTS
            self._next += 1
            if _is_free(port):
                return port
        raise RuntimeError("no port of the block is free")

    def _take_block(self) -> None:
        folder = Path(tempfile.gettempdir()) / "piershore-ports"
        folder.mkdir(exist_ok=True)
        for number in range(BLOCKS):
            lock = (folder / str(number)).open("w")
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                lock.close()
                continue
            self._lock = lock
            self._first = FIRST_PORT + number * BLOCK_PORTS
            return
        raise RuntimeError("all blocks of ports are taken")


def _is_free(port: int) -> bool:
    """Tell whether no process has the port, at any address of this machine."""
    with socket.socket() as probe:
        try:
            probe.bind(("0.0.0.0", port))
        except OSError:
            return False
        return True


_block = PortBlock()


def free_port() -> int:
    """Return a port that is free and stays this process's own."""
    return _block.free_port()
