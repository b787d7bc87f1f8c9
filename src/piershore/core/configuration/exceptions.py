"""Errors of configuration objects."""

from __future__ import annotations

from piershore.errors import PiershoreError


class InvalidObjectError(PiershoreError):
    """The object can't be decoded as its kind; `findings` lists every fault."""

    code = "invalid_object"

    def __init__(self, message: str, findings: tuple = ()) -> None:
        super().__init__(message)
        self.findings = findings
