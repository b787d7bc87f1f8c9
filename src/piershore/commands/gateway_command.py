"""`piershore gateway`."""

from __future__ import annotations

from collections.abc import Sequence

from piershore.commands.command import Command, command, ExitCode
from piershore.commands.process import load_settings


@command("gateway")
class GatewayCommand(Command):
    """Run a gateway."""

    usage = "gateway --config FILE"
    summary = "Run a gateway, which serves the APIs for callers and operators."
    example = "piershore gateway --config examples/adebayo/gateway.yaml"

    def run(self, arguments: Sequence[str]) -> ExitCode:
        """Run the gateway until SIGTERM."""
        import trio

        from piershore.boot_clock import BootClock
        from piershore.gateway.daemon import GatewayDaemon
        from piershore.telemetry.logs import configure_logging

        document = load_settings("Gateway")
        configure_logging(document.spec.log_format)
        daemon = GatewayDaemon(document.name, document.spec)
        trio.run(daemon.run, clock=BootClock())
        return ExitCode.OK
