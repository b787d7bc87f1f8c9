"""Loads the settings of the verbs that run a process."""

from __future__ import annotations

from piershore.commands.command import ExitCode
from piershore.commands.exceptions import CommandError
from piershore.commands.options import CONFIG
from piershore.settings.document import Document
from piershore.settings.exceptions import InvalidSettingsError
from piershore.settings.load import load_process


def load_settings(kind: str) -> Document:
    """Read the file that `--config` names; raise `CommandError` if it is invalid."""
    if CONFIG.value is None:
        raise CommandError(ExitCode.USAGE, "--config FILE is missing")
    try:
        return load_process(CONFIG.value, kind)
    except InvalidSettingsError as error:
        raise CommandError(ExitCode.INVALID, error.message) from error
