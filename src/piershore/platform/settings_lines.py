"""The lines of the platform's settings file: `a.b=value`.

This module imports almost nothing, so that a process that starts can read its
address before anything else.
"""

from __future__ import annotations

from collections.abc import Iterator

PATH_VARIABLE = "PIERSHORE_BOOT"
CALLERS_ADDRESS = "listen.front"


def read_fields(text: str) -> Iterator[tuple[str, str]]:
    """Yield each field's name and value; other lines are passed over."""
    for line in text.splitlines():
        name, separator, value = line.partition("=")
        if separator:
            yield name.strip(), value.strip()
