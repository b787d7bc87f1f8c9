"""Lists how fast gateways thought each endpoint was, from logs."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from statistics import median

from piershore.telemetry.request_timeline import LogLine

MILLISECONDS = 1_000


def review_endpoint_speeds(lines: Iterable[LogLine]) -> list[dict[str, object]]:
    """Return one row per endpoint whose speed was learned, the slowest first."""
    learned: dict[str, list[LogLine]] = defaultdict(list)
    generations: Counter[str] = Counter()
    unknown: Counter[str] = Counter()
    for line in lines:
        endpoint = str(line.fields.get("endpoint"))
        if line.event == "endpoint_speed_learned":
            learned[endpoint].append(line)
        elif line.event == "attempt_started" and line.fields.get("expected_tokens"):
            generations[endpoint] += 1
            unknown[endpoint] += line.fields.get("slowness") is None
    rows = [
        _row(endpoint, events, generations[endpoint], unknown[endpoint])
        for endpoint, events in learned.items()
    ]
    return sorted(rows, key=lambda row: row["token_ms"], reverse=True)


def _row(
    endpoint: str, events: list[LogLine], generations: int, unknown: int
) -> dict[str, object]:
    seconds = median(float(event.fields["token_seconds"]) for event in events)
    return {
        "endpoint": endpoint,
        "service": events[0].fields["service"],
        "token_ms": round(MILLISECONDS * seconds, 2),
        "slowness": round(median(float(e.fields["slowness"]) for e in events), 2),
        "gateways": len({event.box for event in events}),
        "generations": generations,
        "placed_unknown": unknown,
    }
