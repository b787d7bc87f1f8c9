"""Signals while a process starts, before its event loop takes them."""

from __future__ import annotations

import signal


def ignore_early_hangup() -> None:
    """Let a change of settings that is told during the start pass.

    The settings are read later in the start; the default would end the process.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
