"""Errors of settings files."""

from __future__ import annotations

from typing import TYPE_CHECKING

from piershore.errors import PiershoreError

if TYPE_CHECKING:
    from piershore.settings.finding import Finding


class InvalidSettingsError(PiershoreError):
    """A settings file is invalid; `findings` lists every fault with its location."""

    code = "invalid_settings"

    def __init__(self, findings: tuple[Finding, ...]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings
