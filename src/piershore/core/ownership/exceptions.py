"""Errors of key parsing and slot table changes."""

from __future__ import annotations

from piershore.errors import PiershoreError


class InvalidKeyError(PiershoreError):
    """The idempotency key has no mint time."""

    code = "invalid_idempotency_key"


class SlotChangeError(PiershoreError):
    """The change isn't allowed in the current state of the slot table."""

    code = "slot_change_refused"
