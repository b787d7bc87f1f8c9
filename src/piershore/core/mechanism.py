"""Mechanisms of a gateway that an experiment may switch off, one by one."""

from __future__ import annotations

from enum import StrEnum


class Mechanism(StrEnum):
    """What each one does; all are on unless the process is told otherwise.

    Only for experiments: what a promise needs has no switch.
    """

    MOVES = "moves"
    """Generations leave engines that leave or lose their events."""
    FIRST_COPIES = "first_copies"
    """A generation goes on while its memory is copied, and stops only then."""
    BACKUPS = "backups"
    """Memory that a notice's time is too short for is copied as it grows."""
    SILENCE_QUESTIONS = "silence_questions"
    """Engines whose streams fall silent are asked, and judged by the answer."""
    OUTAGE_QUESTIONS = "outage_questions"
    """Engines are asked whether they leave while nobody reads the store."""
    EJECTION = "ejection"
    """Endpoints that fail several times in a row are left out for a while."""
    SHARED_FAILURES = "shared_failures"
    """Endpoints at which several gateways see failures are left out by all."""
    FAILURE_COST = "failure_cost"
    """Endpoints cost more by the share of their failures."""
    ADMISSION = "admission"
    """Long generations are refused at once when no engine has memory."""
    WAITING = "waiting"
    """Long generations wait a moment for memory before they are refused."""
    PEER_LOADS = "peer_loads"
    """Choices count the work of other gateways."""
    SUBSETS = "subsets"
    """Generations are placed at a few endpoints, and their starts told to those
    gateways that share these."""
    FEW_WATCHERS = "few_watchers"
    """In a larger fleet only some gateways watch the store."""
    HALL_PREFERENCE = "hall_preference"
    """Among equals an endpoint of the own data hall is chosen."""
    STALL_COST = "stall_cost"
    """Endpoints cost more in halls whose streams stall."""
    SECOND_RUNS = "second_runs"
    """What may run again or has not run is sent to another endpoint."""
    PATIENCE = "patience"
    """A repeatable call doesn't wait its whole time for the first endpoint."""
