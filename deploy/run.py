"""Starts a process of piershore on a box of the platform."""

from __future__ import annotations

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "target" / "deps")]

from piershore.early_signals import ignore_early_hangup  # noqa: E402

ignore_early_hangup()

from piershore.commands.main import run  # noqa: E402

if __name__ == "__main__":
    run()
