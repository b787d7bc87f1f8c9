"""One run: engines in virtual time behind the product's own decisions."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random

from piershore.core.admission.actions import Refuse
from piershore.core.admission.candidate import Candidate
from piershore.core.admission.engine_queue import EngineQueue
from piershore.core.configuration.objects import AdmissionSettings
from piershore.core.routing.endpoint_state import EndpointState, LoadReport
from piershore.core.routing.load_balancing_policy import LOAD_BALANCING_POLICIES
from standins.engine_model import EngineModel, EngineSettings

STALL_SECONDS = 0.25
REPORT_PERIOD = 1.0
POLL_STEPS = 4


@dataclass
class StreamRecord:
    """What a caller saw of one generation; times in virtual seconds."""

    candidate: Candidate
    first_token_at: float | None = None
    last_token_at: float = 0.0
    stall: float = 0.0
    preemptions: int = 0
    tokens: int = 0
    finished: bool = False


@dataclass
class RunResult:
    """All that one run gave."""

    seconds: float
    streams: list[StreamRecord] = field(default_factory=list)
    gaps: list[float] = field(default_factory=list)
    refusals: Counter[str] = field(default_factory=Counter)
    preemptions: int = 0


class EngineSite:
    """An engine, its queue and what its streams showed."""

    def __init__(
        self, name: str, admission: AdmissionSettings, result: RunResult
    ) -> None:
        self.state = EndpointState(name, "service", "hall", is_open=True)
        self.queue = EngineQueue(admission)
        self.model = EngineModel(EngineSettings(admission.capacity_tokens))
        self.records: dict[str, StreamRecord] = {}
        self.stepping = False
        self._result = result
        self._steps = 0
        self._changed = False

    def submit(self, candidate: Candidate, now: float) -> None:
        """Hand a request to the engine's queue."""
        self.queue.submit(candidate, now)
        self._changed = True
        self.admit(now)

    def admit(self, now: float) -> None:
        """Start and refuse what the queue says."""
        self._steps += 1
        if not self._changed and self._steps % POLL_STEPS:
            return
        self._changed = False
        for action in self.queue.poll(now):
            candidate = action.candidate
            if isinstance(action, Refuse):
                self._result.refusals[action.reason] += 1
                continue
            record = StreamRecord(candidate)
            self.records[candidate.identity] = record
            self._result.streams.append(record)
            self.model.submit(
                candidate.identity,
                f"{candidate.length_key.kind}/{candidate.identity}",
                candidate.prompt_tokens,
                candidate.known_length,
                candidate.priority,
            )

    def step(self, now: float) -> float:
        """Make one step that begins `now`; return when it ends."""
        done = self.model.step()
        end = now + done.duration
        for identity in done.progressed:
            self._progress(identity, end)
        for identity in done.preempted:
            self.records[identity].preemptions += 1
            self._result.preemptions += 1
        for identity in done.finished:
            self.records[identity].finished = True
            self.queue.finish(identity, is_complete=True)
            self._changed = True
        self.queue.record_step(len(done.progressed), done.batch, done.duration, end)
        return end

    def reclaim(self) -> list[Candidate]:
        """Lose the engine; return the requests that showed nothing yet."""
        self.state.is_open = False
        again = []
        for identity, record in self.records.items():
            if record.finished:
                continue
            self.model.cancel(identity)
            self.queue.finish(identity, is_complete=False)
            if record.first_token_at is None:
                again.append(record.candidate)
        for candidate in self.queue.waiting():
            self.queue.withdraw(candidate.identity)
            again.append(candidate)
        return again

    def report(self) -> None:
        """Take the report that the gateway will see from now on."""
        self.state.unreported = 0
        self.state.report = LoadReport(
            self.queue.running_count, self.queue.queued_count, self.queue.free_share
        )

    def _progress(self, identity: str, now: float) -> None:
        record = self.records[identity]
        if record.first_token_at is None:
            record.first_token_at = now
        else:
            gap = now - record.last_token_at
            self._result.gaps.append(gap)
            record.stall += max(0.0, gap - STALL_SECONDS)
        record.last_token_at = now
        record.tokens += 1
        self.queue.record_progress(identity, 1)


def simulate(
    admission: AdmissionSettings,
    requests: Iterable[Candidate],
    seconds: float,
    *,
    engines: int = 1,
    reclaim_at: float | None = None,
    choice: str = "least_work_of_two",
    seed: int = 0,
) -> RunResult:
    """Run until `seconds` have passed; what runs then counts as unfinished."""
    result = RunResult(seconds)
    sites = [EngineSite(f"e{n}", admission, result) for n in range(engines)]
    chooser = LOAD_BALANCING_POLICIES[choice]("hall", Random(seed))
    order = count()
    events: list[tuple] = []
    for candidate in requests:
        heappush(events, (candidate.arrived_at, next(order), "arrive", candidate))
    for site in sites:
        heappush(events, (0.0, next(order), "report", site))
    if reclaim_at is not None:
        heappush(events, (reclaim_at, next(order), "reclaim", sites[0]))

    def wake(site: EngineSite, now: float) -> None:
        if not site.stepping and site.model.is_busy and site.state.is_open:
            site.stepping = True
            heappush(events, (now, next(order), "step", site))

    def place(candidate: Candidate, now: float) -> None:
        states = [site.state for site in sites if site.state.takes_work]
        chosen = chooser.choose(states, "")
        chosen.unreported += 1
        site = next(site for site in sites if site.state is chosen)
        site.submit(candidate, now)
        wake(site, now)

    while events:
        now, _, kind, subject = heappop(events)
        if now > seconds:
            break
        if kind == "arrive":
            place(subject, now)
        elif kind == "report":
            subject.report()
            heappush(events, (now + REPORT_PERIOD, next(order), "report", subject))
        elif kind == "reclaim":
            for candidate in subject.reclaim():
                place(candidate, now)
        elif subject.state.is_open:
            end = subject.step(now)
            subject.stepping = False
            subject.admit(end)
            wake(subject, end)
    return result
