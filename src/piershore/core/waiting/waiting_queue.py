"""The order in which generations get memory, at one gateway and beside its peers.

The load pattern: long generations arrive at 2.5 times their usual rate for some
seconds, while engines leave and are replaced, so that for many seconds no engine has
memory for one more. What waits then competes at all gateways at once.

Each generation checks for memory by itself; it starts when there is memory for it and
for all that rank before it, at this gateway and at the peers. One that by projection
can't meet its target is refused at once, with the time at which memory is projected for
it; that memory is reserved for its caller. A caller that has returned as told isn't
refused again: it waits as long as it can be answered by its deadline.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import replace
from math import inf

from piershore.core.bounded_mapping import put_newest
from piershore.core.waiting.memory_forecast import MemoryForecast
from piershore.core.waiting.peer_waiting import PeerWaiting, tokens_before
from piershore.core.waiting.promise_ledger import MAX_PROMISES, PromiseLedger
from piershore.core.waiting.return_promise import LAPSE_SECONDS, ReturnPromise
from piershore.core.waiting.start_projection import Reservation, seconds_until_start
from piershore.core.waiting.waiter import Rank, Waiter
from piershore.core.waiting.waiting_decision import WaitingAction, WaitingDecision
from piershore.core.waiting.waiting_report import (
    MAX_LEVEL,
    MAX_PROMISES_REPORTED,
    MAX_SECONDS,
    MAX_SERVICES,
    ReportedPromise,
    ServiceWaiting,
    WaitingReport,
)
from piershore.core.waiting.waiting_summary import reported_seconds, summarize

REFUSAL_SHARE = 0.125
"""Share of its target latency within which a generation may be refused after all: a
caller that has waited longer gets its answer sooner by waiting on."""
RESERVED_AHEAD_SECONDS = 0.5
"""Promised memory counts as taken so long before its time: engines free memory in
pieces, and callers come a few tenths of a second early."""
RETURN_SHARE = 1 / 3
"""Share of its remaining time after which a caller returns at the latest, whatever it
was told."""
MIN_RETRY_AFTER_SECONDS, MAX_RETRY_AFTER_SECONDS = 1.0, 30.0
"""Bounds of the time until a return. Memory is freed in pieces of whole generations;
what the load says of a time further away is no longer true by then."""
UNKNOWN_RETRY_AFTER_SECONDS = 5.0
"""Time until a return if nothing shows when memory is freed: engines are replaced after
about 4 s."""
MAX_YIELD_SECONDS = 0.4
"""How long a generation leaves free memory to others before it: a peer whose view lacks
that memory learns of it with the next report."""
REPEATED_SECONDS = 1.0
"""How long a promise and a return are reported: some reports may be lost. Promises are
reported again so long before their time."""


def _full_share(service: str, host: str) -> float:
    """Return that all endpoints are shared with each peer."""
    return 1.0


class WaitingQueue:
    """Generations that wait at this gateway, and what it knows of those of peers.

    `shared` returns which part of a service's endpoints a peer chooses from as well.
    """

    def __init__(
        self,
        host: str,
        *,
        keeps_promises: bool = True,
        shared: Callable[[str, str], float] = _full_share,
    ) -> None:
        self._host = host
        self._keeps_promises = keeps_promises
        self._shared = shared
        self._waiters: dict[str, Waiter] = {}
        self._returned: dict[str, float] = {}
        self._yields: dict[str, tuple[float, float]] = {}
        self._services: dict[str, float] = {}
        self._own_promises: dict[str, float] = {}
        self.promises = PromiseLedger()
        self.peers = PeerWaiting()

    def __len__(self) -> int:
        return len(self._waiters)

    def has_waiting(self, service: str, now: float) -> bool:
        """Return whether anything waits for a service, here or at a peer."""
        if any(waiter.service == service for waiter in self._waiters.values()):
            return True
        return any(True for _ in self.peers.waiting(service, now))

    def services(self) -> set[str]:
        """Return the services that had generations in the last minutes."""
        return set(self._services)

    def leave(self, waiter: Waiter) -> None:
        """Drop a generation that starts, was refused or whose caller has left."""
        self._waiters.pop(waiter.identity, None)
        self._yields.pop(waiter.identity, None)

    def decide(
        self, waiter: Waiter, forecast: MemoryForecast, now: float, *, fits: bool
    ) -> WaitingDecision:
        """Return what a generation does now; `fits` is whether an engine has memory.

        One that waits is in the queue until `leave`.
        """
        self._recognize(waiter, now)
        self._services[waiter.service] = now
        if waiter.is_light:
            decision = self._decide_light(waiter, now, fits=fits)
        else:
            decision = self._decide_long(waiter, forecast, now, fits=fits)
        if decision.action is WaitingAction.WAIT:
            self._waiters[waiter.identity] = waiter
        return decision

    def promise(self, waiter: Waiter, decision: WaitingDecision, now: float) -> float:
        """Reserve memory for a refused caller; return when to return, in seconds."""
        seconds = _bounded_retry_after(decision.seconds)
        if not self._keeps_promises:
            return seconds
        known = self.promises.find(waiter.content)
        if known is not None and known.opens > now:
            return known.opens - now
        promise = ReturnPromise(
            waiter.content,
            waiter.service,
            waiter.priority,
            waiter.tokens,
            now + min(seconds, _latest_return(waiter, now)),
            now + seconds + LAPSE_SECONDS,
        )
        if self.promises.put(promise):
            self._own_promises[waiter.content] = now
        return seconds

    def apply_report(self, report: WaitingReport, now: float) -> None:
        """Apply what a peer reports; an older or repeated report changes nothing."""
        if not self.peers.apply(report, now):
            return
        for reported in report.promises:
            self.promises.put(
                ReturnPromise(
                    reported.content,
                    reported.service,
                    reported.priority,
                    reported.tokens,
                    now + reported.opens_in,
                    now + reported.lapses_in,
                )
            )
        for content in report.returned:
            if not self.promises.was_used(content):
                self.promises.use(content, now, is_own=False)

    def report(self, incarnation: str, number: int, now: float) -> WaitingReport:
        """Return the report to peers."""
        self.promises.drop_old(now)
        for name in [n for n, at in self._services.items() if now - at > MAX_SECONDS]:
            del self._services[name]
        names = sorted({waiter.service for waiter in self._waiters.values()})
        return WaitingReport(
            self._host,
            incarnation,
            number,
            {name: self._service_waiting(name, now) for name in names[:MAX_SERVICES]},
            tuple(self._reported_promises(now))[:MAX_PROMISES_REPORTED],
            tuple(self.promises.used_here_since(now - REPEATED_SECONDS))[
                -MAX_PROMISES_REPORTED:
            ],
        )

    def seconds_until_report(self, now: float) -> float:
        """Return when a promise is due for being reported again; inf if none is."""
        promises = map(self.promises.find, self._own_promises)
        times = (promise.opens - REPEATED_SECONDS for promise in promises if promise)
        return min((at - now for at in times if at > now), default=inf)

    def _recognize(self, waiter: Waiter, now: float) -> None:
        """Note that a caller has returned at about the time that it was told."""
        if waiter.identity in self._returned:
            return
        promise = self.promises.find(waiter.content)
        if promise is not None and now >= promise.first_return:
            put_newest(self._returned, waiter.identity, now, MAX_PROMISES)
            self.promises.use(waiter.content, now)

    def _decide_light(
        self, waiter: Waiter, now: float, *, fits: bool
    ) -> WaitingDecision:
        """Let a light generation preempt others rather than miss its target."""
        if fits or not waiter.is_in_time(now):
            return WaitingDecision(WaitingAction.START)
        return WaitingDecision(WaitingAction.WAIT)

    def _decide_long(
        self, waiter: Waiter, forecast: MemoryForecast, now: float, *, fits: bool
    ) -> WaitingDecision:
        has_returned = waiter.identity in self._returned
        before = self._tokens_before(waiter, now)
        reservations = self._reservations(waiter, now)
        due = sum(r.tokens for r in reservations if not r.opens_in)
        inputs = WaitingDecision(
            WaitingAction.START, 0.0, before, due, forecast.free_tokens, has_returned
        )
        has_turn = self._has_turn(waiter, forecast, before, reservations)
        if fits and (has_turn or self._has_yielded(waiter, before, due, now)):
            return inputs
        if not fits:
            self._yields.pop(waiter.identity, None)
        seconds = seconds_until_start(forecast, waiter.tokens, before, reservations)
        inputs = replace(inputs, seconds=seconds)
        if self._should_wait(waiter, now, seconds, has_returned=has_returned):
            return replace(inputs, action=WaitingAction.WAIT)
        return replace(inputs, action=WaitingAction.REFUSE)

    @staticmethod
    def _has_turn(
        waiter: Waiter,
        forecast: MemoryForecast,
        before: float,
        reservations: list[Reservation],
    ) -> bool:
        """Return whether there is memory for all before it and all due soon."""
        near = [r for r in reservations if r.opens_in <= RESERVED_AHEAD_SECONDS]
        if not near and not before:
            return True
        due = sum(r.tokens for r in near if not r.opens_in)
        if before + due + waiter.tokens > forecast.free_tokens:
            return False
        return not seconds_until_start(forecast, waiter.tokens, before, near)

    def _has_yielded(self, waiter: Waiter, before: float, due: int, now: float) -> bool:
        """Return whether memory has been left to others, none of which has used it."""
        since, at_first = self._yields.get(waiter.identity, (now, before))
        if before < at_first:
            since = now
        self._yields[waiter.identity] = since, before
        return not due and now - since >= MAX_YIELD_SECONDS

    def _should_wait(
        self, waiter: Waiter, now: float, seconds: float, *, has_returned: bool
    ) -> bool:
        if now > waiter.complete_until:
            return False
        waited = now - waiter.arrived
        if has_returned or waited > REFUSAL_SHARE * waiter.target_latency:
            return True
        return waiter.is_in_time(now + seconds)

    def _tokens_before(self, waiter: Waiter, now: float) -> float:
        rank = self._rank(waiter, now)
        own = sum(
            other.tokens
            for other in self._waiters.values()
            if other.service == waiter.service and self._rank(other, now) < rank
        )
        return own + sum(
            self._shared(waiter.service, host)
            * tokens_before(rank, host, received_at, waiting)
            for host, received_at, waiting in self.peers.waiting(waiter.service, now)
        )

    def _rank(self, waiter: Waiter, now: float) -> Rank:
        has_returned = waiter.identity in self._returned
        return waiter.rank(now, has_returned=has_returned, host=self._host)

    def _reservations(self, waiter: Waiter, now: float) -> list[Reservation]:
        """Return the memory that a newcomer leaves to callers told to return."""
        if waiter.identity in self._returned:
            return []
        return [
            Reservation(max(0.0, promise.opens - now), promise.tokens)
            for promise in self.promises.reserving(waiter.service, waiter.priority, now)
            if promise.content != waiter.content
        ]

    def _service_waiting(self, service: str, now: float) -> ServiceWaiting:
        waiters = (w for w in self._waiters.values() if w.service == service)
        return summarize([(self._rank(waiter, now), waiter) for waiter in waiters], now)

    def _reported_promises(self, now: float) -> Iterator[ReportedPromise]:
        """Yield own promises that are new or due soon, in the order of their times."""
        own = []
        for content, made_at in list(self._own_promises.items()):
            promise = self.promises.find(content)
            if promise is None or promise.lapses < now:
                del self._own_promises[content]
            elif min(now - made_at, promise.opens - now) <= REPEATED_SECONDS:
                own.append(promise)
        for promise in sorted(own, key=lambda promise: promise.opens):
            yield ReportedPromise(
                promise.content,
                promise.service,
                min(promise.priority, MAX_LEVEL),
                promise.tokens,
                reported_seconds(promise.opens - now),
                reported_seconds(promise.lapses - now),
            )


def _latest_return(waiter: Waiter, now: float) -> float:
    """Return after how many seconds a refused caller returns at the latest."""
    return max(0.0, RETURN_SHARE * (waiter.deadline - now))


def _bounded_retry_after(seconds: float) -> float:
    if seconds == inf:
        return UNKNOWN_RETRY_AFTER_SECONDS
    return min(max(seconds, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS)
