"""Typed events of the gateway's log; a field has the same meaning in all of them.

Times are in seconds, `request` is the caller's request id, `endpoint` an endpoint's
identity.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class LogEvent:
    """Base of all events; the event's name is the class name in snake case."""


@dataclass(frozen=True)
class ProcessStarted(LogEvent):
    """The process has started and accepts connections."""

    incarnation: str
    data_hall: str


@dataclass(frozen=True)
class ProcessStopping(LogEvent):
    """The process received a signal to stop."""

    in_flight: int


@dataclass(frozen=True)
class ProcessStopped(LogEvent):
    """The process exits; `cut_off` requests were still in flight."""

    cut_off: int


@dataclass(frozen=True)
class RequestCutOff(LogEvent):
    """The process exits during a request that it had accepted.

    `seconds` since the request arrived; `stopping_seconds` is how long the process had
    been stopping by then, negative if it arrived before.
    """

    request: str
    seconds: float
    stopping_seconds: float


@dataclass(frozen=True)
class SettingsChanged(LogEvent):
    """The platform signalled that the settings file has changed."""

    applied: bool
    reason: str


@dataclass(frozen=True)
class ConfigurationInForce(LogEvent):
    """A newer configuration took effect; `source` is the store or a peer."""

    version: int
    routes: int
    source: str


@dataclass(frozen=True)
class DocumentReadEnded(LogEvent):
    """A read of a document from a peer ended; `reason` is empty if it is complete.

    `received` is the number of bytes received in `seconds`.
    """

    document: str
    peer: str
    received: int
    seconds: float
    reason: str


@dataclass(frozen=True)
class ReportShortened(LogEvent):
    """Reports to peers, of `size` bytes, exceed `limit` bytes, or fit again.

    Optional parts are left out of a report that exceeds the limit.
    """

    size: int
    limit: int
    fits: bool


@dataclass(frozen=True)
class DependencyLost(LogEvent):
    """A service of the platform or a peer no longer responds."""

    dependency: str
    reason: str


@dataclass(frozen=True)
class DependencyRegained(LogEvent):
    """The dependency responds again, after `seconds`."""

    dependency: str
    seconds: float


@dataclass(frozen=True)
class InvalidEntry(LogEvent):
    """An entry of the store can't be decoded and was skipped."""

    kind: str
    reason: str


@dataclass(frozen=True)
class StoreReturned(LogEvent):
    """The store was restored from an older copy, so its revisions went back.

    `dependency` names the data that was read first in the new era.
    """

    dependency: str
    era_before: int
    era: int
    revision_before: int
    revision: int


@dataclass(frozen=True)
class EndpointLeft(LogEvent):
    """An endpoint gets no new requests: it leaves, was removed, or was restarted.

    `streams` counts this gateway's streams there.
    """

    endpoint: str
    service: str
    is_gone: bool
    is_restarted: bool
    streams: int
    revision: int


@dataclass(frozen=True)
class EndpointTold(LogEvent):
    """An endpoint's answer with this status carried a new notice.

    The endpoint leaves, asks this gateway to back off for `rest_seconds`, or accepts
    only `rate_limit` requests per second from all gateways; `unreadable` is a value
    that it sent for the rate and that can't be parsed.
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
    """The rate limit of an endpoint changed.

    It accepts `rate` requests per second from all gateways together, or any if None.
    This gateway may send it `part` requests in any `window` seconds; `source` is
    "endpoint" or the peer that reported the rate.
    """

    endpoint: str
    rate: float | None
    part: int | None
    window: float | None
    source: str


@dataclass(frozen=True)
class HallDrained(LogEvent):
    """A data hall was drained, so it gets no new requests, or is no longer drained.

    `streams` counts this gateway's streams that continue in all drained data halls;
    `source` is the store or a peer.
    """

    data_hall: str
    is_drained: bool
    streams: int
    revision: int
    source: str


@dataclass(frozen=True)
class EndpointEjected(LogEvent):
    """An endpoint was ejected: excluded from the choice for a while.

    It failed several times in a row, or it was silent and did not answer a probe.
    """

    endpoint: str
    failure_rate: float
    reason: str


@dataclass(frozen=True)
class EndpointView:
    """The estimated load of an endpoint that was not chosen."""

    endpoint: str
    cost: float
    known_requests: int
    known_tokens: int


@dataclass(frozen=True)
class AttemptStarted(LogEvent):
    """An endpoint was chosen for an attempt; its `cost` compares it with `others`.

    `content` is the same for each request of an `account` with the same target and
    body. `others` are the next best endpoints. Not available were those `ejected`,
    those `resting` (they asked callers to back off) and those `limited` (this gateway
    has used up its quota of their rate limit). `view_age` is the age of the oldest peer
    report that the loads are based on. `expected_tokens` is the expected length of a
    generation's output, `slowness` the endpoint's time per token relative to its
    service, None if it isn't known or the endpoints don't differ. `parts` are the ids
    of the first parts of a prompt, without the last one.
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
    slowness: float | None = None
    parts: tuple[str, ...] = ()


@dataclass(frozen=True)
class EndpointSpeedLearned(LogEvent):
    """This gateway has a first estimate of an endpoint's speed, or one that differs.

    `token_seconds` is its own time per token, from `samples` of this gateway, and
    `slowness` relates it to the service, whose median is `usual_token_seconds`.
    `reporters` is the number of peers that report on it too.
    """

    endpoint: str
    service: str
    token_seconds: float
    samples: int
    slowness: float
    usual_token_seconds: float
    reporters: int


@dataclass(frozen=True)
class AttemptEnded(LogEvent):
    """An attempt ended without an answer for the caller."""

    request: str
    endpoint: str
    outcome: str
    reason: str
    seconds: float


@dataclass(frozen=True)
class RequestSuspected(LogEvent):
    """An endpoint crashed just after it began to run a request.

    `crashes` counts the crashes so far under the same content; `held` is for how many
    seconds the request is quarantined, or None if it isn't. `quarantined` are the
    contents and traits for which it is held.
    """

    request: str
    endpoint: str
    content: str
    crashes: int
    held: float | None
    quarantined: tuple[str, ...] = ()


@dataclass(frozen=True)
class RequestHeld(LogEvent):
    """Crash reports of peers put a content or trait into quarantine or released it.

    `held` is for how many seconds a whole request is quarantined.
    """

    content: str
    is_held: bool
    endpoints: tuple[str, ...]
    held: float | None


@dataclass(frozen=True)
class RequestExcused(LogEvent):
    """A suspected content or trait had an answer without a crash."""

    request: str
    content: str


@dataclass(frozen=True)
class StoreAccessChanged(LogEvent):
    """The store has turned silent towards this gateway, or answers it again."""

    is_answering: bool


@dataclass(frozen=True)
class UnframedAnswerEnded(LogEvent):
    """An answer without length or chunks ended with its connection.

    It counts as complete only if its endpoint `is_serving` afterwards.
    """

    request: str
    endpoint: str
    is_serving: bool


@dataclass(frozen=True)
class RequestRefused(LogEvent):
    """The gateway refused a request itself, with this status and code."""

    request: str
    status: int
    code: str
    retry_after: float | None
    config_version: int
    seconds: float


@dataclass(frozen=True)
class RequestAnswered(LogEvent):
    """The caller received an endpoint's complete answer.

    `aim` is the route's target latency.
    """

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
    """The caller closed the connection before its answer was complete."""

    request: str
    seconds: float


@dataclass(frozen=True)
class InternalError(LogEvent):
    """An unexpected exception, with the end of its traceback in `place`."""

    task: str
    error: str
    place: str


@dataclass(frozen=True)
class ConnectionsExhausted(LogEvent):
    """Callers have as many connections open as the process's descriptors allow.

    The one that was idle for longest is closed, if any is idle.
    """

    open: int
    idle: int


@dataclass(frozen=True)
class StreamBrokenOff(LogEvent):
    """A stream can't continue; the caller can tell that it is incomplete.

    `unread` is set if the endpoint cut it off since the caller didn't read.
    """

    request: str
    endpoint: str
    reason: str
    last_event: int
    seconds: float
    unread: bool = False


@dataclass(frozen=True)
class StreamSilent(LogEvent):
    """No event arrived for longer than the endpoint's pace allows (`longest_pause`).

    `answered` is whether the endpoint answered a probe, `verdict` what is done with
    the stream.
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
    """The copy of a generation's memory to another endpoint began."""

    request: str
    endpoint: str
    target: str
    held_tokens: int
    reason: str


@dataclass(frozen=True)
class MoveEnded(LogEvent):
    """A move ended; unless it succeeded, the generation stays where it was."""

    request: str
    endpoint: str
    target: str
    result: str
    seconds: float


@dataclass(frozen=True)
class RunStopEnded(LogEvent):
    """An endpoint was told to stop a run whose stream goes on elsewhere."""

    request: str
    endpoint: str
    outcome: str
    seconds: float


@dataclass(frozen=True)
class StreamContinued(LogEvent):
    """A stream continues at another endpoint, after event `last_event`."""

    request: str
    endpoint: str
    last_event: int
    pause: float


@dataclass(frozen=True)
class EventsOmitted(LogEvent):
    """Lines were dropped: too many at once, or the reader was too slow."""

    count: int
