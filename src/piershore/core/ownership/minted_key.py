"""Idempotency keys that contain the time at which they were minted."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from uuid import UUID

from piershore.core.hashing import stable_hash
from piershore.core.ownership.exceptions import InvalidKeyError

UUID_VERSION = 7
TIMESTAMP_SHIFT = 80
VERSION_SHIFT = 76
RANDOM_A_SHIFT = 64
RANDOM_A_BITS = 12
RANDOM_B_BITS = 62
VARIANT = 0b10


@dataclass(frozen=True)
class MintedKey:
    """A UUIDv7 (RFC 9562) and its timestamp in Unix milliseconds."""

    text: str
    mint_time: int

    @classmethod
    def parse(cls, text: str) -> MintedKey:
        """Parse a key; raise `InvalidKeyError` unless it is a UUIDv7."""
        try:
            value = UUID(text.strip().strip('"'))
        except ValueError as error:
            raise InvalidKeyError("the key is not a UUID") from error
        if value.version != UUID_VERSION:
            raise InvalidKeyError("the key is not a UUIDv7, so it has no mint time")
        return cls(text=str(value), mint_time=value.int >> TIMESTAMP_SHIFT)

    @classmethod
    def mint(cls, mint_time: int, random: Random) -> MintedKey:
        """Create a key for `mint_time` (Unix milliseconds)."""
        number = mint_time << TIMESTAMP_SHIFT
        number |= UUID_VERSION << VERSION_SHIFT
        number |= random.getrandbits(RANDOM_A_BITS) << RANDOM_A_SHIFT
        number |= VARIANT << RANDOM_B_BITS
        number |= random.getrandbits(RANDOM_B_BITS)
        return cls(text=str(UUID(int=number)), mint_time=mint_time)

    def slot(self, slot_count: int) -> int:
        """Return the index of the slot that this key hashes to."""
        return stable_hash(self.text) % slot_count
