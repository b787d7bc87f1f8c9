"""Splitting of a document's fields into chunks, and joining the chunks again."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from zlib import crc32

import orjson

from piershore.core.documents.document import DocumentChunk

MEAN_ENTRIES_PER_CHUNK = 16
"""Mean number of list entries in one chunk: 4 KB of routes. A digest then has 1 in 200
of its chunk's bytes, and a change of one entry sends some 4 KB again."""
MAX_ENTRIES_PER_CHUNK = 8 * MEAN_ENTRIES_PER_CHUNK


def split(fields: Mapping[str, object]) -> Iterator[DocumentChunk]:
    """Yield the chunks of a document; only lists are split into several chunks.

    A list is split by the contents of its entries and not by their positions, so an
    added entry changes no chunk but its own.
    """
    for name, value in fields.items():
        if not isinstance(value, list):
            yield DocumentChunk.of(orjson.dumps({name: value}))
            continue
        prefix = b"{%b:[" % orjson.dumps(name)
        for group in _groups(value):
            yield DocumentChunk.of(prefix + b",".join(group) + b"]}")


def join(chunks: Iterable[DocumentChunk]) -> dict[str, object]:
    """Return the fields of a document; raise ValueError if a chunk is not JSON."""
    fields: dict[str, object] = {}
    for chunk in chunks:
        for name, value in orjson.loads(chunk.data).items():
            if isinstance(value, list):
                fields.setdefault(name, []).extend(value)
            else:
                fields[name] = value
    return fields


def _groups(entries: list[object]) -> Iterator[list[bytes]]:
    """Yield groups of encoded entries; an empty list yields one empty group."""
    group: list[bytes] = []
    for entry in entries:
        data = orjson.dumps(entry)
        group.append(data)
        is_last = crc32(data) % MEAN_ENTRIES_PER_CHUNK == 0
        if is_last or len(group) == MAX_ENTRIES_PER_CHUNK:
            yield group
            group = []
    if group or not entries:
        yield group
