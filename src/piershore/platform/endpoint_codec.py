"""Decodes entries of the platform's list of endpoints.

Any process may write to the list, so an entry is rejected if any of its fields differs
from what an endpoint writes.
"""

from __future__ import annotations

from collections.abc import Mapping
from ipaddress import IPv4Address

from piershore.core.fleet.endpoint import Address, Endpoint, EndpointStage
from piershore.core.numbers import checked_number
from piershore.platform.exceptions import InvalidObjectError

STAGES = {"ready": EndpointStage.READY, "draining": EndpointStage.LEAVING}
MAX_SLOTS = 100_000
"""Far more than the batch size of any engine."""
MAX_SEQUENCE = 2**63
MAX_BORN_MILLISECONDS = 10**14
"""Milliseconds since 1970: the year 5138."""
MAX_COLD_MILLISECONDS = 3_600_000
"""An hour; endpoints warm up within seconds."""


def decode_endpoint(name: str, spec: Mapping) -> Endpoint:
    """Decode one entry; raise `InvalidObjectError` if a field is invalid."""
    if not isinstance(spec, Mapping):
        raise _invalid(name, "is not an object")
    reader = _EntryReader(name, spec)
    reader.word("version")
    reader.integer("sequence", 0, MAX_SEQUENCE)
    return Endpoint(
        name=reader.entry_name(),
        service=reader.word("service"),
        address=reader.address("address"),
        data_hall=reader.word("zone"),
        slots=reader.integer("slots", 1, MAX_SLOTS),
        stage=reader.stage("state"),
        born=reader.integer("born", 0, MAX_BORN_MILLISECONDS, default=0),
        cold_seconds=reader.milliseconds("cold_remaining_ms"),
    )


class _EntryReader:
    """Validates and converts the fields of one entry."""

    def __init__(self, name: str, spec: Mapping) -> None:
        self._name = name
        self._spec = spec

    def entry_name(self) -> str:
        """Return the entry's name; it must be valid in the header of a request."""
        if not is_word(self._name):
            raise _invalid(self._name, "the name is not valid in a header")
        return self._name

    def word(self, field: str) -> str:
        value = self._spec.get(field)
        if not isinstance(value, str) or not is_word(value):
            raise self._found(field, "is not a word of visible ASCII characters")
        return value

    def address(self, field: str) -> Address:
        try:
            address = Address.parse(self.word(field))
            IPv4Address(address.host)
        except ValueError as error:
            raise self._found(field, str(error)) from error
        if not address.port:
            raise self._found(field, "has no valid port")
        return address

    def integer(
        self, field: str, minimum: int, maximum: int, default: int | None = None
    ) -> int:
        value = self._spec.get(field, default)
        if type(value) is not int or not minimum <= value <= maximum:
            raise self._found(field, f"is not an integer from {minimum} to {maximum}")
        return value

    def milliseconds(self, field: str) -> float:
        """Convert a duration in milliseconds to seconds."""
        try:
            value = checked_number(self._spec.get(field), MAX_COLD_MILLISECONDS)
        except ValueError as error:
            raise self._found(field, "is not a plausible duration") from error
        return value / 1_000

    def stage(self, field: str) -> EndpointStage:
        stage = STAGES.get(self.word(field))
        if stage is None:
            raise self._found(field, "is unknown")
        return stage

    def _found(self, field: str, fault: str) -> InvalidObjectError:
        return _invalid(self._name, f"{field} {fault}")


def _invalid(name: str, fault: str) -> InvalidObjectError:
    return InvalidObjectError(f"endpoint {name!r} is invalid: {fault}")


def is_word(text: str) -> bool:
    """Return whether a text is not empty and has only visible ASCII characters."""
    return bool(text) and text.isascii() and text.isprintable() and " " not in text
