"""Validation of single fields, declared together with the field."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, fields, is_dataclass
from typing import Any, get_args, get_type_hints

from piershore.core.numbers import MAX_NUMBER

CHECK = "check"

Check = Callable[[Any], None]


@dataclass(frozen=True)
class FieldFault:
    """A field whose value has the right type but isn't allowed."""

    path: tuple[str, ...]
    message: str


def checked(check: Check, **options: Any) -> Any:
    """Return a data class field; `check` raises `ValueError` for invalid values."""
    return field(metadata={CHECK: check}, **options)


def check_fields(instance: object) -> None:
    """Raise the first fault of a data class instance; for use in `__post_init__`."""
    for data_field in fields(instance):
        check = data_field.metadata.get(CHECK)
        value = getattr(instance, data_field.name)
        if check is not None and value is not None:
            check(value)


def field_faults(
    target: type, data: object, path: tuple[str, ...] = ()
) -> Iterator[FieldFault]:
    """Yield the invalid values of plain data, even if other fields are invalid too."""
    if not isinstance(data, dict):
        return
    hints = get_type_hints(target)
    for data_field in fields(target):
        value = data.get(data_field.name)
        if value is None:
            continue
        field_path = (*path, data_field.name)
        check = data_field.metadata.get(CHECK)
        if check is not None:
            yield from _run_check(check, value, field_path)
        for inner in (hints[data_field.name], *get_args(hints[data_field.name])):
            if is_dataclass(inner):
                yield from field_faults(inner, value, field_path)


def _run_check(
    check: Check, value: object, field_path: tuple[str, ...]
) -> Iterator[FieldFault]:
    try:
        check(value)
    except ValueError as error:
        yield FieldFault(field_path, str(error))
    except (TypeError, AttributeError):
        # A wrong type is reported as a finding of its own.
        return


def positive(value: float) -> None:
    """Reject a number that isn't above 0, or too large for any quantity."""
    if not 0 < value <= MAX_NUMBER:
        raise ValueError(f"must be above 0 and at most {MAX_NUMBER:g}")


def not_negative(value: float) -> None:
    """Reject a number below 0, or too large for any quantity."""
    if not 0 <= value <= MAX_NUMBER:
        raise ValueError(f"must lie between 0 and {MAX_NUMBER:g}")


def share(value: float) -> None:
    """Reject a number outside the range 0 to 1."""
    if not 0 <= value <= 1:
        raise ValueError("must lie between 0 and 1")


def address(value: str) -> None:
    """Reject text that isn't host:port."""
    host, separator, port = value.rpartition(":")
    if not separator or not host or not port.isdigit() or int(port) > 65_535:
        raise ValueError(f"{value!r} is not host:port")
