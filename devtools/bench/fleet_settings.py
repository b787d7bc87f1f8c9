"""Sizes and work of the simulated fleet; times in virtual seconds."""

from __future__ import annotations

from dataclasses import dataclass, replace

from piershore.core.fleet.length_estimate import DEFAULT_EXPECTATION
from piershore.core.routes.service_spec import EngineSpec
from standins.engine_model import EngineSettings

SERVICE = "model"
HALLS = ("north", "south", "west")
ENGINE = EngineSpec(
    slots=24,
    memory_tokens=34_000,
    token_bytes=327_680,
    link_bytes_per_second=5.9e9,
    can_move=True,
    can_back_up=True,
)
STEPS = EngineSettings(
    capacity_tokens=ENGINE.memory_tokens,
    most_batched=ENGINE.slots,
    step_base=0.007,
    step_per_sequence=0.00012,
    step_per_context_token=0.000000004,
    prefill_per_token=0.0000714,
    prefill_chunk=112,
)
"""As the users' sheets tell of their engines: 7 ms a step, 14 prompt tokens a ms,
prompts read piece by piece between the tokens of others."""
NETWORK_SECONDS = 0.001
FIRST_AIM_SECONDS = 1.8
BACKUP_DELAY_SECONDS = 0.8
"""A backup is complete so long after the first token."""
REPLACED_AFTER_SECONDS = 4.0
"""Another engine comes so long after one was told to leave or has crashed."""


@dataclass(frozen=True)
class WorkMix:
    """What callers ask for: sizes in tokens, spreads of logarithms.

    `long_share` of the generations are long reviews, the others short checks.
    """

    long_share: float = 0.42
    long_median: int = 700
    long_most: int = 2_216
    length_spread: float = 0.84
    memory_tokens: int = 34_000

    @property
    def engine(self) -> EngineSpec:
        """The engines that the work runs at."""
        return replace(ENGINE, memory_tokens=self.memory_tokens)

    @property
    def steps(self) -> EngineSettings:
        """Their step times."""
        return replace(STEPS, capacity_tokens=self.memory_tokens)


USUAL_WORK = WorkMix()
"""The mix of the users' first sheets."""
LONG_MOST = USUAL_WORK.long_most
SHORT_MEDIAN, SHORT_MOST = 9, 40
GUESS_SPREAD = 1.2
PROMPT_MEDIAN = 2_600
"""What the users' sheets have in common."""
SHIFTED_WORK = WorkMix(
    long_share=0.34,
    long_median=464,
    long_most=1_780,
    length_spread=0.99,
    memory_tokens=21_982,
)
"""The same customer's some months on, with lengths as they were logged."""


COMPETING_WORK = WorkMix(
    long_share=0.34,
    long_median=700,
    long_most=1_504,
    length_spread=0.4,
    memory_tokens=26_948,
)
"""Another customer's, whose short checks are more urgent than the long reviews."""


@dataclass(frozen=True)
class LongBurst:
    """Every `interval` seconds long reviews come at `factor` times the usual rate."""

    interval: float = 20.0
    seconds: float = 6.0
    factor: float = 1.0

    def factor_at(self, now: float) -> float:
        """Return how many times the usual long reviews arrive now."""
        return self.factor if now % self.interval >= self.interval - self.seconds else 1


@dataclass(frozen=True)
class FleetSettings:
    """One run: sizes, how aged the views are, and what goes wrong; times in seconds.

    `callers_a_gateway` callers stay at gateways picked at random, so that some have
    several and some none; with 0 each generation comes to any gateway. Without
    `subsets` all choose from all engines, and starts are told to all. Every
    `reclaim_every`, `reclaim_count` engines are told to leave and are gone after
    `notice`; a notice of 0 is a crash. A generation for which no engine has memory is
    refused at once if `refuses`, or after it has waited a moment if it also `waits`.
    If `urgent_short`, short checks are more urgent; long reviews then leave `headroom`.
    """

    policy: str
    seconds: float
    gateways: int = 6
    engines: int = 7
    rate: float = 6.0
    report_interval: float = 0.1
    tells_starts: bool = True
    subsets: bool = True
    moves: bool = True
    refuses: bool = False
    waits: bool = False
    work: WorkMix = USUAL_WORK
    lengths: str = DEFAULT_EXPECTATION
    reclaim_every: float = 0.0
    reclaim_count: int = 1
    notice: float = 1.8
    callers_a_gateway: float = 0.0
    long_aim: float = FIRST_AIM_SECONDS
    long_burst: LongBurst = LongBurst()
    urgent_short: bool = False
    headroom: bool = False

    def lasting(self, seconds: float) -> FleetSettings:
        """Return the same run for another time."""
        return replace(self, seconds=seconds)
