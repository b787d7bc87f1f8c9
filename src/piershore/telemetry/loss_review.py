"""Lost and late requests in a span of logs, by route, time window and cause.

Logs only hold requests that a gateway has read: failed connection attempts are visible
only to callers.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime
from enum import StrEnum

from piershore.telemetry.request_timeline import LogLine

MIN_LONG_STREAM_TOKENS = 100
"""Shorter generations are too noisy to measure an engine's pace."""
BOUND_QUANTILE = 0.02
"""Quantile of the paces that is taken as an engine's best: the few generations below
it were timed inaccurately."""
MIN_SERVER_ERROR_STATUS = 500


class LossCause(StrEnum):
    """Why a request was not served, or was served late."""

    GATEWAY_ENDED = "gateway ended"
    NO_LAST_LINE = "open when the log ends"
    ENDPOINT_FAILED = "endpoint's own failure"
    BROKEN_OFF = "stream broken off"
    CALLER_GONE = "caller gone"
    LATE_FIRST = "late: first part"
    LATE_PAUSE = "late: pause"
    LATE_WHOLE = "late: whole answer"


@dataclass(frozen=True)
class Loss:
    """A request that was not served, or served late.

    `seconds` is the time of its first line, counted from the first line of the logs.
    """

    request: str
    route: str
    seconds: float
    cause: str
    is_late: bool = False


@dataclass(frozen=True)
class StreamPace:
    """Time per token of a complete generation, measured from its first event."""

    request: str
    endpoint: str
    tokens: int
    token_seconds: float
    moves: int


@dataclass
class _Request:
    """The log lines of one request at one box."""

    lines: list[LogLine] = field(default_factory=list)

    @property
    def route(self) -> str:
        """The route of its attempts, "-" if it had none."""
        names = (line.fields.get("route") for line in self.lines)
        return str(next(filter(None, names), "-"))

    def last(self, *events: str) -> LogLine | None:
        """Return the last line of any of these events."""
        found = (line for line in reversed(self.lines) if line.event in events)
        return next(found, None)


@dataclass(frozen=True)
class LossReview:
    """The losses and the paces of long streams in a span of logs.

    `requests` counts all requests, `omitted` the lines that gateways dropped.
    """

    requests: int
    losses: tuple[Loss, ...]
    paces: tuple[StreamPace, ...]
    omitted: int

    @property
    def bound(self) -> float:
        """The seconds per token that an undisturbed engine reaches."""
        paces = sorted(pace.token_seconds for pace in self.paces)
        return paces[int(BOUND_QUANTILE * len(paces))] if paces else 0.0

    def by_cause(self) -> list[dict[str, object]]:
        """Return the losses of each route and cause, the most frequent first."""
        counts = Counter((loss.route, loss.cause) for loss in self.losses)
        return [
            {"route": route, "cause": cause, "requests": count}
            for (route, cause), count in counts.most_common()
        ]

    def by_window(self, window: float) -> list[dict[str, object]]:
        """Return the losses of each window of `window` seconds."""
        rows: dict[int, Counter[str]] = defaultdict(Counter)
        for loss in self.losses:
            rows[int(loss.seconds // window)][loss.cause] += 1
        return [
            {
                "from_second": index * window,
                "requests": causes.total(),
                "causes": ", ".join(f"{c}: {n}" for c, n in causes.most_common()),
            }
            for index, causes in sorted(rows.items())
        ]

    def by_engine(self) -> list[dict[str, object]]:
        """Return the pace of long streams by the engine where each ended."""
        groups: dict[str, list[StreamPace]] = defaultdict(list)
        for pace in self.paces:
            groups[pace.endpoint].append(pace)
        rows = [_pace_row(name, group, self.bound) for name, group in groups.items()]
        rows.sort(key=lambda row: -row["ms_a_token"])
        if self.paces:
            rows.append(_pace_row("all", self.paces, self.bound))
            rows.append(_pace_row("longest tenth", self._longest_tenth(), self.bound))
        return rows

    def _longest_tenth(self) -> list[StreamPace]:
        ordered = sorted(self.paces, key=lambda pace: -pace.tokens)
        return ordered[: max(1, len(ordered) // 10)]


def review_losses(lines: Iterable[LogLine], longest_pause: float) -> LossReview:
    """Review logs; a stream with a pause above `longest_pause` seconds is late."""
    ordered = sorted(lines, key=lambda line: line.at)
    if not ordered:
        return LossReview(0, (), (), 0)
    started_at = ordered[0].at
    requests = _group_by_request(ordered)
    process_starts = _process_starts(ordered)
    losses: list[Loss] = []
    for (box, request_id), request in requests.items():
        received_at = request.lines[0].at
        cause = _loss_cause(request, process_starts.get(box, ()), longest_pause)
        if cause:
            seconds = (received_at - started_at).total_seconds()
            is_late = cause.startswith("late")
            losses.append(Loss(request_id, request.route, seconds, cause, is_late))
    paces = tuple(pace for r in requests.values() for pace in _long_stream_paces(r))
    omitted = sum(
        int(line.fields.get("count", 0))
        for line in ordered
        if line.event == "events_omitted"
    )
    return LossReview(len(requests), tuple(losses), paces, omitted)


def _group_by_request(lines: Iterable[LogLine]) -> dict[tuple[str, str], _Request]:
    requests: dict[tuple[str, str], _Request] = defaultdict(_Request)
    for line in lines:
        if line.request:
            requests[line.box, line.request].lines.append(line)
    return requests


def _process_starts(lines: Iterable[LogLine]) -> dict[str, list[datetime]]:
    """Return each box's process starts: each proves that a process before it ended."""
    starts: dict[str, list[datetime]] = defaultdict(list)
    for line in lines:
        if line.event == "process_started":
            starts[line.box].append(line.at)
    return starts


def _loss_cause(
    request: _Request, starts: Iterable[datetime], longest_pause: float
) -> str | None:
    """Return why a request was lost or late; None if it was served in time."""
    answered = request.last("request_answered")
    if answered is not None:
        return _answer_cause(answered, longest_pause)
    refused = request.last("request_refused")
    if refused is not None:
        return f"refused: {refused.fields.get('status')} {refused.fields.get('code')}"
    if request.last("stream_broken_off") is not None:
        return LossCause.BROKEN_OFF
    if request.last("caller_gone") is not None:
        return LossCause.CALLER_GONE
    last_at = request.lines[-1].at
    has_restarted = any(start > last_at for start in starts)
    return LossCause.GATEWAY_ENDED if has_restarted else LossCause.NO_LAST_LINE


def _answer_cause(answered: LogLine, longest_pause: float) -> LossCause | None:
    fields = answered.fields
    if int(fields.get("status", 0)) >= MIN_SERVER_ERROR_STATUS:
        return LossCause.ENDPOINT_FAILED
    target_latency = float(fields.get("aim") or float("inf"))
    is_stream = int(fields.get("made_tokens", 0)) > 0
    if float(fields.get("first_seconds", 0.0)) > target_latency:
        return LossCause.LATE_FIRST if is_stream else LossCause.LATE_WHOLE
    if float(fields.get("longest_pause", 0.0)) > longest_pause:
        return LossCause.LATE_PAUSE
    return None


def _long_stream_paces(request: _Request) -> Iterator[StreamPace]:
    answered = request.last("request_answered")
    if answered is None:
        return
    fields = answered.fields
    tokens = int(fields.get("made_tokens", 0))
    if tokens > MIN_LONG_STREAM_TOKENS:
        seconds = float(fields["seconds"]) - float(fields["first_seconds"])
        yield StreamPace(
            answered.request,
            str(fields.get("endpoint")),
            tokens,
            seconds / tokens,
            int(fields.get("moves", 0)),
        )


def _pace_row(
    name: str, paces: Iterable[StreamPace], bound: float
) -> dict[str, object]:
    paces = list(paces)
    tokens = sum(pace.tokens for pace in paces)
    mean = sum(pace.token_seconds * pace.tokens for pace in paces) / tokens
    return {
        "engine": name,
        "streams": len(paces),
        "tokens": tokens,
        "ms_a_token": round(1_000 * mean, 2),
        "of_bound": round(mean / bound, 2) if bound else 0.0,
        "moves": sum(pace.moves for pace in paces),
    }
