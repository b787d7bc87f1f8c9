"""Interface and registry of the verbs."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from enum import IntEnum
from importlib import import_module


class ExitCode(IntEnum):
    """Exit codes of all verbs."""

    OK = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    REFUSED = 4
    CONFLICT = 5
    UNREACHABLE = 6


class Command(ABC):
    """A verb; `--help` shows its `usage`, `summary` and `example`."""

    usage = ""
    summary = ""
    example = ""

    @abstractmethod
    def run(self, arguments: Sequence[str]) -> ExitCode:
        """Run the verb with the arguments that follow it, and return the exit code.

        Raise `CommandError` to end with a message on standard error.
        """


COMMANDS: dict[str, type[Command]] = {}

MODULES = {
    "gateway": "gateway_command",
    "agent": "agent_command",
    "ingress": "ingress_command",
    "explain": "explain_command",
    "losses": "losses_command",
    "beliefs": "beliefs_command",
    "validate": "validate_command",
    "template": "object_commands",
    "account": "object_commands",
    "service": "object_commands",
    "status": "status_command",
    "drain": "drain_command",
    "rollout": "rollout_command",
    "hash-key": "hash_key_command",
}
"""Module of each verb. Only the module of the requested verb is imported."""


def command(name: str) -> Callable[[type[Command]], type[Command]]:
    """Register the decorated class as a verb."""

    def register(verb: type[Command]) -> type[Command]:
        COMMANDS[name] = verb
        return verb

    return register


def load_command(name: str) -> Command | None:
    """Import and return the verb, or None if there is no verb of that name."""
    module = MODULES.get(name)
    if module is None:
        return None
    import_module(f"piershore.commands.{module}")
    return COMMANDS[name]()
