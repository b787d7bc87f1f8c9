"""Signals during the start of a process, before its event loop handles them."""

from __future__ import annotations

import signal


def ignore_early_hangup() -> None:
    """Ignore SIGHUP, which announces changed settings, during the start.

    The settings are read later in the start; the default action would end the process.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
