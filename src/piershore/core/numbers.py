"""Checks of numbers that other processes, callers or operators wrote.

A number that has passed can be added, converted to a float and encoded as JSON.
"""

from __future__ import annotations

MAX_NUMBER = 1e12
"""Upper bound of amounts: above any sum over generations, any rate and any time."""
MAX_INTEGER = 2**63 - 1
"""The largest integer that any JSON codec reads exactly."""


def checked_number(value: object, maximum: float = MAX_NUMBER) -> float:
    """Return a number from 0 to `maximum`; raise ValueError for any other value."""
    if type(value) not in (int, float) or not 0 <= value <= maximum:
        raise ValueError(f"a number isn't from 0 to {maximum:g}")
    return float(value)


def checked_integer(value: object, maximum: int = MAX_INTEGER) -> int:
    """Return an integer from 0 to `maximum`; raise ValueError for any other value.

    A float is accepted if it is integral: JSON doesn't tell 2 from 2.0.
    """
    if type(value) is float and value.is_integer():
        value = int(value)
    if type(value) is not int or not 0 <= value <= maximum:
        raise ValueError(f"a number isn't an integer from 0 to {maximum}")
    return value
