"""Prints results as a table or as JSON."""

from __future__ import annotations

from collections.abc import Sequence

import orjson
from tabulate import tabulate

from piershore.commands.options import OUTPUT


def print_rows(rows: Sequence[dict[str, object]]) -> None:
    """Print rows that have the same columns."""
    if OUTPUT.value == "json":
        print(orjson.dumps(list(rows), option=orjson.OPT_INDENT_2).decode())
        return
    print(tabulate(rows, headers="keys"))


def print_record(record: dict[str, object]) -> None:
    """Print one record, one field per line."""
    if OUTPUT.value == "json":
        print(orjson.dumps(record, option=orjson.OPT_INDENT_2).decode())
        return
    print(tabulate([(k, _text(v)) for k, v in record.items()], tablefmt="plain"))


def _text(value: object) -> object:
    if isinstance(value, dict | list):
        return orjson.dumps(value, option=orjson.OPT_INDENT_2).decode()
    return value
