"""Entries of the platform's list of endpoints."""

VALID_ENTRY = {
    "service": "desk",
    "address": "127.0.0.1:9",
    "zone": "ikeja",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 1,
    "born": 1_700_000_000_000,
}
