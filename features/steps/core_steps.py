"""Steps that drive the core alone."""

from __future__ import annotations

from collections import Counter
from random import Random

import trio
from behave import given, then, when
from hypothesis import given as given_data
from hypothesis import settings
from hypothesis import strategies as st

from piershore.agent.generation_runner import GenerationRunner
from piershore.core.admission.actions import Refuse, Start
from piershore.core.admission.candidate import Candidate, LengthKey
from piershore.core.admission.engine_queue import EngineQueue
from piershore.core.configuration.codec import decode_spec, structure
from piershore.core.configuration.config_view import ConfigView
from piershore.core.configuration.objects import AdmissionSettings, ObjectKind
from piershore.core.configuration.stored_object import (
    ObjectName,
    Snapshot,
    StoredObject,
)
from piershore.core.limits.account_limiter import AccountLimiter, AccountLimits
from piershore.core.ownership.claim import Answer, RefuseKey, RunKey
from piershore.core.ownership.exceptions import SlotChangeError
from piershore.core.ownership.interval import Owner
from piershore.core.ownership.minted_key import MintedKey
from piershore.core.ownership.slot_owner import OwnershipSettings, SlotOwner
from piershore.core.ownership.slot_table import SlotTable
from piershore.core.routing.aperture import choose_aperture
from piershore.core.routing.retry_budget import RetryBudget
from piershore.core.streams.event_id import EventId
from piershore.core.streams.generation import Ending, Generation
from piershore.errors import PiershoreError
from piershore.gateway.admission import Admission
from piershore.gateway.chat_request import ChatRequest
from piershore.settings.document import read_documents
from piershore.settings.process_settings import AgentSettings
from piershore.wire.link_pb2 import Submit

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
)

PARSERS = {
    "the event id": (EventId.decode, st.text()),
    "the idempotency key": (MintedKey.parse, st.text() | st.uuids().map(str)),
    "a settings file": (lambda text: read_documents("f", text), st.text()),
    "a stored object": (
        lambda value: decode_spec(ObjectKind.ACCOUNT, value),
        st.binary(),
    ),
    "a caller's body": (lambda data: structure(ChatRequest, data), JSON_VALUES),
}


@then("{parser} never fails in another way")
def check_parser(context, parser):
    parse, inputs = PARSERS[parser]

    @settings(max_examples=300, derandomize=True, deadline=None, database=None)
    @given_data(inputs)
    def check(data):
        try:
            parse(data)
        except PiershoreError as error:
            assert error.code

    check()


class OwnershipHistory:
    """Two agents and their successors on one table, driven at random."""

    def __init__(self, seed, slots):
        self.random = Random(seed)
        self.table = SlotTable.create("s", slots, 0)
        self.versions = [(1, self.table)]
        self.runs = {}
        self.keys = [
            MintedKey.mint(self.random.randrange(1, 1_500), self.random)
            for _ in range(120)
        ]
        self.agents = [self.agent(n) for n in range(2)]
        self.now = 1

    def agent(self, number):
        owner = Owner(f"a{number}", str(self.random.random()))
        settings_ = OwnershipSettings(60, 5, 150, 5)
        return SlotOwner("s", owner, settings_)

    def step(self):
        self.now += self.random.randrange(9)
        number = self.random.randrange(2)
        agent = self.agents[number]
        action = self.random.choice(
            ["run"] * 8 + ["keep"] * 4 + ["read", "leave", "crash", "forget", "resize"]
        )
        getattr(self, action)(agent, number)

    def run(self, agent, number):
        key = self.random.choice(self.keys)
        decision = agent.decide(key)
        if isinstance(decision, RunKey):
            self.runs[key.text] = self.runs.get(key.text, 0) + 1
            assert self.runs[key.text] == 1, "a key ran twice"
            if self.random.random() < 0.8:
                agent.finish(key, Answer(200, b""))
        elif isinstance(decision, RefuseKey) and decision.outcome == "not_run":
            assert key.text not in self.runs, "a key that ran was called not run"

    def keep(self, agent, number):
        version, base = self.random.choice(self.versions[-2:])
        clock = self.now + self.random.choice([-50, 0, 0, 50])
        try:
            wanted = agent.change(base, clock, {"a0", "a1"})
        except SlotChangeError:
            return
        if version != self.versions[-1][0] or wanted == base:
            return
        self.versions.append((version + 1, wanted))
        if self.random.random() < 0.7:
            agent.confirm(wanted, version + 1)

    def read(self, agent, number):
        version, table = self.random.choice(self.versions[-4:])
        agent.confirm(table, version)

    def leave(self, agent, number):
        if self.random.random() < 0.5:
            agent.leave()

    def crash(self, agent, number):
        if self.random.random() < 0.3:
            self.agents[number] = self.agent(number)

    def forget(self, agent, number):
        agent.forget(self.now + self.random.choice([0, 200]))

    def resize(self, agent, number):
        if self.random.random() < 0.2:
            version, table = self.versions[-1]
            count = self.random.randrange(1, 5)
            resized = table.resize(count, table.current.spec_version + 1)
            self.versions.append((version + 1, resized))


@then("no key runs twice in {count:d} random histories with {slots:d} slots")
def check_histories(context, count, slots):
    ran = 0
    for seed in range(count):
        history = OwnershipHistory(seed, slots)
        for _ in range(300):
            history.step()
        ran += len(history.runs)
    assert ran > count, "hardly anything ran, so nothing was shown"


def keep_leases(context, agents, seconds):
    """Let the agents keep their leases in turn for some seconds."""
    names = {name for name, _ in context.members}
    for _ in range(seconds * 4):
        context.clock += 250
        for agent in agents:
            context.slots = agent.change(context.slots, context.clock, names)
            context.version += 1
            agent.confirm(context.slots, context.version)


def slot_owners(context):
    return {slot.last.owner.endpoint for slot in context.slots.current.slots}


@then("of 3 agents, of which one came first, each owns some of 16 slots in the end")
def check_shared(context):
    context.clock, context.version = 1_000_000, 1
    context.slots = SlotTable.create("s", 16, context.clock)
    context.members = [
        (name, SlotOwner("s", Owner(name, "1"), OwnershipSettings())) for name in "abc"
    ]
    agents = [agent for _, agent in context.members]
    first, context.members = context.members, context.members[:1]
    keep_leases(context, agents[:1], 5)
    assert slot_owners(context) == {"a"}
    context.members = first
    keep_leases(context, agents, 30)
    assert slot_owners(context) == {"a", "b", "c"}, slot_owners(context)


@then("when one of them falls silent the others own all slots in the end")
def check_silent(context):
    agents = [agent for name, agent in context.members if name != "b"]
    keep_leases(context, agents, 60)
    assert slot_owners(context) == {"a", "c"}, slot_owners(context)


@then("each reader of {count:d} random histories sees tokens once and in order")
def check_streams(context, count):
    for seed in range(count):
        random = Random(seed)
        generation = Generation("g", "a", 1_000, 0.0)
        seen = {}
        made = 0
        for _ in range(200):
            action = random.choice(
                ["make", "again", "send", "send", "attach", "detach"]
            )
            if action == "make" and made < 100:
                new = random.randrange(1, 6)
                tokens = tuple(str(i) for i in range(made, made + new))
                generation.append(made, tokens, 0.0)
                made += new
            elif action == "again" and made:
                first = random.randrange(made)
                tokens = tuple(str(i) for i in range(first, made))
                generation.append(first, tokens, 0.0)
            elif action == "attach":
                request = len(seen)
                start = random.randrange(made + 1)
                generation.attach(1, request, start)
                seen[request] = [start]
            elif action == "detach" and seen:
                generation.detach(1, random.choice(list(seen)), 0.0)
            elif (segment := generation.send()) is not None:
                reader = segment.reader
                assert reader.request == max(seen), "an older reader was fed"
                expected = seen[reader.request][-1]
                assert segment.first_index == expected
                end = expected + len(segment.tokens)
                assert segment.tokens == tuple(str(i) for i in range(expected, end))
                seen[reader.request].append(end)
                generation.acknowledge(1, reader.request, end)
        generation.end(Ending())


@then("no view of {count:d} random histories goes back, and all agree in the end")
def check_views(context, count):
    names = [ObjectName(ObjectKind.SERVICE, name) for name in "abc"]
    for seed in range(count):
        random = Random(seed)
        history = [
            StoredObject(
                random.choice(names), version, random.choice([b"{}", b"{}", None])
            )
            for version in range(1, 20)
        ]
        view = ConfigView()
        highest = {}
        for _ in range(60):
            if random.random() < 0.7:
                view.apply(random.choice(history))
            else:
                revision = random.randrange(20)
                view.apply_snapshot(snapshot_at(history, revision))
            for name in names:
                stored = view.stored(name.kind, name.name)
                version = stored.version if stored else 0
                assert version >= highest.get(name, 0), "a view went back"
                highest[name] = version
        view.apply_snapshot(snapshot_at(history, 19))
        live = {stored.name: stored.version for stored in view.snapshot().objects}
        expected = snapshot_at(history, 19).objects
        assert live == {stored.name: stored.version for stored in expected}


def snapshot_at(history, revision):
    newest = {stored.name: stored for stored in history[:revision]}
    live = tuple(stored for stored in newest.values() if stored.value is not None)
    return Snapshot(revision, live)


def candidate(number, prompt=100, most=1_000, priority=0, deadline=None, kind="k"):
    return Candidate(
        f"c{number}", LengthKey("a", kind), priority, prompt, most, 0.0, deadline
    )


@given("an engine queue with the policy {policy}")
def given_queue(context, policy):
    context.settings = AdmissionSettings(
        policy=policy, capacity_tokens=4_000, slots=4, queue_length=30
    )
    context.queue = EngineQueue(context.settings)
    context.actions = []


def poll(context, now=1.0):
    context.actions = list(context.queue.poll(now))


def teach(context, length):
    """Let the queue learn that answers are `length` tokens long."""
    for number in range(100):
        one = candidate(f"learn{number}")
        context.queue.submit(one, 0.0)
        list(context.queue.poll(0.0))
        context.queue.progress(one.identity, length)
        context.queue.finish(one.identity, whole=True)


def submit_many(context, count, **named):
    for number in range(count):
        context.queue.submit(candidate(number, **named), 1.0)


@when("one request is longer than the engine")
def submit_too_long(context):
    context.queue.submit(candidate("last", prompt=5_000), 1.0)
    poll(context)


@when("more come than the queue holds")
def submit_too_many(context):
    submit_many(context, 30)
    context.queue.submit(candidate("last"), 1.0)
    poll(context)


@when("the queue can't reach a request by its deadline")
def submit_hopeless(context):
    teach(context, 900)
    context.queue.note_rate(0, 0.0)
    context.queue.note_rate(1_000, 10.0)
    submit_many(context, 20, priority=1)
    context.queue.submit(candidate("last", deadline=11.0), 10.0)
    poll(context, 10.0)


@when("an urgent request comes after many others")
def submit_urgent(context):
    submit_many(context, 20, most=3_000)
    context.queue.submit(candidate("last", priority=9), 1.0)
    poll(context)


@when("the engine is empty and the request is huge")
def submit_huge(context):
    context.queue.submit(candidate("last", prompt=3_900, most=9_000), 1.0)
    poll(context)


@when("learned long answers would outgrow the engine")
def submit_long(context):
    teach(context, 900)
    submit_many(context, 20)
    poll(context)


@when("learned short answers leave room")
def submit_short(context):
    teach(context, 20)
    submit_many(context, 20)
    poll(context)


@when("more come than there are slots")
def submit_beyond_slots(context):
    submit_many(context, 20)
    poll(context)


def started(context):
    return [a.candidate.identity for a in context.actions if isinstance(a, Start)]


@then("it is refused at once as {reason}")
@then("the last is refused at once as {reason}")
def check_refused(context, reason):
    refused = [a for a in context.actions if isinstance(a, Refuse)]
    found = {a.candidate.identity: a for a in refused}
    assert found["clast"].reason == reason, refused
    assert reason == "too_long_for_engine" or found["clast"].retry_after >= 1


@then("it is started first of those that wait")
def check_first(context):
    assert started(context)[0] == "clast", started(context)


@then("it is started")
def check_started(context):
    assert started(context) == ["clast"]


@then("fewer are started than fit now")
def check_fewer(context):
    assert 1 <= len(started(context)) <= 4, started(context)


@then("all that fit now are started")
def check_all(context):
    assert len(started(context)) == 20, started(context)


@then("more are started than with the maximum reserved")
def check_more(context):
    assert len(started(context)) > 4_000 // 1_100, started(context)


@then("as many run as there are slots")
def check_slots(context):
    assert context.queue.running_count == 4


CASES = {
    "one gateway": (1, 1.0),
    "four gateways with equal shares": (4, 0.25),
}


@then("with {case} no more than the stated bound is admitted")
def check_limit(context, case):
    gateways, share = CASES[case]
    limits = AccountLimits(20.0, None)
    limiters = [AccountLimiter(share) for _ in range(gateways)]
    seconds = 10
    admitted = 0
    for tick in range(seconds * 100):
        for limiter in limiters:
            admitted += limiter.admit("a", limits, tick / 100) is None
    burst = gateways * max(1.0, 20.0 * share)
    assert admitted <= 20 * seconds + burst, admitted
    assert admitted >= 20 * seconds * 0.9, admitted


@then(
    "{tries:d} first tries with a share of {share:f} allow no more than {most:d} retries"
)
def check_budget(context, tries, share, most):
    budget = RetryBudget(share)
    retries = 0
    for _ in range(tries):
        budget.note_first_try()
        retries += budget.spend()
    assert most * 0.8 <= retries <= most, retries


HALLS = 9


def apertures(gateways, endpoints, size):
    halls = {f"e{n}": f"hall-{n % HALLS}" for n in range(endpoints)}
    return {
        g: choose_aperture(f"g{g}", f"hall-{g % HALLS}", halls, size)
        for g in range(gateways)
    }


@then(
    "with {gateways:d} gateways, {endpoints:d} endpoints and an aperture of {size:d} "
    "every endpoint has {least:d} to {most:d} links"
)
def check_apertures(context, gateways, endpoints, size, least, most):
    chosen = apertures(gateways, endpoints, size)
    links = Counter(name for names in chosen.values() for name in names)
    counts = [links[f"e{n}"] for n in range(endpoints)]
    assert least <= min(counts) and max(counts) <= most, (min(counts), max(counts))
    context.aperture = (gateways, endpoints, size, chosen)


@then(
    "each gateway has some links to other data halls, and one endpoint less "
    "moves few links"
)
def check_remote(context):
    gateways, endpoints, size, chosen = context.aperture
    fewer = apertures(gateways, endpoints - 1, size)
    for gateway, names in chosen.items():
        own = gateway % HALLS
        assert any(int(name[1:]) % HALLS != own for name in names)
        assert len(names - fewer[gateway]) <= 1


@then("an account with one concurrent request is free again when its answer is dropped")
def check_admission(context):
    limiter = AccountLimiter()
    limits = AccountLimits(None, 1)

    async def answer(admission):
        try:
            yield b""
        finally:
            admission.release()

    assert limiter.admit("a", limits, 0.0) is None
    never_begun = answer(Admission(limiter, "a"))
    assert limiter.admit("a", limits, 0.0) is not None
    del never_begun
    assert limiter.admit("a", limits, 0.0) is None
    admission = Admission(limiter, "a")
    admission.release()
    admission.release()
    assert limiter.admit("a", limits, 0.0) is None


class IdleEngine:
    """An engine that is only closed."""

    async def close(self):
        pass


@then("its reader is still told all tokens and the end")
def check_last_frames(context):
    frames = []
    settings_ = AgentSettings("hall", "s", "h:1", "http://p", "http://e")
    queue = EngineQueue(AdmissionSettings())

    async def run():
        runner = GenerationRunner(
            settings_, IdleEngine(), queue, lambda link, frame: frames.append(frame)
        )
        runner.submit(1, Submit(request=1, prompt="p", max_tokens=9))
        (generation,) = runner._generations.values()
        generation.append(0, ("a ", "b "), 0.0)
        generation.end(Ending())
        runner._sender.mark(generation.identity)
        await runner.close()

    trio.run(run)
    assert [frame.WhichOneof("body") for frame in frames] == ["tokens", "ended"]
