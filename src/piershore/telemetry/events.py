"""Typed events of the gateway's log; a field has the same name in all of them.

Times are seconds, `request` is the caller's id, `endpoint` an endpoint's identity.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class LogEvent:
    """Base of all events; the class's name is the event's name."""


@dataclass(frozen=True)
class ProcessStarted(LogEvent):
    """The process runs and listens."""

    incarnation: str
    data_hall: str


@dataclass(frozen=True)
class ProcessStopping(LogEvent):
    """The process was told to stop."""

    in_flight: int


@dataclass(frozen=True)
class ProcessStopped(LogEvent):
    """The process ends; `cut_off` requests were still under way."""

    cut_off: int


@dataclass(frozen=True)
class SettingsChanged(LogEvent):
    """The platform said that the settings file changed."""

    applied: bool
    reason: str


@dataclass(frozen=True)
class ConfigurationInForce(LogEvent):
    """A newer configuration is in force; `source` is the store or a peer."""

    version: int
    routes: int
    source: str


@dataclass(frozen=True)
class DocumentReadEnded(LogEvent):
    """A read of a document from a peer ended; `reason` is empty if it is whole.

    `received` bytes came in `seconds`.
    """

    document: str
    peer: str
    received: int
    seconds: float
    reason: str


@dataclass(frozen=True)
class ReportShortened(LogEvent):
    """Reports to peers, of `size` bytes, no longer fit into `limit`, or fit again.

    What peers can do without is left out of those that don't.
    """

    size: int
    limit: int
    fits: bool


@dataclass(frozen=True)
class DependencyLost(LogEvent):
    """A part of the platform or a peer no longer answers."""

    dependency: str
    reason: str


@dataclass(frozen=True)
class DependencyRegained(LogEvent):
    """It answers again."""

    dependency: str
    seconds: float


@dataclass(frozen=True)
class InvalidEntry(LogEvent):
    """Something in the store can't be read and was passed over."""

    kind: str
    reason: str


@dataclass(frozen=True)
class StoreReturned(LogEvent):
    """The store has come back from an older copy, and its revisions with it.

    `dependency` is what was read first in the new era.
    """

    dependency: str
    era_before: int
    era: int
    revision_before: int
    revision: int


@dataclass(frozen=True)
class EndpointLeft(LogEvent):
    """An endpoint gets no new work; `streams` of this gateway are there."""

    endpoint: str
    service: str
    is_gone: bool
    is_restarted: bool
    streams: int
    revision: int


@dataclass(frozen=True)
class EndpointTold(LogEvent):
    """An endpoint's answer with this status said something new of the endpoint itself.

    It leaves, wants nothing from this gateway for `rest_seconds`, or takes only
    `rate_limit` requests a second from all gateways; `unreadable` is what it sent in
    place of a rate.
    """

    endpoint: str
    service: str
    status: int
    is_leaving: bool
    rest_seconds: float | None
    rate_limit: float | None
    unreadable: str


@dataclass(frozen=True)
class EndpointLimitChanged(LogEvent):
    """An endpoint takes `rate` requests a second from all gateways, or any if None.

    This gateway may send it `part` requests in any `window` seconds; `source` is
    "endpoint" or the peer that told of it.
    """

    endpoint: str
    rate: float | None
    part: int | None
    window: float | None
    source: str


@dataclass(frozen=True)
class HallDrained(LogEvent):
    """Nothing new is sent to a data hall any more, or again if `is_drained` is false.

    `streams` of this gateway go on in all drained halls; `source` is the store or a
    peer.
    """

    data_hall: str
    is_drained: bool
    streams: int
    revision: int
    source: str


@dataclass(frozen=True)
class EndpointEjected(LogEvent):
    """An endpoint is left out for a while: it failed several times in a row, or it
    fell silent and did not answer a question.
    """

    endpoint: str
    failure_rate: float
    reason: str


@dataclass(frozen=True)
class EndpointView:
    """What was believed of an endpoint that was not chosen."""

    endpoint: str
    cost: float
    known_requests: int
    known_tokens: int


@dataclass(frozen=True)
class AttemptStarted(LogEvent):
    """An endpoint was chosen; costs compare it with what else there was.

    `content` is the same for each request of an `account` with the same target and
    body. `others` are the next best ones, `ejected` those that were left out, `resting`
    those that want nothing now; `view_age` is the age of the oldest report of a peer
    that the loads rest on. `limited` are those that have got this gateway's part of the
    rate that they take. A generation's output is expected to be `expected_tokens` long.
    """

    request: str
    endpoint: str
    route: str
    account: str
    content: str
    attempt: int
    cost: float
    known_requests: int
    known_tokens: int
    config_version: int
    prompt_tokens: int = 0
    hinted_tokens: int | None = None
    most_tokens: int = 0
    expected_tokens: int = 0
    view_age: float = 0.0
    others: tuple[EndpointView, ...] = ()
    ejected: tuple[str, ...] = ()
    resting: tuple[str, ...] = ()
    limited: tuple[str, ...] = ()


@dataclass(frozen=True)
class AttemptEnded(LogEvent):
    """An attempt did not lead to an answer for the caller."""

    request: str
    endpoint: str
    outcome: str
    reason: str
    seconds: float


@dataclass(frozen=True)
class RequestSuspected(LogEvent):
    """An endpoint crashed while it began to run a request.

    It is the request's `crashes`-th; `held` is for how many seconds it is not sent
    on now, or None if it still is.
    """

    request: str
    endpoint: str
    content: str
    crashes: int
    held: float | None


@dataclass(frozen=True)
class RequestHeld(LogEvent):
    """Peers told of crashes under a request, so it `is_held` now, or no longer."""

    content: str
    is_held: bool
    endpoints: tuple[str, ...]
    held: float | None


@dataclass(frozen=True)
class RequestExcused(LogEvent):
    """A request that was suspected has run well."""

    request: str
    content: str


@dataclass(frozen=True)
class RequestRefused(LogEvent):
    """The gateway answered by itself."""

    request: str
    status: int
    code: str
    retry_after: float | None
    config_version: int
    seconds: float


@dataclass(frozen=True)
class RequestAnswered(LogEvent):
    """The caller got an endpoint's whole answer; `aim` is the route's latency aim."""

    request: str
    endpoint: str
    status: int
    attempts: int
    seconds: float
    first_seconds: float
    longest_pause: float = 0.0
    moves: int = 0
    made_tokens: int = 0
    aim: float | None = None


@dataclass(frozen=True)
class CallerGone(LogEvent):
    """The caller closed before its answer was whole."""

    request: str
    seconds: float


@dataclass(frozen=True)
class InternalError(LogEvent):
    """A fault of the program, with the place where it was raised."""

    task: str
    error: str
    place: str


@dataclass(frozen=True)
class StreamBrokenOff(LogEvent):
    """A stream can't go on; the caller sees that it isn't whole."""

    request: str
    endpoint: str
    reason: str
    last_event: int
    seconds: float


@dataclass(frozen=True)
class StreamSilent(LogEvent):
    """No event came for longer than the endpoint's pace allows (`longest_pause`).

    `answered` tells whether the endpoint answered when it was asked, `verdict` what
    is done with the stream.
    """

    request: str
    endpoint: str
    seconds: float
    longest_pause: float
    answered: bool
    verdict: str
    last_event: int


@dataclass(frozen=True)
class MoveStarted(LogEvent):
    """A generation's memory is being copied to another endpoint."""

    request: str
    endpoint: str
    target: str
    held_tokens: int
    reason: str


@dataclass(frozen=True)
class MoveEnded(LogEvent):
    """A move ended; without success the generation stays where it was."""

    request: str
    endpoint: str
    target: str
    result: str
    seconds: float


@dataclass(frozen=True)
class StreamContinued(LogEvent):
    """A stream goes on at another endpoint after its last event."""

    request: str
    endpoint: str
    last_event: int
    pause: float


@dataclass(frozen=True)
class EventsOmitted(LogEvent):
    """Lines left out, since the budget or the reader's pace didn't allow more."""

    count: int
