"""Reads gateways' logs from files or standard input."""

from __future__ import annotations

import sys
from collections.abc import Iterator, Sequence

from piershore.commands.command import ExitCode
from piershore.commands.exceptions import CommandError

LINES_PER_PROGRESS_UPDATE = 200_000
"""Number of lines after which the progress on a terminal is updated."""


def read_raw_lines(files: Sequence[str]) -> Iterator[bytes]:
    """Yield the lines of all files, or of standard input if there are none.

    Raise `CommandError` for a file that can't be read.
    """
    shows_progress = sys.stderr.isatty()
    if not files:
        yield from sys.stdin.buffer
        return
    count = 0
    for file in files:
        try:
            with open(file, "rb") as stream:
                for line in stream:
                    yield line
                    count += 1
                    if shows_progress and count % LINES_PER_PROGRESS_UPDATE == 0:
                        print(f"\r{count:,} lines read", end="", file=sys.stderr)
        except OSError as error:
            raise CommandError(ExitCode.FAILED, f"{file}: {error.strerror}") from error
    if shows_progress and count >= LINES_PER_PROGRESS_UPDATE:
        print(file=sys.stderr)
