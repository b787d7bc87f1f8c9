"""Compares expected and actual output lengths of generations, from logs."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from statistics import median

from piershore.telemetry.request_timeline import LogLine


@dataclass(frozen=True)
class CompletedGeneration:
    """A generation that completed `seconds` after the first log line.

    `expected`, `guess` (the caller's length hint) and `made` are in tokens.
    """

    route: str
    seconds: float
    expected: int
    guess: int | None
    made: int


@dataclass(frozen=True)
class LengthEstimateReview:
    """All completed generations of a span of logs."""

    generations: tuple[CompletedGeneration, ...]

    def by_window(self, window: float) -> list[dict[str, object]]:
        """Return the actual over the expected tokens of each route and window.

        `window` is in seconds.
        """
        groups: dict[tuple[str, int], list[CompletedGeneration]] = defaultdict(list)
        for generation in self.generations:
            key = generation.route, int(generation.seconds // window)
            groups[key].append(generation)
        return [
            _row(route, index * window, group)
            for (route, index), group in sorted(groups.items())
        ]


def review_length_estimates(lines: Iterable[LogLine]) -> LengthEstimateReview:
    """Pair the length expected at each generation's start with its actual length."""
    started: dict[tuple[str, str], LogLine] = {}
    generations = []
    first_at = None
    for line in lines:
        first_at = first_at or line.at
        key = line.box, line.request
        if line.event == "attempt_started" and line.fields.get("expected_tokens"):
            started.setdefault(key, line)
        elif line.event == "request_answered" and key in started:
            start_fields = started.pop(key).fields
            generations.append(
                CompletedGeneration(
                    str(start_fields["route"]),
                    (line.at - first_at).total_seconds(),
                    int(start_fields["expected_tokens"]),
                    start_fields.get("hinted_tokens"),
                    int(line.fields["made_tokens"]),
                )
            )
    return LengthEstimateReview(tuple(generations))


def _row(
    route: str, start: float, group: list[CompletedGeneration]
) -> dict[str, object]:
    made = sum(generation.made for generation in group)
    expected = sum(generation.expected for generation in group)
    return {
        "route": route,
        "from_second": start,
        "generations": len(group),
        "made_tokens": made,
        "median_made": median(generation.made for generation in group),
        "made/expected": round(made / expected, 2) if expected else None,
    }
