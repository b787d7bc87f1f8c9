"""Errors of the verbs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from piershore.errors import PiershoreError

if TYPE_CHECKING:
    from piershore.commands.command import ExitCode


class CommandError(PiershoreError):
    """Ends the verb with `exit_code` after its message was printed."""

    code = "command_failed"

    def __init__(self, exit_code: ExitCode, message: str) -> None:
        super().__init__(message)
        self.exit_code = exit_code
