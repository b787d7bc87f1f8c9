"""`piershore beliefs`."""

from __future__ import annotations

from collections.abc import Sequence

from piershore.commands.command import Command, command, ExitCode
from piershore.commands.exceptions import CommandError
from piershore.commands.log_files import read_texts
from piershore.commands.options import WINDOW
from piershore.commands.output import print_rows
from piershore.telemetry.belief_review import review_beliefs
from piershore.telemetry.request_story import read_lines


@command("beliefs")
class BeliefsCommand(Command):
    """Compare the output lengths that gateways expected with the actual ones."""

    usage = "beliefs [FILE...] [--window SECONDS]"
    summary = "Compare expected with actual lengths of generations, from logs."
    example = "piershore beliefs --window 60 front-*.log"

    def run(self, arguments: Sequence[str]) -> ExitCode:
        """Print one row per route and time window."""
        review = review_beliefs(read_lines(read_texts(arguments)))
        if not review.generations:
            raise CommandError(ExitCode.FAILED, "the logs have no completed generation")
        print_rows(review.by_moment(WINDOW.value))
        return ExitCode.OK
