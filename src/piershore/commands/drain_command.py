"""`piershore drain`."""

from __future__ import annotations

from collections.abc import Sequence

from piershore.commands.admin_client import call_admin
from piershore.commands.command import Command, command, ExitCode
from piershore.commands.exceptions import CommandError
from piershore.commands.options import UNDO
from piershore.commands.output import print_record


@command("drain")
class DrainCommand(Command):
    """Drain an endpoint."""

    usage = "drain ENDPOINT [--undo]"
    summary = "Let an endpoint finish its work and accept no new requests."
    example = "piershore drain review-ikeja-1"

    def run(self, arguments: Sequence[str]) -> ExitCode:
        """Start the endpoint's drain, or end it with `--undo`."""
        if len(arguments) != 1:
            raise CommandError(ExitCode.USAGE, f"usage: piershore {self.usage}")
        body = {"drain": not UNDO.value}
        path = f"endpoints/{arguments[0]}/drain"
        print_record(call_admin("POST", path, body=body))
        return ExitCode.OK
