"""The promises, checked from what callers and endpoints saw."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator
from http import HTTPStatus
from math import inf

from devtools.overlapping_runs import overlapping_runs
from devtools.rate_window import allowed_requests, most_in_window, TOLD_SECONDS
from devtools.soak.callers import Call, Callers
from devtools.soak.crashing_caller import KIND as CRASHING
from devtools.soak.faults import Troubles
from devtools.soak.fleet import ACCOUNTS, DRAIN_SECONDS, Fleet, SoakEndpoint
from devtools.soak.outages import Outages
from standins.published_endpoint import AskedRest, PublishedEndpoint

NOT_RUN_STATUSES = (408, 421, 429, 503)
NO_ENDPOINT_CODES = (b'"no_endpoint"', b'"endpoints_resting"')
CONTACT_SECONDS = 3.0
"""A gateway that was disturbed is not held to times for so long."""
DRAIN_SLACK_SECONDS = 0.5
CRASHES_KNOWN, MOST_SENT_ON = 3, 3
LEAVES, RATE_LIMIT = "server-leaving", "server-limit"
IN_TRANSIT_SECONDS, MOST_IN_REST = 0.5, 2
"""Calls on their way may still come so long after an endpoint has asked for rest, and
so many later."""
NEWS_SECONDS = 1.0
"""Gateways know of a crash so long after it."""
END_SECONDS = 0.3
"""What breaks so long before a process is seen to have ended was cut by its end."""
LEAST_SERVED_SHARE = 0.25
MOST_HELD_SHARE = 0.05
"""Sound requests that may be held because they share parts with others: what they have
in common is suspected until an answer that began after the crashes clears it."""

Place = tuple[str, int, str]
"""A gateway, its life, and an endpoint."""


def find_broken(
    fleet: Fleet, callers: Callers, troubles: Troubles, outages: Outages
) -> Iterator[str]:
    """Yield each promise that was broken, with its place."""
    runs: Counter[str] = Counter()
    for standin in fleet.standins():
        runs.update(standin.runs)
    known = {call.identity: call for call in callers.calls}
    yield from troubles.bad_exits
    yield from _unasked(fleet, known)
    for call in callers.calls:
        yield from _one_call(call, runs[call.identity])
    yield from _versions(callers.calls)
    yield from _leaving(fleet, known, troubles)
    yield from _told_leaving(fleet, callers.calls, known)
    yield from _rests(fleet, known)
    yield from _rates(fleet, callers.calls, known)
    yield from _crashing(fleet, known)
    yield from _held_with_parts(callers.calls)
    yield from find_lost_service(callers.calls, outages)
    yield from _faults_of_the_program(fleet)


def find_broken_by_planned_work(fleet: Fleet, callers: Callers) -> Iterator[str]:
    """Yield each promise that was broken where nothing but planned work was played."""
    for overlap in overlapping_runs(fleet.standins()):
        yield (
            f"{overlap.earlier.identity}: {overlap.engine} worked on it for "
            f"{overlap.seconds:.2f} s after it went on at {overlap.later_engine}"
        )
    reached = {a.identity for s in fleet.standins() for a in s.arrivals}
    stops = {(g.name, stop.life): stop for g in fleet.gateways for stop in g.stops}
    for call in callers.calls:
        stop = stops.get((call.gateway, call.life))
        if stop is None or call.is_whole or call.has_left:
            continue
        was_cut = call.ended_at > stop.ended_at - END_SECONDS
        is_late = call.sent_at > stop.told_at and call.identity in reached
        if was_cut and is_late:
            after = call.sent_at - stop.told_at
            place = f"{call.kind} {call.identity} at {call.gateway}"
            yield f"{place}: taken {after:.2f} s after the stop, and cut at its end"


def _one_call(call: Call, runs: int) -> Iterator[str]:
    place = f"{call.kind} {call.identity} at {call.gateway}"
    most = 2 if call.kind in ("again", "version") else 1
    if runs > most:
        yield f"{place}: ran {runs} times"
    if call.status in NOT_RUN_STATUSES and runs and most == 1:
        yield f"{place}: told {call.status}, and ran"
    if _is_held(call) and not call.shares_parts:
        yield f"{place}: held, and no endpoint crashed under it"
    if call.status == 401:
        yield f"{place}: its key was refused"
    if call.status != 200:
        return
    if call.headers.get("response-seal") != f"seal.{call.identity}":
        yield f"{place}: a success with another seal"
    if call.kind == "stream":
        yield from _stream(place, call)
    elif call.is_whole and f'"request":"{call.identity}"'.encode() not in call.body:
        yield f"{place}: got another answer: {call.body!r}"


def _stream(place: str, call: Call) -> Iterator[str]:
    lines = call.body.decode().splitlines()
    numbers = [int(line[4:]) for line in lines if line.startswith("id: ")]
    if numbers != list(range(1, len(numbers) + 1)):
        yield f"{place}: events out of order: {numbers[:5]} to {numbers[-5:]}"
    if call.is_whole and len(numbers) != call.events_wanted:
        yield f"{place}: looks whole with {len(numbers)} of {call.events_wanted}"


def _unasked(fleet: Fleet, known: dict[str, Call]) -> Iterator[str]:
    for standin in fleet.standins():
        for arrival in standin.arrivals:
            call = known.get(arrival.identity)
            if call is None:
                what = f"{arrival.identity!r} for {arrival.headers.get('host')}"
                what += f", {arrival.request.target.decode()}"
                yield f"{standin.identity}: {what} was never sent"
            elif arrival.headers.get("tenant") != ACCOUNTS[call.account]:
                yield f"{standin.identity}: {call.identity} with another account"


def _versions(calls: list[Call]) -> Iterator[str]:
    """Within one life a gateway serves all versions that it has served once."""
    served: dict[tuple[str, int], tuple[int, float]] = defaultdict(lambda: (0, 0.0))
    of_versions = [call for call in calls if call.kind == "version"]
    ordered = sorted(of_versions, key=lambda call: call.ended_at)
    for call in ordered:
        life = (call.gateway, call.life)
        highest, since = served[life]
        if call.status == 200 and call.version > highest:
            served[life] = (call.version, call.ended_at)
        elif call.status == 404 and call.version <= highest and call.sent_at > since:
            yield f"{call.gateway}: version {call.version} gone after {highest}"


def _leaving(fleet: Fleet, known: dict[str, Call], troubles: Troubles) -> Iterator[str]:
    disturbed = {g.name: g.undisturbed_since for g in fleet.gateways}
    allowed = DRAIN_SECONDS + DRAIN_SLACK_SECONDS
    for endpoint in fleet.endpoints:
        for standin in (*endpoint.past, endpoint.standin):
            left = endpoint.left_at.get(standin.identity)
            if left is None:
                continue
            for arrival in standin.arrivals:
                call = known.get(arrival.identity)
                if call is None or arrival.at < left + allowed:
                    continue
                calm_since = max(disturbed[call.gateway], troubles.store_bad_until)
                if arrival.at > calm_since + CONTACT_SECONDS:
                    late = arrival.at - left
                    yield f"{standin.identity}: new work {late:.1f} s after it left"


def _passed_on(calls: list[Call], header: str) -> dict[Place, float]:
    """Return when each life of a gateway first passed on an endpoint's header."""
    passed_on: dict[Place, float] = {}
    for call in calls:
        if call.is_whole and header in call.headers:
            place = (call.gateway, call.life, call.headers["instance-id"])
            passed_on[place] = min(call.ended_at, passed_on.get(place, call.ended_at))
    return passed_on


def _told_leaving(
    fleet: Fleet, calls: list[Call], known: dict[str, Call]
) -> Iterator[str]:
    """What a gateway has passed on with an endpoint's notice binds that gateway."""
    told = _passed_on(calls, LEAVES)
    disturbed = {g.name: g.undisturbed_since for g in fleet.gateways}
    for standin in fleet.standins():
        for arrival in standin.arrivals:
            call = known.get(arrival.identity)
            if call is None:
                continue
            place = (call.gateway, call.life, standin.identity)
            at = told.get(place, inf)
            if call.sent_at > max(at, disturbed[call.gateway]) + DRAIN_SECONDS:
                late = call.sent_at - at
                yield f"{standin.identity}: sent {late:.1f} s after it told it leaves"


def _rests(fleet: Fleet, known: dict[str, Call]) -> Iterator[str]:
    """An endpoint that has asked a gateway for rest gets hardly anything from it."""
    disturbed = {g.name: g.undisturbed_since for g in fleet.gateways}
    for endpoint in fleet.endpoints:
        for standin in (*endpoint.past, endpoint.standin):
            for rest in standin.rests:
                call = known.get(rest.identity)
                calm_since = endpoint.link.disturbed_at
                if call is None or _was_left(call, rest):
                    continue
                if rest.at < max(disturbed[call.gateway], calm_since):
                    continue
                count = _within(standin, rest, call, known)
                if count > MOST_IN_REST:
                    place = f"{standin.identity}: {count} calls"
                    yield f"{place} in {rest.seconds:.1f} s of rest"


def _was_left(call: Call, rest: AskedRest) -> bool:
    """Tell whether a caller had gone before the answer that asks for rest came.

    Its gateway had let go of the endpoint's connection then: the rest was told to
    nobody.
    """
    return call.status is None and call.ended_at < rest.at + IN_TRANSIT_SECONDS


def _within(
    standin: PublishedEndpoint, rest: AskedRest, asked: Call, known: dict[str, Call]
) -> int:
    """Count what the same life of a gateway sends within a rest."""
    sender = (asked.gateway, asked.life)
    return sum(
        rest.at + IN_TRANSIT_SECONDS < arrival.at < rest.at + rest.seconds
        and (call := known.get(arrival.identity)) is not None
        and (call.gateway, call.life) == sender
        for arrival in standin.arrivals
    )


def _rates(fleet: Fleet, calls: list[Call], known: dict[str, Call]) -> Iterator[str]:
    """Gateways that have passed a rate on send an endpoint no more than it takes."""
    passed_on = _passed_on(calls, RATE_LIMIT)
    for endpoint in fleet.endpoints:
        for standin in (*endpoint.past, endpoint.standin):
            if not standin.named:
                continue
            first, last = standin.named[0], standin.named[-1]
            times = _bound_arrivals(fleet, endpoint, standin, passed_on, known)
            within = [at for at in times if at <= last.at]
            most = most_in_window(within, first.at + CONTACT_SECONDS)
            if most > allowed_requests(float(first.rate)):
                place = f"{standin.identity}: {most} requests"
                yield f"{place} in 4 s, having named {first.rate} a second"


def _bound_arrivals(
    fleet: Fleet,
    endpoint: SoakEndpoint,
    standin: PublishedEndpoint,
    passed_on: dict[Place, float],
    known: dict[str, Call],
) -> Iterator[float]:
    """Yield when requests came of undisturbed gateways that knew of the rate."""
    disturbed = {g.name: g.undisturbed_since for g in fleet.gateways}
    for arrival in standin.arrivals:
        call = known.get(arrival.identity)
        if call is None:
            continue
        told = passed_on.get((call.gateway, call.life, standin.identity), inf)
        calm_since = max(disturbed[call.gateway], endpoint.link.disturbed_at)
        if arrival.at >= max(told + TOLD_SECONDS, calm_since + CONTACT_SECONDS):
            yield arrival.at


def _crashing(fleet: Fleet, known: dict[str, Call]) -> Iterator[str]:
    """Once three endpoints have crashed under a request, hardly any gets it."""
    crashes = sorted(s.crashed_at for s in fleet.standins() if s.crashed_at)
    if len(crashes) < CRASHES_KNOWN:
        return
    disturbed = {g.name: g.undisturbed_since for g in fleet.gateways}
    known_at = crashes[CRASHES_KNOWN - 1] + NEWS_SECONDS
    arrivals = (arrival for s in fleet.standins() for arrival in s.arrivals)
    late = [
        arrival
        for arrival in arrivals
        if (call := known.get(arrival.identity)) is not None
        and call.kind == CRASHING
        and arrival.at > max(known_at, disturbed[call.gateway] + CONTACT_SECONDS)
    ]
    if len(late) > MOST_SENT_ON:
        yield f"{len(crashes)} crashed under a request, sent {len(late)} times since"


def _is_held(call: Call) -> bool:
    """Return whether a request was held though nothing crashes under it."""
    return call.status == HTTPStatus.TOO_MANY_REQUESTS and call.kind != CRASHING


def _held_with_parts(calls: list[Call]) -> Iterator[str]:
    """Sound requests that share parts with those that crash engines are served."""
    sound = [call for call in calls if call.shares_parts and call.kind != CRASHING]
    held = sum(map(_is_held, sound))
    if held > MOST_HELD_SHARE * len(sound):
        yield f"{held} of {len(sound)} sound requests held that share parts"


def find_lost_service(calls: list[Call], outages: Outages) -> Iterator[str]:
    """Yield a finding if most requests that endpoints could take weren't served."""
    counted = [
        call
        for call in calls
        if call.kind != CRASHING and not _is_refused_in_outage(call, outages)
    ]
    served = sum(call.status == HTTPStatus.OK for call in counted)
    if served < LEAST_SERVED_SHARE * len(counted):
        yield f"only {served} of {len(counted)} requests were served"


def _is_refused_in_outage(call: Call, outages: Outages) -> bool:
    """Return whether a call was refused while no endpoint took new requests.

    Callers come again at once, so that such refusals soon outnumber all other answers.
    """
    if call.status != HTTPStatus.SERVICE_UNAVAILABLE:
        return False
    if not any(code in call.body for code in NO_ENDPOINT_CODES):
        return False
    service = "model" if call.events_wanted else "desk"
    return outages.covers(service, call.sent_at, call.ended_at)


def _faults_of_the_program(fleet: Fleet) -> Iterator[str]:
    for gateway in fleet.gateways:
        text = gateway.log.read_text(errors="replace")
        for line in text.splitlines():
            if "internal_error" in line or line.startswith("Traceback"):
                yield f"{gateway.name}: {line[:500]}"
