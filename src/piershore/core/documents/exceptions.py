"""Errors of documents."""

from __future__ import annotations

from piershore.errors import PiershoreError


class InvalidPartsError(PiershoreError):
    """A peer's message about parts of a document can't be read."""

    code = "invalid_parts"
