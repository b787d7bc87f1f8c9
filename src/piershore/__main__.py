"""Entry for `python -m piershore`."""

from __future__ import annotations

from piershore.commands.main import run

if __name__ == "__main__":
    run()
