"""`piershore losses`."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import asdict

import orjson

from piershore.commands.command import Command, command, ExitCode
from piershore.commands.exceptions import CommandError
from piershore.commands.log_files import read_raw_lines
from piershore.commands.options import LONGEST_PAUSE, OUTPUT, WINDOW
from piershore.commands.output import print_rows
from piershore.telemetry.loss_review import LossReview, review_losses
from piershore.telemetry.request_timeline import read_lines


@command("losses")
class LossesCommand(Command):
    """List lost and late requests by cause and time."""

    usage = "losses [FILE...] [--window SECONDS] [--longest_pause SECONDS]"
    summary = "Show which requests were lost or late, when and why, from logs."
    example = "piershore losses front-*.log"

    def run(self, arguments: Sequence[str]) -> ExitCode:
        """Print losses by cause and by time, and the pace of long streams."""
        review = review_losses(
            read_lines(read_raw_lines(arguments)), LONGEST_PAUSE.value
        )
        if not review.requests:
            raise CommandError(ExitCode.FAILED, "no line names a request")
        if OUTPUT.value == "json":
            print(orjson.dumps(asdict(review), option=orjson.OPT_INDENT_2).decode())
            return ExitCode.OK
        self._print(review)
        return ExitCode.OK

    @staticmethod
    def _print(review: LossReview) -> None:
        late = sum(loss.is_late for loss in review.losses)
        unserved = len(review.losses) - late
        print(f"{review.requests} requests read: {unserved} unserved, {late} late")
        if review.omitted:
            print(f"{review.omitted} lines were left out of the logs")
        for title, rows in (
            ("By route and cause", review.by_cause()),
            ("By moment", review.by_window(WINDOW.value)),
            ("Pace of long streams", review.by_engine()),
        ):
            if rows:
                print(f"\n{title}\n")
                print_rows(rows)
