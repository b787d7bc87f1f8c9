"""Conversion between objects and JSON, which reports all findings at once."""

from __future__ import annotations

from enum import Enum
from functools import lru_cache
from typing import TypeVar

import orjson
from cattrs import Converter, transform_error
from cattrs.errors import ClassValidationError, IterableValidationError

from piershore.core.configuration.exceptions import InvalidObjectError
from piershore.core.configuration.objects import (
    AccountTemplate,
    ClientAccount,
    EndpointStatus,
    ObjectKind,
    ObjectSpec,
    Service,
)
from piershore.core.ownership.slot_table import SlotTable

Structured = TypeVar("Structured")

SCALARS = (str, int, float, bool)

SPEC_TYPES = {
    ObjectKind.TEMPLATE: AccountTemplate,
    ObjectKind.ACCOUNT: ClientAccount,
    ObjectKind.SERVICE: Service,
    ObjectKind.ENDPOINT: EndpointStatus,
    ObjectKind.SLOTS: SlotTable,
}


@lru_cache(maxsize=1)
def converter() -> Converter:
    """Return the converter, which rejects unknown keys and wrong types."""
    strict = Converter(forbid_extra_keys=True, detailed_validation=True)
    for scalar in SCALARS:
        strict.register_structure_hook(scalar, _strict_scalar)
    return strict


def decode_spec(kind: ObjectKind, value: bytes) -> ObjectSpec:
    """Decode the contents of an object of `kind`."""
    return decode(SPEC_TYPES[kind], value)


def decode(target: type[Structured], value: bytes) -> Structured:
    """Decode JSON as `target`; raise `InvalidObjectError` with all findings."""
    try:
        data = orjson.loads(value)
    except orjson.JSONDecodeError as error:
        raise InvalidObjectError(f"not JSON: {error}") from error
    return structure(target, data)


def structure(target: type[Structured], data: object) -> Structured:
    """Convert plain data to `target`; raise `InvalidObjectError` with all findings."""
    try:
        return converter().structure(data, target)
    except (ClassValidationError, IterableValidationError) as error:
        findings = tuple(transform_error(error))
        raise InvalidObjectError("; ".join(findings), findings) from error
    except (TypeError, ValueError, KeyError, AttributeError) as error:
        raise InvalidObjectError(str(error), (f"{error} @ $",)) from error


def encode(value: object) -> bytes:
    """Return the JSON of a data class."""
    return orjson.dumps(converter().unstructure(value), option=orjson.OPT_SORT_KEYS)


def _strict_scalar(value: object, target: type) -> object:
    if issubclass(target, Enum):
        return target(value)
    if target is float and type(value) is int:
        return float(value)
    if type(value) is not target:
        raise TypeError(f"expected {target.__name__}, got {type(value).__name__}")
    return value
