"""Splitting of a document's fields into parts, and joining them again."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from zlib import crc32

import orjson

from piershore.core.documents.document import DocumentPart

ENTRIES_A_PART = 16
"""Mean number of entries of a list in one part: 4 KB of routes. A digest is 1 in 200 of
its part then, and a change of one entry sends some 4 KB again."""
MOST_ENTRIES = 8 * ENTRIES_A_PART


def split(fields: Mapping[str, object]) -> Iterator[DocumentPart]:
    """Yield the parts of a document; a list may be split, any other field is one part.

    Where a list is split depends on the entries there, not on their place: after an
    entry was added all parts but its own are the same.
    """
    for name, value in fields.items():
        if not isinstance(value, list):
            yield DocumentPart.of(orjson.dumps({name: value}))
            continue
        start = b"{%b:[" % orjson.dumps(name)
        for group in _groups(value):
            yield DocumentPart.of(start + b",".join(group) + b"]}")


def join(parts: Iterable[DocumentPart]) -> dict[str, object]:
    """Return the fields of a document; raise ValueError if a part is no JSON object."""
    fields: dict[str, object] = {}
    for part in parts:
        for name, value in orjson.loads(part.data).items():
            if isinstance(value, list):
                fields.setdefault(name, []).extend(value)
            else:
                fields[name] = value
    return fields


def _groups(entries: list[object]) -> Iterator[list[bytes]]:
    """Yield the encoded entries in groups; an empty list is one empty group."""
    group: list[bytes] = []
    for entry in entries:
        data = orjson.dumps(entry)
        group.append(data)
        is_last = crc32(data) % ENTRIES_A_PART == 0
        if is_last or len(group) == MOST_ENTRIES:
            yield group
            group = []
    if group or not entries:
        yield group
