"""Parses the lines of the platform's settings file: `a.b=value`.

This module has few imports, so that a starting process can read its address and listen
on it before it imports the rest.
"""

from __future__ import annotations

from collections.abc import Iterator

PATH_VARIABLE = "PIERSHORE_BOOT"
CALLERS_ADDRESS = "listen.front"


def read_fields(text: str) -> Iterator[tuple[str, str]]:
    """Yield the name and value of each field, ignoring lines without `=`."""
    for line in text.splitlines():
        name, separator, value = line.partition("=")
        if separator:
            yield name.strip(), value.strip()
