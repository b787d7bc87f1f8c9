"""`piershore explain`."""

from __future__ import annotations

import os
import sys
from collections.abc import Sequence

import orjson

from piershore.commands.command import Command, command, ExitCode
from piershore.commands.exceptions import CommandError
from piershore.commands.log_files import read_raw_lines
from piershore.commands.options import OUTPUT
from piershore.telemetry.request_timeline import (
    build_timeline,
    read_lines,
    TimelineEntry,
)

DIM = "\x1b[2m"
RED = "\x1b[31m"
RESET = "\x1b[0m"
FAILURE_EVENTS = frozenset(
    {"attempt_ended", "request_refused", "stream_broken_off", "internal_error"}
)


@command("explain")
class ExplainCommand(Command):
    """Show the timeline of one request."""

    usage = "explain ID [FILE...] [--output json]"
    summary = "Show what happened to a request, from the logs of one or more gateways."
    example = "piershore explain 9c41d07be2a35f68 front-*.log"

    def run(self, arguments: Sequence[str]) -> ExitCode:
        """Print the request's log lines in order, with lines that explain them."""
        if not arguments:
            raise CommandError(ExitCode.USAGE, "ID is missing")
        request, *files = arguments
        timeline = list(build_timeline(read_lines(read_raw_lines(files)), request))
        if not timeline:
            raise CommandError(ExitCode.FAILED, f"no line names request {request}")
        if OUTPUT.value == "json":
            lines = [line.as_json() for line in timeline]
            print(orjson.dumps(lines, option=orjson.OPT_INDENT_2).decode())
            return ExitCode.OK
        has_colours = sys.stdout.isatty() and "NO_COLOR" not in os.environ
        for line in timeline:
            print(_coloured(line) if has_colours else line.as_text())
        return ExitCode.OK


def _coloured(line: TimelineEntry) -> str:
    if line.is_context:
        return f"{DIM}{line.as_text()}{RESET}"
    if line.line.event in FAILURE_EVENTS:
        return f"{RED}{line.as_text()}{RESET}"
    return line.as_text()
