"""`piershore ingress`."""

from __future__ import annotations

from collections.abc import Sequence

from piershore.commands.command import Command, command, ExitCode
from piershore.commands.exceptions import CommandError
from piershore.commands.options import METRICS_PORT, PLACEMENT, WITHOUT
from piershore.settings.exceptions import InvalidSettingsError


@command("ingress")
class IngressCommand(Command):
    """Run a gateway on a box of the platform."""

    usage = "ingress [--metrics_port PORT] [--placement POLICY] [--without NAME]"
    summary = "Run a gateway on a box of the platform, by the platform's settings."
    example = "piershore ingress --metrics_port 7215"

    def run(self, arguments: Sequence[str]) -> ExitCode:
        """Serve until SIGTERM."""
        from piershore.platform.gateway import run_gateway

        try:
            disabled = frozenset(WITHOUT.value)
            run_gateway(METRICS_PORT.value, PLACEMENT.value, disabled)
        except InvalidSettingsError as error:
            raise CommandError(ExitCode.INVALID, error.message) from error
        return ExitCode.OK
