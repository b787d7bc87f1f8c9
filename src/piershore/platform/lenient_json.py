"""Decodes JSON that holds values which other programs wrote badly.

Any process may write objects, and the store lists them all in one answer: one object
that a decoder refuses must not make the others unreadable.
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterator
from math import isfinite
from typing import Any

import orjson

MAX_DEPTH = 64
"""Arrays and objects that are nested more deeply become null. Valid objects need less
than ten levels; decoders and encoders give up at some hundreds."""
MAX_INTEGER_CHARACTERS = 19
"""Characters of an integer that fits 64 bits, with or without a sign."""
_TOKENS = re.compile(r'"(?:[^"\\]++|\\.)*+"|[\[\]{}]', re.DOTALL)
"""Texts, which may contain brackets, and the brackets outside of texts."""


def decode_json(data: bytes) -> Any:
    """Decode JSON; raise ValueError if it isn't JSON as a whole.

    Bytes that are not valid UTF-8 are replaced, and texts may contain control
    characters. Numbers that JSON can't represent, or that are too large, become texts,
    which no decoder of objects accepts as numbers.
    """
    try:
        return orjson.loads(data)
    except orjson.JSONDecodeError:
        text = "".join(_without_deep_values(data.decode("utf-8", "replace")))
        return json.loads(
            text,
            strict=False,
            parse_int=_decode_integer,
            parse_float=_decode_float,
            parse_constant=str,
        )


def _without_deep_values(text: str) -> Iterator[str]:
    """Yield the parts of a text, with null in place of values nested too deeply."""
    depth, kept_from = 0, 0
    for match in _TOKENS.finditer(text):
        token = match[0]
        if token in "[{":
            depth += 1
            if depth == MAX_DEPTH + 1:
                yield text[kept_from : match.start()]
        elif token in "]}":
            if depth == MAX_DEPTH + 1:
                yield "null"
                kept_from = match.end()
            depth -= 1
    if depth <= MAX_DEPTH:
        yield text[kept_from:]


def _decode_integer(text: str) -> int | str:
    return int(text) if len(text) <= MAX_INTEGER_CHARACTERS else text


def _decode_float(text: str) -> float | str:
    value = float(text)
    return value if isfinite(value) else text
