"""`python -m devtools.bench.part_crash_experiment`: what to hold after crashes.

Some requests crash each engine that begins to answer them, and have a part of their
prompts or their account in common. In virtual time; prints, for each kind of traffic
and way to hold requests, sums over the seeds: engines that they crashed, sound requests
that were held, and the share of sound ones held in percent.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from random import Random

from devtools.bench.virtual_time import VirtualTime
from piershore.core.configuration.relays import rendezvous_order
from piershore.core.quarantine.crash_report import CrashReport
from piershore.core.quarantine.request_traits import request_traits
from piershore.core.quarantine.suspect_groups import SuspectGroup
from piershore.core.quarantine.trait_quarantine import TraitQuarantine

SEEDS = range(6)
SOUND_SECONDS = 4.0
"""Only sound requests come at first."""
WAIT_SECONDS = (0.15, 0.45)
"""From the arrival of a request at its engine to the first token of its answer."""
ANSWER_SECONDS = 0.2
CRASH_SECONDS = 0.1
"""From the first token to the crash."""
DETECTED_SECONDS = 0.003
REPLACED_SECONDS = 4.0
MAX_MESSAGE_SECONDS = 0.01


@dataclass(frozen=True)
class Prompt:
    """What a request consists of, and whether it crashes its engine."""

    crashes: bool
    parts: tuple[str, ...]
    account: str = "x"


Traffic = Callable[[Random, bool], Prompt]
"""Draws a prompt; some may crash engines if the flag says so."""


def _in_place(position: int, share: float) -> Traffic:
    def draw(random: Random, has_bad: bool) -> Prompt:
        is_bad = has_bad and random.random() < share
        parts = ["a", "c"]
        if is_bad:
            parts.insert(position, "b")
        return Prompt(is_bad, tuple(parts))

    return draw


def _after_another(random: Random, has_bad: bool) -> Prompt:
    is_bad = has_bad and random.random() < 0.12
    return Prompt(is_bad, ("a", "d", "b") if is_bad else ("a", "c"))


def _after_several(random: Random, has_bad: bool) -> Prompt:
    is_bad = has_bad and random.random() < 0.12
    first = random.choice("acde")
    return Prompt(is_bad, (first, "b" if is_bad else "f"), random.choice("xyz"))


def _two_bad(random: Random, has_bad: bool) -> Prompt:
    is_bad = has_bad and random.random() < 0.12
    second = random.choice(("b", "b0")) if is_bad else "c"
    return Prompt(is_bad, ("a", second))


def _sound_before(random: Random, has_bad: bool) -> Prompt:
    part = "c" if random.random() < 0.1 else "d"
    return Prompt(has_bad and part == "c", ("a", part))


def _foreign_parts(random: Random, has_bad: bool) -> Prompt:
    is_bad = has_bad and random.random() < 0.12
    return Prompt(is_bad, ("a", "c"), "stranger" if is_bad else random.choice("xyz"))


def _none_bad(random: Random, has_bad: bool) -> Prompt:
    session = f"{random.randrange(40):x}"
    return Prompt(False, ("a", "c", session), random.choice("uvwxyz"))


TRAFFIC: dict[str, Traffic] = {
    "first part": _in_place(0, 0.12),
    "third part": _in_place(2, 0.12),
    "third part, rare": _in_place(2, 0.03),
    "third part, in 0.6": _in_place(2, 0.6),
    "always after another": _after_another,
    "after several": _after_several,
    "two at once": _two_bad,
    "sound before": _sound_before,
    "an account that names others' parts": _foreign_parts,
    "none": _none_bad,
}


class FixedCountQuarantine(TraitQuarantine):
    """Holds requests with any trait of two crashes or more since the last answer."""

    def _find_groups(self) -> list[SuspectGroup]:
        return [
            SuspectGroup(
                frozenset([trait]),
                crashes,
                record.crash_threshold,
                record.moments(crashes),
            )
            for trait, record in self._records.items()
            if len(crashes := record.uncleared) >= record.crash_threshold
        ]


WAYS: dict[str, Callable[[], TraitQuarantine]] = {
    "any trait with two crashes": FixedCountQuarantine,
    "all traits that explain them": TraitQuarantine,
}


@dataclass(frozen=True)
class PartCrashSettings:
    """The size of the fleet, its traffic, and endpoints that crash by chance.

    `crash_every` is the interval of crashes by chance in seconds, of `crash_together`
    engines each. Unless it `recalls`, requests stay in the queues of engines when they
    come into quarantine.
    """

    traffic: Traffic
    way: Callable[[], TraitQuarantine] = TraitQuarantine
    rate: float = 30.0
    gateways: int = 6
    engines: int = 9
    seconds: float = 30.0
    crash_every: float = 0.0
    crash_together: int = 1
    lost_share: float = 0.0
    recalls: bool = True


@dataclass(eq=False)
class _Run:
    gateway: int
    prompt: Prompt
    traits: frozenset[str]
    began_at: float = 0.0


@dataclass
class _Engine:
    identity: str
    runs: list[_Run] = field(default_factory=list)
    is_up: bool = True


class PartCrashRun(VirtualTime):
    """One run; `crashes` are the times of crashes that requests caused.

    `probes` counts the requests with the part that were released as probes.
    """

    def __init__(self, settings: PartCrashSettings, seed: int) -> None:
        super().__init__()
        self.settings = settings
        self._random = Random(seed)
        self._numbers = count()
        self._gateways = [settings.way() for _ in range(settings.gateways)]
        for number, quarantine in enumerate(self._gateways):
            quarantine.set_rank(partial(self._rank, number))
        self._engines = [self._new_engine() for _ in range(settings.engines)]
        self.crashes: list[float] = []
        self.probes = 0
        self.sound, self.sound_held = 0, 0

    def run(self) -> None:
        """Play until the time is over."""
        self._at(0.0, self._arrive)
        if self.settings.crash_every:
            self._at(SOUND_SECONDS, self._crash_by_chance)
        self._play()

    def _rank(self, number: int, key: str) -> int:
        names = [str(n) for n in range(self.settings.gateways)]
        return rendezvous_order(key, names).index(str(number))

    def _new_engine(self) -> _Engine:
        return _Engine(f"e-{next(self._numbers)}")

    def _arrive(self) -> None:
        if self._now > self.settings.seconds:
            return
        self._at(self._random.expovariate(self.settings.rate), self._arrive)
        prompt = self.settings.traffic(self._random, self._now > SOUND_SECONDS)
        number = self._random.randrange(self.settings.gateways)
        traits = request_traits(prompt.account, "model", prompt.parts)
        quarantine = self._gateways[number]
        self.sound += not prompt.crashes
        if quarantine.seconds_until_release(traits, self._now) is not None:
            self.sound_held += not prompt.crashes
            return
        up = [engine for engine in self._engines if engine.is_up]
        if not up:
            return
        probed = quarantine.record_sent(traits, self._now)
        self.probes += bool(probed) and prompt.crashes
        self._announce(number, probed)
        engine, run = self._random.choice(up), _Run(number, prompt, traits)
        engine.runs.append(run)
        self._at(self._random.uniform(*WAIT_SECONDS), self._begin, engine, run)

    def _begin(self, engine: _Engine, run: _Run) -> None:
        if run not in engine.runs:
            return
        run.began_at = self._now
        if run.prompt.crashes:
            self._at(CRASH_SECONDS, self._crash_under, engine)
        else:
            self._at(ANSWER_SECONDS, self._answer, engine, run)

    def _answer(self, engine: _Engine, run: _Run) -> None:
        if not engine.is_up:
            return
        engine.runs.remove(run)
        quarantine = self._gateways[run.gateway]
        cleared = list(quarantine.record_answer(run.traits, run.began_at, self._now))
        self._announce(run.gateway, cleared)

    def _crash_under(self, engine: _Engine) -> None:
        if engine.is_up:
            self.crashes.append(self._now)
            self._crash(engine)

    def _crash_by_chance(self) -> None:
        if self._now > self.settings.seconds:
            return
        self._at(self.settings.crash_every, self._crash_by_chance)
        up = [engine for engine in self._engines if engine.is_up]
        together = min(self.settings.crash_together, len(up))
        for engine in self._random.sample(up, together):
            self._crash(engine)

    def _crash(self, engine: _Engine) -> None:
        engine.is_up = False
        self._at(DETECTED_SECONDS, self._accuse, engine)
        self._at(REPLACED_SECONDS, self._replace, engine)

    def _replace(self, engine: _Engine) -> None:
        self._engines[self._engines.index(engine)] = self._new_engine()

    def _accuse(self, engine: _Engine) -> None:
        for run in engine.runs:
            quarantine = self._gateways[run.gateway]
            accused = quarantine.record_crash(run.traits, engine.identity, self._now)
            self._announce(run.gateway, list(accused))
            self._recall(run.gateway)

    def _recall(self, number: int) -> None:
        """Take requests from engines that have not begun them and are held now."""
        if not self.settings.recalls:
            return
        is_held = self._gateways[number].is_held
        for engine in self._engines:
            engine.runs = [
                run
                for run in engine.runs
                if run.began_at or run.gateway != number or not is_held(run.traits)
            ]

    def _announce(self, sender: int, traits: Iterable[str]) -> None:
        for trait in sorted(traits):
            report = self._gateways[sender].report(trait, self._now)
            for number in range(self.settings.gateways):
                is_lost = self._random.random() < self.settings.lost_share
                if number != sender and not is_lost:
                    delay = self._random.uniform(0.0, MAX_MESSAGE_SECONDS)
                    self._at(delay, self._apply, number, report)

    def _apply(self, number: int, report: CrashReport) -> None:
        quarantine = self._gateways[number]
        quarantine.apply_report(report, self._now)
        self._recall(number)
        if quarantine.knows_more_than(report):
            self._announce(number, [report.content])


def main() -> None:
    """Play all kinds of traffic with all ways."""
    faults = {
        "": {},
        ", a chance crash each 1.5 s": {"crash_every": 1.5},
        ", 4 engines each 5 s": {"crash_every": 5.0, "crash_together": 4},
    }
    for name, traffic in TRAFFIC.items():
        for fault, changed in faults.items():
            for way, quarantine in WAYS.items():
                settings = PartCrashSettings(traffic, quarantine, **changed)
                print(f"{name + fault:58} {way:30} {_row(settings)}", flush=True)


def _row(settings: PartCrashSettings) -> str:
    runs = [PartCrashRun(settings, seed) for seed in SEEDS]
    for run in runs:
        run.run()
    crashes = " ".join(str(len(run.crashes)) for run in runs)
    held = sum(run.sound_held for run in runs)
    share = 100 * held / sum(run.sound for run in runs)
    return f"{crashes:22} {held:5} {share:6.2f}"


if __name__ == "__main__":
    main()
