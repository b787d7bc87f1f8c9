"""`piershore beliefs`."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from piershore.commands.command import Command, command, ExitCode
from piershore.commands.exceptions import CommandError
from piershore.commands.log_files import read_raw_lines
from piershore.commands.options import SPEEDS, WINDOW
from piershore.commands.output import print_rows
from piershore.telemetry.endpoint_speed_review import review_endpoint_speeds
from piershore.telemetry.length_estimate_review import review_length_estimates
from piershore.telemetry.request_timeline import LogLine, read_lines


@command("beliefs")
class BeliefsCommand(Command):
    """Compare the output lengths that gateways expected with the actual ones.

    With `--speeds`, list how fast they thought each endpoint was.
    """

    usage = "beliefs [FILE...] [--window SECONDS] [--speeds]"
    summary = "Show what gateways expected of lengths or endpoints, from logs."
    example = "piershore beliefs --window 60 front-*.log"

    def run(self, arguments: Sequence[str]) -> ExitCode:
        """Print one row per route and time window, or per endpoint."""
        lines = read_lines(read_raw_lines(arguments))
        if SPEEDS.value:
            return self._print_speeds(lines)
        review = review_length_estimates(lines)
        if not review.generations:
            raise CommandError(ExitCode.FAILED, "the logs have no completed generation")
        print_rows(review.by_window(WINDOW.value))
        return ExitCode.OK

    @staticmethod
    def _print_speeds(lines: Iterable[LogLine]) -> ExitCode:
        rows = review_endpoint_speeds(lines)
        if not rows:
            raise CommandError(ExitCode.FAILED, "no endpoints of the logs differ")
        print_rows(rows)
        return ExitCode.OK
