"""Starts a process of piershore on a box of the platform."""

from __future__ import annotations

import gc
import sys
from pathlib import Path

# Imports leave next to no garbage, and looking for it is a tenth of their time; the
# daemon enables the collector once it serves.
gc.disable()

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "target" / "deps")]

from piershore.early_signals import ignore_early_hangup  # noqa: E402
from piershore.platform.callers_port import open_callers_port  # noqa: E402

ignore_early_hangup()
open_callers_port()

from piershore.commands.main import run  # noqa: E402

if __name__ == "__main__":
    run()
