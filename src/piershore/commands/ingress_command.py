"""`piershore ingress`."""

from __future__ import annotations

from collections.abc import Sequence

from piershore.commands.command import Command, command, ExitCode
from piershore.commands.exceptions import CommandError
from piershore.commands.options import LENGTHS, METRICS_PORT, PLACEMENT, WITHOUT
from piershore.settings.exceptions import InvalidSettingsError


@command("ingress")
class IngressCommand(Command):
    """Run a gateway on a box of the platform."""

    usage = (
        "ingress [--metrics_port PORT] [--placement POLICY] [--lengths EXPECTATION]"
        " [--without NAME]"
    )
    summary = "Run a gateway on a box of the platform, with the platform's settings."
    example = "piershore ingress --metrics_port 7215"

    def run(self, arguments: Sequence[str]) -> ExitCode:
        """Run the gateway until SIGTERM."""
        from piershore.core.fleet.policies import Policies
        from piershore.platform.gateway import run_gateway

        try:
            disabled = frozenset(WITHOUT.value)
            policies = Policies(PLACEMENT.value, LENGTHS.value, disabled)
            run_gateway(METRICS_PORT.value, policies)
        except InvalidSettingsError as error:
            raise CommandError(ExitCode.INVALID, error.message) from error
        return ExitCode.OK
