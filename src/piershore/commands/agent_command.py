"""`piershore agent`."""

from __future__ import annotations

from collections.abc import Sequence

from piershore.commands.command import Command, command, ExitCode
from piershore.commands.process import load_settings


@command("agent")
class AgentCommand(Command):
    """Run an agent."""

    usage = "agent --config FILE"
    summary = "Run the agent of one endpoint."
    example = "piershore agent --config examples/adebayo/agent.yaml"

    def run(self, arguments: Sequence[str]) -> ExitCode:
        """Run the agent until SIGTERM."""
        import trio

        from piershore.agent.daemon import AgentDaemon
        from piershore.boot_clock import BootClock
        from piershore.telemetry.logs import configure_logging

        document = load_settings("Agent")
        configure_logging(document.spec.log_format)
        daemon = AgentDaemon(document.name, document.spec)
        trio.run(daemon.run, clock=BootClock())
        return ExitCode.OK
