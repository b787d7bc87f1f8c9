"""Errors of documents."""

from __future__ import annotations

from piershore.errors import PiershoreError


class InvalidChunksError(PiershoreError):
    """A peer's message about chunks of a document can't be decoded."""

    code = "invalid_parts"
