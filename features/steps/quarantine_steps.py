"""Steps for the records that gateways keep of requests that crash endpoints."""

from __future__ import annotations

from contextlib import aclosing
from random import Random

import trio
from behave import then, when
from hypothesis import strategies as st
from support.core_checks import check_coded_errors, checked
from trio.testing import MockClock

from piershore.core.outcome import Outcome
from piershore.core.quarantine.crash_report import (
    CrashReport,
    decode_reports,
    encode_reports,
    PREFIX,
)
from piershore.core.quarantine.endpoint_runs import EndpointRuns
from piershore.core.quarantine.quarantine import (
    CRASHES_BEFORE_QUARANTINE,
    MAX_RECORDS,
    PROBE_DELAYS_SECONDS,
    Quarantine,
)
from piershore.core.refusal_reason import RefusalReason
from piershore.gateway.exceptions import RequestRefusedError
from piershore.gateway.generation_service import GenerationService
from piershore.gateway.requested_generation import RequestedGeneration
from piershore.wire.link_pb2 import Accepted, Ended, Refused, StreamTokens

CONTENT = "c0ffee"
ENGINES = ("e-1", "e-2", "e-3", "e-4")
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(),
    lambda inner: st.lists(inner, max_size=5),
)


@then("a request that had just begun there is suspected, and a long one isn't")
def check_suspects(context):
    runs = EndpointRuns()
    new = runs.begin("e-1", "r-new", "new")
    long = runs.begin("e-1", "r-long", "long")
    waiting = runs.begin("e-1", "r-waiting", "waiting")
    done = runs.begin("e-1", "r-done", "done")
    long.record_chunk(1.0)
    new.record_chunk(2.9)
    runs.end("e-1", done)
    runs.abandon("e-1", new, 3.0)
    assert list(runs.suspects("e-1", 3.5)) == [new, waiting]
    assert not list(runs.suspects("e-2", 3.5))
    runs.clear_abandoned("e-1")
    assert list(runs.suspects("e-1", 3.5)) == [waiting]


def _is_suspect_after_answer(seconds):
    runs = EndpointRuns()
    run = runs.begin("e-1", "r", CONTENT)
    runs.abandon("e-1", run, 1.0)
    runs.record_alive("e-1", 1.0 + seconds)
    return run in runs.suspects("e-1", 4.0)


@then(
    "a run that was given up {seconds:g} s before its endpoint's last answer isn't "
    "suspected"
)
def check_outlived(context, seconds):
    assert not _is_suspect_after_answer(seconds)


@then(
    "a run that was given up {seconds:g} s before its endpoint's last answer is suspected"
)
def check_not_outlived(context, seconds):
    assert _is_suspect_after_answer(seconds)


@then("after reports of {kinds} all gateways that receive everything agree")
def check_order(context, kinds):
    @checked(st.integers(0, 10_000))
    def check(seed):
        random = Random(seed)
        gateways = [Quarantine() for _ in range(3)]
        reports = []
        for engine in ENGINES[: random.randint(2, 4)]:
            observer = random.choice(gateways)
            observer.record_crash(CONTENT, engine, 1.0)
            reports.append(observer.report(CONTENT))
            if "cleared" in kinds and random.random() < 0.4:
                reporter = random.choice(gateways)
                if reporter.record_completion(CONTENT, 1.5):
                    reports.append(reporter.report(CONTENT))
        deliveries = [random.sample(reports * 2, len(reports) * 2) for _ in gateways]
        for gateway, received in zip(gateways, deliveries, strict=True):
            for report in received:
                gateway.apply_report(decode_reports(encode_reports([report]))[0], 2.0)
        # Each gateway reports once more, after it has merged all reports.
        last = [gateway.report(CONTENT) for gateway in gateways]
        for gateway in gateways:
            for report in last:
                gateway.apply_report(report, 2.5)
        assert len({gateway.report(CONTENT) for gateway in gateways}) == 1
        assert len({gateway.is_quarantined(CONTENT) for gateway in gateways}) == 1


@then("no request is quarantined when a data hall crashes and its callers retry")
def check_data_hall(context):
    _play_crashes(crashing=ENGINES[:2], rounds=1)


@then("no request is quarantined when a third of the engines is killed twice")
def check_third(context):
    _play_crashes(crashing=ENGINES[:1], rounds=2)


def _play_crashes(crashing, rounds):
    """Kill engines that run 200 requests, and retry these until they are served."""
    random, quarantine, runs = Random(3), Quarantine(), EndpointRuns()
    waiting = [f"request-{number}" for number in range(200)]
    for number in range(rounds):
        now = 10.0 * number
        at = {content: random.choice(ENGINES) for content in waiting}
        open_runs = {c: runs.begin(f"{e}@{number}", c, c) for c, e in at.items()}
        for engine in crashing:
            identity = f"{engine}@{number}"
            for run in list(runs.suspects(identity, now)):
                quarantine.record_crash(run.content, identity, now)
                runs.abandon(identity, run, now)
        lost = [content for content, engine in at.items() if engine in crashing]
        assert not any(quarantine.is_quarantined(content) for content in lost)
        for content in at.keys() - set(lost):
            runs.end(f"{at[content]}@{number}", open_runs[content])
            quarantine.record_completion(content, now)
        retried = [c for c in lost if quarantine.seconds_until_release(c, now) is None]
        assert retried == lost
        for content in retried:
            quarantine.record_completion(content, now + 1.0)
    assert not len(quarantine)


@then("no stream is quarantined that three engines lost after it had run for 2 s")
def check_long(context):
    quarantine, runs = Quarantine(), EndpointRuns()
    for number, engine in enumerate(ENGINES[:3]):
        began = 10.0 * number
        run = runs.begin(engine, "r", CONTENT)
        run.record_chunk(began)
        runs.abandon(engine, run, began + 2.0)
        for suspect in runs.suspects(engine, began + 2.0):
            quarantine.record_crash(suspect.content, engine, began + 2.0)
    assert not quarantine.is_quarantined(CONTENT)


@then(
    "a request that completed in the last {seconds:g} s is not quarantined by any"
    " gateway"
)
def check_completed(context, seconds):
    informed, uninformed = Quarantine(), Quarantine()
    informed.record_completion(CONTENT, 0.0)
    for engine in ENGINES[:CRASHES_BEFORE_QUARANTINE]:
        assert informed.record_crash(CONTENT, engine, 1.0) == 0
        uninformed.record_crash(CONTENT, engine, 1.0)
    assert not informed.is_quarantined(CONTENT)
    assert uninformed.is_quarantined(CONTENT)
    uninformed.apply_report(informed.report(CONTENT), 1.1)
    assert not uninformed.is_quarantined(CONTENT)
    late = seconds + 1.0
    assert informed.record_crash(CONTENT, "e-8", late) == 1
    assert informed.record_crash(CONTENT, "e-9", late) == 2
    assert informed.is_quarantined(CONTENT)


@then(
    "a quarantined request is probed after {seconds:g} s, once in the whole fleet, and"
    " cleared"
)
def check_probe(context, seconds):
    one, other = Quarantine(), Quarantine()
    for engine in ENGINES[:CRASHES_BEFORE_QUARANTINE]:
        one.record_crash(CONTENT, engine, 0.0)
    other.apply_report(one.report(CONTENT), 0.0)
    assert other.seconds_until_release(CONTENT, 1.0) == seconds - 1.0
    assert one.seconds_until_release(CONTENT, seconds) is None
    assert one.record_sent(CONTENT, seconds)
    other.apply_report(one.report(CONTENT), seconds)
    assert other.seconds_until_release(CONTENT, seconds) == PROBE_DELAYS_SECONDS[1]
    one.record_completion(CONTENT, seconds + 0.5)
    other.apply_report(one.report(CONTENT), seconds + 0.5)
    assert other.seconds_until_release(CONTENT, seconds + 0.6) is None
    # Each probe that fails defers the next one, until no more probes are sent.
    for number in range(len(PROBE_DELAYS_SECONDS) + 1):
        one.record_crash(CONTENT, f"f-{number}", 100.0)
        one.record_crash(CONTENT, f"g-{number}", 100.0)
    assert (
        one.seconds_until_release(CONTENT, 100.0 + max(PROBE_DELAYS_SECONDS))
        is not None
    )


@then(
    "of {suspected:d} suspected requests {maximum:d} are remembered, and those in quarantine"
)
def check_flood(context, suspected, maximum):
    assert maximum == MAX_RECORDS
    quarantine = Quarantine()
    for engine in ENGINES[:CRASHES_BEFORE_QUARANTINE]:
        quarantine.record_crash(CONTENT, engine, 0.0)
    for number in range(suspected):
        quarantine.record_crash(f"flood-{number}", "e-1", 1.0)
    assert quarantine.is_quarantined(CONTENT)
    assert len(quarantine._records) == maximum
    assert quarantine.report(f"flood-{suspected - 1}") is not None
    assert quarantine.report("flood-0") is None


@then("crash reports are decoded or refused with their code")
def check_reports(context):
    check_coded_errors(lambda data: decode_reports(PREFIX + data), st.binary())
    check_coded_errors(_decode, st.lists(st.lists(JSON_VALUES, max_size=5), max_size=3))
    report = CrashReport(CONTENT, frozenset(ENGINES), frozenset(ENGINES[:1]), 2)
    assert decode_reports(encode_reports([report])) == (report,)


def _decode(fields):
    return decode_reports(PREFIX + repr(fields).replace("'", '"').encode())


ENGINE_LOST = (
    Accepted(request=1, generation="g"),
    Ended(request=1, reason=RefusalReason.ENGINE_LOST),
)
QUEUE_FULL = (
    Refused(request=1, reason=RefusalReason.QUEUE_FULL, outcome=Outcome.NOT_RUN),
)


class _Link:
    """A link to an agent that answers each order with the frames of all links."""

    def __init__(self, name, links):
        self.state = type("State", (), {"name": name})()
        self.newest_incarnation = "i"
        self._links = links

    def open_request(self):
        self._links.sent.append(self.state.name)
        return _Request(self._links.frames)


class _Request:
    """A request that is answered with the given frames."""

    number = 1

    def __init__(self, frames):
        self._frames = list(frames)

    def send(self, **frame):
        """Ignore an order."""

    def close(self, **how):
        """Do nothing."""

    async def receive(self):
        frame = self._frames.pop(0)
        if isinstance(frame, float):
            await trio.sleep(frame)
            frame = self._frames.pop(0)
        return frame


class ScriptedLinks:
    """Links to agents, chosen one after the other; all send the same `frames`."""

    def __init__(self, count, frames):
        self.sent = []
        self.frames = frames
        names = (f"agent-{number}" for number in range(count))
        self._links = [_Link(name, self) for name in names]

    def choose(self, service, prompt, excluded):
        remaining = (link for link in self._links if link.state.name not in excluded)
        return next(remaining, None)


class ManyRetries:
    """A budget with more retries than a request should need."""

    def __init__(self):
        self.spent = 0

    def record_request(self):
        """Do nothing."""

    def spend(self):
        self.spent += 1
        return self.spent <= 50


@when("an order is sent that loses each of {count:d} engines")
def send_lost(context, count):
    send_orders(context, 2, ScriptedLinks(count, ENGINE_LOST))


@when("an order is sent that each engine of {count:d} refuses")
def send_refused(context, count):
    send_orders(context, 1, ScriptedLinks(count, QUEUE_FULL))


def send_orders(context, times, links):
    context.links = links
    context.retries = ManyRetries()
    service = GenerationService(links, context.retries, 5.0)
    order = RequestedGeneration("surulere", "model", "review", 1, "a prompt", 10)
    context.errors = []

    async def send():
        for _ in range(times):
            try:
                await service.complete(order)
            except RequestRefusedError as error:
                context.errors.append(error)

    trio.run(send)


async def send_streamed(service, order):
    async with aclosing(service.stream(order)) as chunks:
        async for _ in chunks:
            pass


SENDERS = {"complete": GenerationService.complete, "streamed": send_streamed}


@when("a {kind} answer is ordered twice, and its engines are lost after {seconds:g} s")
def lose_started(context, kind, seconds):
    context.codes = []
    tokens = StreamTokens(request=1, first_index=0, tokens=["a"])
    frames = (ENGINE_LOST[0], tokens, seconds, ENGINE_LOST[1])
    service = GenerationService(ScriptedLinks(2, frames), ManyRetries(), 5.0)
    order = RequestedGeneration("surulere", "model", "review", 1, "a prompt", 10)

    async def send():
        for _ in range(3):
            try:
                await SENDERS[kind](service, order)
            except RequestRefusedError as error:
                context.codes.append(error.code)

    trio.run(send, clock=MockClock(autojump_threshold=0))


@then("the next order of that content is answered {code}")
def check_next_code(context, code):
    assert context.codes[-1] == code, context.codes


@then("{count:d} engines were lost, and the caller is told {code}")
def check_lost(context, count, code):
    assert len(context.links.sent) == count, context.links.sent
    assert context.errors[0].code == code
    assert context.errors[0].outcome is Outcome.UNKNOWN


@then("the next order of that content is refused at once with {code} as not run")
def check_next(context, code):
    assert context.errors[1].code == code
    assert context.errors[1].outcome is Outcome.NOT_RUN
    assert 0 < context.errors[1].retry_after <= PROBE_DELAYS_SECONDS[0]


@then("{maximum:d} retries were spent at most, and the caller is told {code}")
def check_spent(context, maximum, code):
    assert context.retries.spent <= maximum, context.retries.spent
    assert context.errors[0].code == code
    assert context.errors[0].outcome is Outcome.NOT_RUN
