"""`piershore status`."""

from __future__ import annotations

from collections.abc import Sequence

from piershore.commands.admin_client import call_admin
from piershore.commands.command import Command, command, ExitCode
from piershore.commands.output import print_rows


@command("status")
class StatusCommand(Command):
    """Show the state of all boxes."""

    usage = "status"
    summary = "Show the state, work and configuration of every box."
    example = "piershore status --gateway http://127.0.0.1:8080"

    def run(self, arguments: Sequence[str]) -> ExitCode:
        """Print one row per box."""
        print_rows(call_admin("GET", "status")["boxes"])
        return ExitCode.OK
