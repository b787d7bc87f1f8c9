"""A child process of the tools and tests."""

from __future__ import annotations

import signal
import subprocess
import sys
from pathlib import Path

STOP_SECONDS = 60.0


class Process:
    """One started program; its output goes to a file."""

    def __init__(self, name: str, arguments: list[str], log: Path) -> None:
        self._name = name
        self._log = log
        with log.open("ab") as output:
            self._child = subprocess.Popen(
                [sys.executable, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    @property
    def name(self) -> str:
        """Name given by the starter."""
        return self._name

    @property
    def pid(self) -> int:
        """Number of the process."""
        return self._child.pid

    @property
    def is_running(self) -> bool:
        """Whether it has not ended."""
        return self._child.poll() is None

    @property
    def output(self) -> str:
        """What it has printed so far."""
        return self._log.read_text(errors="replace")

    def terminate(self) -> None:
        """Ask it to stop."""
        self._child.terminate()

    def kill(self) -> None:
        """End it without notice."""
        self._child.kill()
        self._child.wait()

    def freeze(self) -> None:
        """Stop it in its tracks."""
        self._child.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let it go on."""
        self._child.send_signal(signal.SIGCONT)

    def wait(self, seconds: float = STOP_SECONDS) -> int:
        """Wait for its end; return the exit code."""
        return self._child.wait(seconds)

    def close(self) -> None:
        """End it if it still runs."""
        if self.is_running:
            self.thaw()
            self.kill()
