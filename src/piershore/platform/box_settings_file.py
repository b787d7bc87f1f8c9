"""Reads the settings file that the platform writes for each process.

Each line is `a.b=value`; lists are separated by commas. Unknown fields are ignored.
"""

from __future__ import annotations

import os
from collections.abc import Mapping
from pathlib import Path

from piershore.core.attempts.retry_budget import RetryLimits
from piershore.core.fleet.endpoint import Address, parse_port
from piershore.core.numbers import checked_number
from piershore.platform.settings_lines import (
    CALLERS_ADDRESS,
    PATH_VARIABLE,
    read_fields,
)
from piershore.settings.box_settings import BoxSettings
from piershore.settings.exceptions import InvalidSettingsError
from piershore.settings.finding import Finding

DEFAULT_LINK_MEGABITS = 1_000.0
DEFAULT_CHANGE_MILLISECONDS = 2_000.0


def load_box_settings() -> BoxSettings:
    """Read the file whose path the platform sets in the environment.

    Raise `InvalidSettingsError` if the file is missing or invalid.
    """
    path = os.environ.get(PATH_VARIABLE)
    if path is None:
        message = f"{PATH_VARIABLE} is not set"
        raise InvalidSettingsError((_finding("environment", PATH_VARIABLE, message),))
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise InvalidSettingsError((_finding(path, "", str(error)),)) from error
    return read_box_settings(path, text)


def read_box_settings(file: str, text: str) -> BoxSettings:
    """Parse the lines of `file`; raise `InvalidSettingsError` with all errors."""
    reader = _Reader(file, dict(read_fields(text)))
    settings = BoxSettings(
        name=reader.text("node_name"),
        data_hall=reader.text("zone"),
        host=reader.text("ip"),
        callers_address=reader.address(CALLERS_ADDRESS),
        ready_address=reader.address("listen.ready"),
        peer_ports=reader.ports("internal_port_range"),
        seeds=reader.addresses("seed_nodes"),
        store_address=reader.address("platform.address"),
        stop_grace_seconds=reader.number("bounds.grace_s", 8.0),
        contact_seconds=reader.milliseconds("bounds.contact_ms", 3_000.0),
        drain_seconds=reader.optional_milliseconds("bounds.evacuate_ms"),
        change_seconds=min(
            reader.milliseconds(name, DEFAULT_CHANGE_MILLISECONDS)
            for name in ("bounds.config_apply_ms", "bounds.drain_ms")
        ),
        link_megabits=reader.number("limits.link_mbps", DEFAULT_LINK_MEGABITS),
        retry_limits=RetryLimits(
            ratio=reader.number("bounds.retry_budget_ratio", 0.2),
            slack=reader.number("bounds.retry_budget_slack", 20.0),
            window=reader.number("bounds.retry_window_s", 10.0),
        ),
    )
    if reader.findings:
        raise InvalidSettingsError(tuple(reader.findings))
    return settings


def _finding(file: str, name: str, message: str) -> Finding:
    """Return a finding without a line: the platform writes the file, not a person."""
    return Finding(file, 0, name, "invalid_value", message)


class _Reader:
    """Parses fields to their types and collects what is invalid."""

    def __init__(self, file: str, fields: Mapping[str, str]) -> None:
        self._file = file
        self._fields = fields
        self.findings: list[Finding] = []

    def text(self, name: str) -> str:
        value = self._fields.get(name, "")
        if not value:
            self._add_finding(name, "is missing")
        return value

    def number(self, name: str, default: float) -> float:
        value = self._fields.get(name, "")
        if not value:
            return default
        try:
            return checked_number(float(value))
        except ValueError:
            self._add_finding(name, f"{value!r} is not a valid number")
            return default

    def milliseconds(self, name: str, default: float) -> float:
        return self.number(name, default) / 1_000

    def optional_milliseconds(self, name: str) -> float | None:
        return self.milliseconds(name, 0.0) if self._fields.get(name) else None

    def address(self, name: str) -> Address:
        value = self.text(name)
        try:
            return Address.parse(value)
        except ValueError as error:
            if value:
                self._add_finding(name, str(error))
            return Address("", 0)

    def addresses(self, name: str) -> tuple[Address, ...]:
        parsed = []
        for word in filter(None, self._fields.get(name, "").split(",")):
            try:
                parsed.append(Address.parse(word))
            except ValueError as error:
                self._add_finding(name, str(error))
        return tuple(parsed)

    def ports(self, name: str) -> tuple[int, int]:
        try:
            first, last = map(parse_port, self.text(name).split(","))
        except ValueError:
            self._add_finding(name, "is not FIRST,LAST")
            return 0, 0
        return first, last

    def _add_finding(self, name: str, message: str) -> None:
        self.findings.append(_finding(self._file, name, message))
