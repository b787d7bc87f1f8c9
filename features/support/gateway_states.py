"""Access to the state of the gateways in a scenario."""

from __future__ import annotations


def state_of(world, number=0):
    """Return the state of one gateway."""
    return world.gateways[number][1]._state


def known_endpoint(world, standin, number=0):
    """Return an endpoint as one gateway knows it, or None."""
    return state_of(world, number).directory.get(standin.identity)
