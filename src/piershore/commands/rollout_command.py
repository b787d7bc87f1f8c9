"""`piershore rollout`."""

from __future__ import annotations

from collections.abc import Sequence

from piershore.commands.admin_client import call_admin
from piershore.commands.command import Command, command, ExitCode
from piershore.commands.exceptions import CommandError
from piershore.commands.output import print_record


@command("rollout")
class RolloutCommand(Command):
    """Show on how many boxes a configuration version is in force."""

    usage = "rollout VERSION"
    summary = "Show on how many boxes a configuration version is in force."
    example = "piershore rollout 42"

    def run(self, arguments: Sequence[str]) -> ExitCode:
        """Print the rollout; return `FAILED` unless it is complete."""
        if len(arguments) != 1 or not arguments[0].isdigit():
            raise CommandError(ExitCode.USAGE, f"usage: piershore {self.usage}")
        rollout = call_admin("GET", f"rollout/{arguments[0]}")
        print_record(rollout)
        is_complete = not rollout["lagging"] and not rollout["silent"]
        return ExitCode.OK if is_complete else ExitCode.FAILED
