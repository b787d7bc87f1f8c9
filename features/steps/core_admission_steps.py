"""Steps for the queue in front of an engine, without any I/O."""

from __future__ import annotations

from behave import given, then, when

from piershore.core.admission.actions import Refuse, Start
from piershore.core.admission.candidate import Candidate, LengthKey
from piershore.core.admission.engine_queue import EngineQueue
from piershore.core.configuration.objects import AdmissionSettings


def candidate(
    number, prompt=100, max_tokens=1_000, priority=0, deadline=None, kind="k"
):
    return Candidate(
        f"c{number}", LengthKey("a", kind), priority, prompt, max_tokens, 0.0, deadline
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


def train(context, length):
    """Train the queue with answers of `length` tokens."""
    for number in range(100):
        one = candidate(f"learn{number}")
        context.queue.submit(one, 0.0)
        list(context.queue.poll(0.0))
        context.queue.record_progress(one.identity, length)
        context.queue.finish(one.identity, is_complete=True)


def submit_many(context, count, **named):
    for number in range(count):
        context.queue.submit(candidate(number, **named), 1.0)


@when("one request exceeds the engine's memory")
def submit_too_long(context):
    context.queue.submit(candidate("last", prompt=5_000), 1.0)
    poll(context)


@when("more requests arrive than the queue holds")
def submit_too_many(context):
    submit_many(context, 30)
    context.queue.submit(candidate("last"), 1.0)
    poll(context)


@when("the queue can't reach a request by its deadline")
def submit_unreachable(context):
    train(context, 900)
    context.queue.record_tokens(0, 0.0)
    context.queue.record_tokens(1_000, 10.0)
    submit_many(context, 20, priority=1)
    context.queue.submit(candidate("last", deadline=11.0), 10.0)
    poll(context, 10.0)


@when("an urgent request arrives after many others")
def submit_urgent(context):
    submit_many(context, 20, max_tokens=3_000)
    context.queue.submit(candidate("last", priority=9), 1.0)
    poll(context)


@when("the engine is empty and the request is huge")
def submit_huge(context):
    context.queue.submit(candidate("last", prompt=3_900, max_tokens=9_000), 1.0)
    poll(context)


@when("learned long answers would exceed the engine's memory")
def submit_long(context):
    train(context, 900)
    submit_many(context, 20)
    poll(context)


@when("learned short answers leave memory free")
def submit_short(context):
    train(context, 20)
    submit_many(context, 20)
    poll(context)


@when("more requests arrive than there are slots")
def submit_beyond_slots(context):
    submit_many(context, 20)
    poll(context)


def started(context):
    return [a.candidate.identity for a in context.actions if isinstance(a, Start)]


@then("it is refused immediately as {reason}")
@then("the last is refused immediately as {reason}")
def check_refused(context, reason):
    refused = [a for a in context.actions if isinstance(a, Refuse)]
    found = {a.candidate.identity: a for a in refused}
    assert found["clast"].reason == reason, refused
    assert reason == "too_long_for_engine" or found["clast"].retry_after >= 1


@then("it is the first waiting request to be started")
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


@then("more are started than if each reserved its maximum")
def check_more(context):
    assert len(started(context)) > 4_000 // 1_100, started(context)


@then("as many run as there are slots")
def check_slots(context):
    assert context.queue.running_count == 4
