"""`piershore beliefs`."""

from __future__ import annotations

from collections.abc import Sequence

from piershore.commands.command import Command, command, ExitCode
from piershore.commands.exceptions import CommandError
from piershore.commands.log_files import read_raw_lines
from piershore.commands.options import WINDOW
from piershore.commands.output import print_rows
from piershore.telemetry.length_estimate_review import review_length_estimates
from piershore.telemetry.request_timeline import read_lines


@command("beliefs")
class BeliefsCommand(Command):
    """Compare the output lengths that gateways expected with the actual ones."""

    usage = "beliefs [FILE...] [--window SECONDS]"
    summary = "Compare expected with actual lengths of generations, from logs."
    example = "piershore beliefs --window 60 front-*.log"

    def run(self, arguments: Sequence[str]) -> ExitCode:
        """Print one row per route and time window."""
        review = review_length_estimates(read_lines(read_raw_lines(arguments)))
        if not review.generations:
            raise CommandError(ExitCode.FAILED, "the logs have no completed generation")
        print_rows(review.by_window(WINDOW.value))
        return ExitCode.OK
