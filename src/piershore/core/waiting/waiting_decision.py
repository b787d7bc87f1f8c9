"""What happens to a generation that needs memory, and why."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class WaitingAction(StrEnum):
    """What a generation does now."""

    START = "start"
    WAIT = "wait"
    REFUSE = "refuse"


@dataclass(frozen=True)
class WaitingDecision:
    """The decision with its inputs.

    The memory in tokens that others before this generation need (`tokens_before`),
    that is reserved for callers told to return (`reserved_tokens`), and that is free
    (`free_tokens`). `seconds` is until memory is projected to be free for it; a refused
    caller is told to return then.
    """

    action: WaitingAction
    seconds: float = 0.0
    tokens_before: float = 0.0
    reserved_tokens: int = 0
    free_tokens: int = 0
    has_returned: bool = False
