"""Request mixes of the two deployments; all lengths are in tokens."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from math import log
from random import Random

from piershore.core.admission.candidate import Candidate, LengthKey
from piershore.core.configuration.objects import AdmissionSettings

ACCOUNTS = 10
LARGE_ACCOUNT_SHARE = 0.5


@dataclass(frozen=True)
class KindMix:
    """One request kind: its share, lognormal length, prompt range, priority."""

    name: str
    share: float
    median: float
    spread: float
    shortest_prompt: int
    longest_prompt: int
    priority: int


@dataclass(frozen=True)
class Mix:
    """A deployment's mix; `deadline` bounds the wait for a first token (s)."""

    name: str
    kinds: tuple[KindMix, ...]
    max_tokens: int
    deadline: float
    admission: AdmissionSettings


ADEBAYO = Mix(
    "adebayo",
    (
        KindMix("fabrication_report", 0.4, 700, 0.9, 400, 1_400, 10),
        KindMix("stack_up_check", 0.6, 40, 0.6, 80, 300, 20),
    ),
    8_192,
    60.0,
    AdmissionSettings(risk=0.02, default_max_tokens=8_192),
)
NAVRANG = Mix(
    "navrang",
    (
        KindMix("draft", 0.5, 350, 0.7, 100, 400, 20),
        KindMix("tag", 0.5, 10, 0.4, 80, 250, 10),
    ),
    4_096,
    60.0,
    AdmissionSettings(risk=0.005, token_pace=0.035, default_max_tokens=4_096),
)
MIXES = (ADEBAYO, NAVRANG)


@dataclass(frozen=True)
class Load:
    """How requests come: rate in requests a second, and what happens midway.

    `drift` multiplies the median lengths in the second half; `burst` multiplies
    the rate in the middle tenth.
    """

    rate: float
    seconds: float
    drift: float = 1.0
    burst: float = 1.0


def arrivals(mix: Mix, load: Load, random: Random) -> Iterator[Candidate]:
    """Yield the requests in order of arrival."""
    now = 0.0
    number = 0
    while True:
        in_burst = 0.45 < now / load.seconds < 0.55
        rate = load.rate * (load.burst if in_burst else 1.0)
        now += random.expovariate(rate)
        if now >= load.seconds:
            return
        number += 1
        drift = load.drift if now > load.seconds / 2 else 1.0
        yield _candidate(mix, f"g{number}", now, drift, random)


def _candidate(
    mix: Mix, identity: str, now: float, drift: float, random: Random
) -> Candidate:
    kind = random.choices(mix.kinds, [k.share for k in mix.kinds])[0]
    length = int(random.lognormvariate(log(kind.median * drift), kind.spread)) + 1
    is_large = random.random() < LARGE_ACCOUNT_SHARE
    account = 0 if is_large else random.randrange(1, ACCOUNTS)
    return Candidate(
        identity=identity,
        length_key=LengthKey(f"account-{account}", kind.name),
        priority=kind.priority,
        prompt_tokens=random.randint(kind.shortest_prompt, kind.longest_prompt),
        max_tokens=mix.max_tokens,
        arrived_at=now,
        deadline=now + mix.deadline,
        known_length=min(length, mix.max_tokens),
    )
