"""Steps for a gateway's view of versions, endpoints, peers and the store."""

from __future__ import annotations

from dataclasses import replace
from random import Random
from unittest.mock import patch

from behave import given, then, when
from hypothesis import strategies as st
from support.core_checks import checked, endpoint, fleet_of
from support.peer_reports import peer_report

from piershore.core.attempts.attempt_outcome import (
    AttemptOutcome,
    final_status,
    may_retry,
)
from piershore.core.attempts.leaving import retry_after_seconds
from piershore.core.attempts.retry_budget import RetryBudget, RetryLimits
from piershore.core.fleet.endpoint import EndpointStage
from piershore.core.fleet.endpoint_directory import EndpointDirectory
from piershore.core.fleet.endpoint_health import (
    EndpointHealth,
    FAILURES_BEFORE_EJECTION,
)
from piershore.core.fleet.peer_report import PeerReport
from piershore.core.fleet.peer_table import PeerTable
from piershore.core.fleet.report_timing import (
    peer_timeout,
    report_interval,
    should_forward,
    triggered_report_interval,
)
from piershore.core.fleet.shared_failures import OutcomeCounts, SharedFailures
from piershore.core.fleet.store_silence import is_store_silent, StoreLiveness
from piershore.core.fleet.watchers import should_watch_store, WatchCandidate
from piershore.core.routes.current_configuration import CurrentConfiguration
from piershore.core.routes.route import RequestKind
from piershore.core.routes.serving_configuration import ServingConfiguration
from piershore.ingress.followers.endpoint_follower import SWEEP_SECONDS


@then(
    "no sequence of outcomes leads to an untrue 503 or a second run of a once request"
)
def check_outcomes(context):
    @checked(
        st.lists(st.sampled_from(AttemptOutcome), min_size=1, max_size=6),
        st.sampled_from(RequestKind),
    )
    def check(outcomes, kind):
        made = []
        for outcome in outcomes:
            made.append(outcome)
            if not may_retry(kind, outcome):
                break
        maybe_run = [o for o in made if not o.proves_not_run]
        if kind is not RequestKind.REPEATABLE:
            assert len(maybe_run) <= 1
        if AttemptOutcome.ANSWERED not in made:
            assert (final_status(tuple(made)) == 503) == (not maybe_run)


@then("the version in force never goes back")
def check_versions(context):
    @checked(st.lists(st.integers(1, 50)))
    def check(versions):
        current = CurrentConfiguration()
        highest = 0
        for version in versions:
            is_applied = current.apply_if_newer(
                ServingConfiguration(version, {}, {}, {})
            )
            assert is_applied == (version > highest)
            highest = max(highest, version)
            assert current.version == highest


@then("an endpoint that said it leaves is never given again")
def check_directory(context):
    @checked(st.integers(0, 10_000))
    def check(seed):
        random = Random(seed)
        directory = EndpointDirectory()
        excluded, now = set(), 0.0
        for _ in range(60):
            now += random.random()
            identity = f"i-{random.randrange(6)}"
            action = random.choice(["ready", "leaving", "gone", "lapse", "list"])
            if action == "list":
                names = {f"i-{random.randrange(6)}" for _ in range(4)}
                departed = directory.replace_all(
                    map(endpoint, names),
                    directory.revision + 1,
                    now,
                    after_outage=False,
                )
            elif action in ("ready", "leaving"):
                stage = EndpointStage(action)
                known = directory.get(identity)
                departed = directory.put(endpoint(identity, stage))
                if known is not None and stage is EndpointStage.LEAVING:
                    excluded.add(identity)
            else:
                departed = directory.remove(
                    identity, now, after_outage=action == "lapse"
                )
            departed += directory.drop_expired(now)
            # If only its entry was removed, it was unreachable and may be listed again.
            excluded.update(d.endpoint.identity for d in departed if not d.is_gone)
            assert not excluded & {e.identity for e in directory.of_service("s")}


@then("what is doubted is dropped before 2 seconds have passed, sweeps included")
def check_doubt(context):
    directory = EndpointDirectory()
    for number in range(4):
        directory.put(endpoint(f"i-{number}"))
    assert not directory.remove("i-0", 10.0, after_outage=True)
    assert directory.get("i-0") is not None
    assert directory.drop_expired(12.0 - SWEEP_SECONDS)
    assert directory.get("i-0") is None


@then("in any fleet 2 gateways of each data hall watch, and all when none is heard")
def check_watchers(context):
    @checked(st.lists(st.integers(0, 3), min_size=1, max_size=40))
    def check(halls):
        fleet = [
            WatchCandidate(f"g{n}", f"h{h}", True, 10.0) for n, h in enumerate(halls)
        ]
        watching = watchers_of(fleet)
        for hall in set(halls):
            size = min(2, halls.count(hall))
            found = sum(g.data_hall == f"h{hall}" for g in watching)
            # A fleet of at most two gateways has too few watchers to rely on.
            assert found == size or len(fleet) <= 2, (hall, found)
        without_store = [replace(g, reads_store=False) for g in fleet]
        own = WatchCandidate("x", "h0", True, 10.0)
        assert should_watch_store(own, without_store)
        assert should_watch_store(own, [])


def watchers_of(fleet):
    return [g for g in fleet if should_watch_store(g, [p for p in fleet if p is not g])]


@then("those with wide links watch, and others only where there are too few of them")
def check_wide_watchers(context):
    @checked(st.lists(st.tuples(st.integers(0, 2), st.booleans()), min_size=3))
    def check(gateways):
        fleet = [
            WatchCandidate(f"g{n}", f"h{hall}", True, 200.0 if is_wide else 10.0)
            for n, (hall, is_wide) in enumerate(gateways)
        ]
        watching = watchers_of(fleet)
        for hall in {g.data_hall for g in fleet}:
            wide = [g for g in fleet if g.data_hall == hall and g.link_megabits > 10]
            chosen = [g for g in watching if g.data_hall == hall]
            assert sum(g in wide for g in chosen) == min(2, len(wide))


@then("no window has more retries than the budget allows")
def check_retries(context):
    @checked(st.integers(0, 10_000))
    def check(seed):
        random = Random(seed)
        limits = RetryLimits(ratio=0.2, slack=30, window=10)
        allowance = RetryBudget(limits)
        requests, retries, now = [], [], 0.0
        for _ in range(400):
            now += random.random() / 10
            if random.random() < 0.4:
                allowance.record_request(now)
                requests.append(now)
            elif allowance.spend(now, 1):
                retries.append(now)
            recent = [at for at in requests if at >= now - limits.window]
            spent = [at for at in retries if at >= now - limits.window]
            assert len(spent) <= limits.ratio * len(recent) + limits.slack


@then("it is ejected for a while that doubles, and back after a success")
def check_ejection(context):
    health = EndpointHealth()
    now, lengths = 0.0, []
    for _ in range(3):
        failures = range(FAILURES_BEFORE_EJECTION)
        assert any([health.record_failure("i", now) for _ in failures])
        start = now
        while health.is_ejected("i", now):
            now += 0.1
        lengths.append(round(now - start))
    assert lengths == [1, 2, 4]
    health.record_success("i")
    assert not health.record_failure("i", now)


LOSS_RATE = 0.02
"""Share of the datagrams that a busy network loses."""


@then("with {gateways:d} gateways each counts all others as living, at any time")
def check_all_living(context, gateways):
    hosts = [f"10.0.0.{number}" for number in range(gateways)]
    table = PeerTable(hosts[0], hosts, 0.0)
    interval = report_interval(gateways - 1)
    random = Random(gateways)
    for number in range(1, 40):
        for host in hosts[1:]:
            is_lost = number > 1 and random.random() < LOSS_RATE
            if not is_lost:
                table.apply_report(peer_report(host, number), number * interval)
        assert len(table.live_peers((number + 0.9) * interval)) == gateways - 1
    later = (number + 1) * interval + peer_timeout(gateways - 1)
    assert not table.live_peers(later)


@then(
    "simultaneous failures cost each of {gateways:d} gateways at most {most:d} datagrams "
    "per second"
)
def check_news(context, gateways, most):
    assert (gateways - 1) / triggered_report_interval(gateways - 1) <= most


@then(
    "of {gateways:d} gateways about {number:d} forward a departure, or all others if "
    "there are fewer"
)
def check_passing_on(context, gateways, number):
    peers = gateways - 1
    random = Random(peers)
    rounds = 200
    forwarded = sum(
        should_forward(peers, random.random()) for _ in range(rounds * peers)
    )
    expected = min(peers, number)
    assert abs(forwarded / rounds - expected) < 1, forwarded


@then("it is the same from any order, another after each change, and worked out once")
def check_fingerprint(context):
    endpoints = list(fleet_of(5))
    one, other = EndpointDirectory(), EndpointDirectory()
    fingerprints = set()
    for listed in endpoints:
        one.put(listed)
        fingerprints.add(one.fingerprint)
    for listed in reversed(endpoints):
        other.put(listed)
    assert one.fingerprint == other.fingerprint
    one.mark_leaving("i-0")
    fingerprints.add(one.fingerprint)
    one.remove("i-1", 0.0, after_outage=False)
    fingerprints.add(one.fingerprint)
    assert len(fingerprints) == len(endpoints) + 2
    one.put(endpoints[2])
    with patch.object(EndpointDirectory, "__iter__", side_effect=AssertionError):
        assert one.fingerprint in fingerprints


def parse_store_liveness(text):
    """Parse signs like "0.2, 4 overdue": seconds since an answer, by gateway."""
    for word in text.split(","):
        age, _, mark = word.strip().partition(" ")
        yield StoreLiveness(float(age), mark == "overdue")


@then("with the gateways' last answers {ages} s ago the store {state}")
def check_store_state(context, ages, state):
    expected = {"seems silent": True, "does not seem silent": False}[state]
    assert is_store_silent(parse_store_liveness(ages)) is expected


@then("a report tells of the store's last answer, also if there was none")
def check_sign_told(context):
    for sent, received in (
        ((0.5, True), (0.5, True)),
        ((float("inf"), False), (3_600.0, False)),
    ):
        report = replace(
            peer_report("10.0.0.1", 1), store_liveness=StoreLiveness(*sent)
        )
        assert PeerReport.decode(report.encode()).store_liveness == StoreLiveness(
            *received
        )


@given("gateways that were told to stop {ago} s ago, with a grace of {grace:g} s")
def given_stopping(context, ago, grace):
    context.stopped = [-float(word) for word in ago.split(",")]
    context.grace = grace


@when("others {others}")
def given_others(context, others):
    context.seconds = retry_after_seconds(
        context.stopped, context.grace, 0.0, others_stay=others == "stay"
    )


@then("a refused caller is told to come back in {seconds:g} s")
def check_come_back(context, seconds):
    assert abs(context.seconds - seconds) < 1e-6, context.seconds


@given('the outcomes "{outcomes}" at an endpoint, of this gateway and its peers')
def given_outcomes(context, outcomes):
    context.shared = SharedFailures()
    for number, word in enumerate(outcomes.split(", ")):
        failures, successes = map(int, word.split("/"))
        if number:
            report = {"i-0": OutcomeCounts(failures, successes)}
            context.shared.apply_report(f"peer-{number}", report, 0.0)
            continue
        for failed in [True] * failures + [False] * successes:
            context.shared.record("i-0", 0.0, failed=failed)


@then("they {verdict} that the endpoint fails")
def check_shared(context, verdict):
    assert context.shared.is_failing("i-0", 0.1) is (verdict == "show")


@then("successes are told only where somebody sees failures, and for 0.7 s")
def check_told(context):
    shared = SharedFailures()
    shared.record("i-0", 0.0, failed=False)
    assert shared.report(0.1) == {}
    shared.apply_report("peer", {"i-0": OutcomeCounts(2, 0)}, 0.2)
    assert shared.report(0.3) == {"i-0": OutcomeCounts(0, 1)}
    shared.record("i-1", 0.5, failed=True)
    assert shared.report(0.6) == {
        "i-0": OutcomeCounts(0, 1),
        "i-1": OutcomeCounts(1, 0),
    }
    assert shared.report(0.8) == {"i-1": OutcomeCounts(1, 0)}
    assert shared.report(1.3) == {}
    report = replace(peer_report("10.0.0.1", 1), outcomes={"i-1": OutcomeCounts(1, 2)})
    assert PeerReport.decode(report.encode()).outcomes == {"i-1": OutcomeCounts(1, 2)}
