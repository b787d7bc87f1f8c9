"""Entry point of `python -m piershore`."""

from __future__ import annotations

from piershore.early_signals import ignore_early_hangup

ignore_early_hangup()

from piershore.commands.main import run  # noqa: E402

if __name__ == "__main__":
    run()
