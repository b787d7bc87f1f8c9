"""Mechanisms of a gateway that experiments can disable individually."""

from __future__ import annotations

from enum import StrEnum


class Mechanism(StrEnum):
    """A mechanism and what it does; all are enabled by default.

    Only for experiments: mechanisms that a guarantee depends on can't be disabled.
    """

    MOVES = "moves"
    """Generations are moved away from engines that leave or whose events are lost."""
    FIRST_COPIES = "first_copies"
    """A generation continues while its memory is copied, and stops only after that."""
    BACKUPS = "backups"
    """Memory that can't be copied within a leave notice is copied while it grows."""
    SILENCE_QUESTIONS = "silence_questions"
    """Engines whose streams become silent are probed, and evaluated by the answer."""
    OUTAGE_QUESTIONS = "outage_questions"
    """Engines are probed for whether they leave while no gateway can read the store."""
    EJECTION = "ejection"
    """Endpoints with several consecutive failures are ejected for a while."""
    SHARED_FAILURES = "shared_failures"
    """Endpoints at which several gateways observe failures are avoided by all."""
    FAILURE_COST = "failure_cost"
    """The cost of endpoints increases with their share of failures."""
    ADMISSION = "admission"
    """Long generations are refused immediately when no engine has free memory."""
    WAITING = "waiting"
    """Long generations wait briefly for free memory before they are refused."""
    PEER_LOADS = "peer_loads"
    """The choice of endpoints includes the load from other gateways."""
    SUBSETS = "subsets"
    """Generations are placed at a few endpoints, and their starts sent to the gateways
    that share these endpoints."""
    FEW_WATCHERS = "few_watchers"
    """In a larger fleet only some gateways watch the store."""
    HALL_PREFERENCE = "hall_preference"
    """Among equal endpoints, one in the gateway's own data hall is chosen."""
    STALL_COST = "stall_cost"
    """Endpoints cost more in data halls whose streams stall."""
    SECOND_RUNS = "second_runs"
    """Requests that may run again or haven't run are sent to another endpoint."""
    PATIENCE = "patience"
    """A repeatable call doesn't spend its whole timeout on the first endpoint."""
    ENDPOINT_SPEEDS = "endpoint_speeds"
    """Placement includes how fast each endpoint is, where endpoints differ."""
    RATE_LOANS = "rate_loans"
    """Gateways lend each other parts of endpoints' rates that they don't use."""
