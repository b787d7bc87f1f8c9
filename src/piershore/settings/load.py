"""Reads the settings file of a process."""

from __future__ import annotations

from pathlib import Path

from piershore.settings.document import Document, read_documents
from piershore.settings.exceptions import InvalidSettingsError
from piershore.settings.finding import Finding


def load_documents(file: str) -> tuple[Document, ...]:
    """Read the file's documents; raise `InvalidSettingsError` on any fault."""
    try:
        text = Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        finding = Finding(file, 1, "$", "unreadable", str(error))
        raise InvalidSettingsError((finding,)) from error
    return read_documents(file, text)


def load_process(file: str, kind: str) -> Document:
    """Read a file that must hold exactly one document, of kind `kind`.

    Raise `InvalidSettingsError` otherwise.
    """
    documents = load_documents(file)
    if len(documents) != 1 or documents[0].kind != kind:
        message = f"the file must hold one document of kind {kind}"
        raise InvalidSettingsError((Finding(file, 1, "kind", "wrong_kind", message),))
    return documents[0]
