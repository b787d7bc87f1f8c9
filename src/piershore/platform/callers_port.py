"""Opens the port for callers early in the start of a process."""

from __future__ import annotations

import os

from piershore.early_listener import open_early_listener
from piershore.platform.settings_lines import (
    CALLERS_ADDRESS,
    PATH_VARIABLE,
    read_fields,
)


def open_callers_port() -> None:
    """Listen on the callers' port from the platform's settings, if possible.

    Errors are ignored here: the settings are validated later in the start.
    """
    try:
        with open(os.environ.get(PATH_VARIABLE, ""), encoding="utf-8") as file:
            fields = dict(read_fields(file.read()))
        host, _, port = fields.get(CALLERS_ADDRESS, "").rpartition(":")
        open_early_listener(host, int(port))
    except (OSError, ValueError):
        return
