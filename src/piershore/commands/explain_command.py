"""`piershore explain`."""

from __future__ import annotations

import os
import sys
from collections.abc import Sequence

import orjson

from piershore.commands.command import Command, command, ExitCode
from piershore.commands.exceptions import CommandError
from piershore.commands.log_files import read_texts
from piershore.commands.options import OUTPUT
from piershore.telemetry.request_story import read_lines, StoryLine, tell_story

DIM = "\x1b[2m"
RED = "\x1b[31m"
PLAIN = "\x1b[0m"
BAD_EVENTS = frozenset(
    {"attempt_ended", "request_refused", "stream_broken_off", "internal_error"}
)


@command("explain")
class ExplainCommand(Command):
    """Show the history of one request."""

    usage = "explain ID [FILE...] [--output json]"
    summary = "Show what happened to a request, from the logs of one or more gateways."
    example = "piershore explain 9c41d07be2a35f68 front-*.log"

    def run(self, arguments: Sequence[str]) -> ExitCode:
        """Print the request's log lines in order, with lines that explain them."""
        if not arguments:
            raise CommandError(ExitCode.USAGE, "ID is missing")
        request, *files = arguments
        story = list(tell_story(read_lines(read_texts(files)), request))
        if not story:
            raise CommandError(ExitCode.FAILED, f"no line names request {request}")
        if OUTPUT.value == "json":
            lines = [line.as_json() for line in story]
            print(orjson.dumps(lines, option=orjson.OPT_INDENT_2).decode())
            return ExitCode.OK
        has_colours = sys.stdout.isatty() and "NO_COLOR" not in os.environ
        for line in story:
            print(_coloured(line) if has_colours else line.as_text())
        return ExitCode.OK


def _coloured(line: StoryLine) -> str:
    if line.is_context:
        return f"{DIM}{line.as_text()}{PLAIN}"
    if line.line.event in BAD_EVENTS:
        return f"{RED}{line.as_text()}{PLAIN}"
    return line.as_text()
