"""The datagram in which a gateway reports its state to its peers."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import astuple, dataclass, field, replace

import orjson

from piershore.core.fleet.drained_halls import DrainedHalls
from piershore.core.fleet.endpoint_load import EndpointLoad
from piershore.core.fleet.endpoint_rate_limits import RateReport, UNLIMITED
from piershore.core.fleet.evacuation_plan import StreamReport
from piershore.core.fleet.output_lengths import LengthSums
from piershore.core.fleet.shared_failures import OutcomeCounts
from piershore.core.fleet.store_revision import StoreRevision
from piershore.core.fleet.store_silence import StoreLiveness
from piershore.core.numbers import checked_integer, checked_number
from piershore.errors import PiershoreError

SCALAR_FIELD_COUNT = 12
"""Number of scalar fields at the start of a report."""
STREAM_FLAG_COUNT = 2
AGE_DIGITS = 3
"""Decimal places of the ages of answers; enough to order the answers."""
SUM_DIGITS = 2
"""Decimal places of sums of logarithms; the error of spreads is a few hundredths."""
MAX_HALVINGS = 3
"""A report that is too large keeps only the busiest endpoints: half, a quarter or an
eighth of them."""
MAX_AGE_SECONDS = 3_600.0
"""Maximum age that is reported, also for an answer that never arrived."""


class InvalidReportError(PiershoreError):
    """A datagram is not a valid report."""

    code = "invalid_report"


@dataclass(frozen=True)
class DepartureReport:
    """An endpoint that departed recently.

    `is_gone` is set if its entry was removed, `is_restarted` if a new incarnation has
    registered under its name.
    """

    identity: str
    is_gone: bool
    is_restarted: bool = False


@dataclass(frozen=True)
class PeerReport:
    """The state of one gateway; `incarnation` differs after each start of its process.

    `store_liveness` describes the store's last answer to the gateway, `link_megabits`
    the bandwidth of its link, and `fingerprint` identifies the list of endpoints that
    it knows. `members` are the hosts of gateways that it received reports from
    recently, `leaving` its generations at endpoints that leave, and `departed` the
    endpoints that departed recently. `outcomes` counts its attempts at endpoints where
    any gateway observes failures. `cold` has the seconds for which endpoints stay cold,
    as observed by the gateway itself, `drained` the data halls that get no new work, or
    None if the gateway doesn't know. `lengths` has the output lengths of generations
    that ended at the gateway, by route. `rate_limits` are the limits that endpoints
    recently advertised in answers to it. Only some reports include `members` and
    `lengths`.
    """

    host: str
    data_hall: str
    incarnation: str
    number: int
    config_version: int
    endpoint_revision: StoreRevision
    fingerprint: int
    reads_store: bool
    is_leaving: bool
    store_liveness: StoreLiveness
    link_megabits: float
    members: tuple[str, ...]
    loads: Mapping[str, EndpointLoad]
    leaving: Mapping[str, tuple[StreamReport, ...]]
    departed: tuple[DepartureReport, ...] = ()
    outcomes: Mapping[str, OutcomeCounts] = field(default_factory=dict)
    cold: Mapping[str, float] = field(default_factory=dict)
    drained: DrainedHalls | None = None
    lengths: Mapping[str, LengthSums] = field(default_factory=dict)
    rate_limits: Mapping[str, RateReport] = field(default_factory=dict)

    def encode(self) -> bytes:
        """Return the report as a datagram."""
        return orjson.dumps(
            [
                self.host,
                self.data_hall,
                self.incarnation,
                self.number,
                self.config_version,
                self.endpoint_revision,
                self.fingerprint,
                self.reads_store,
                self.is_leaving,
                min(self.store_liveness.answer_age, MAX_AGE_SECONDS),
                self.store_liveness.is_overdue,
                self.link_megabits,
                self.members,
                {
                    identity: [
                        load.requests,
                        load.held_tokens,
                        load.projected_tokens,
                        load.pending_prompt_tokens,
                    ]
                    for identity, load in self.loads.items()
                },
                {
                    identity: [
                        [
                            stream.request,
                            stream.held_tokens,
                            stream.has_begun,
                            stream.has_backup,
                        ]
                        for stream in streams
                    ]
                    for identity, streams in self.leaving.items()
                },
                [
                    [departure.identity, departure.is_gone, departure.is_restarted]
                    for departure in self.departed
                ],
                {
                    identity: [counts.failures, counts.successes]
                    for identity, counts in self.outcomes.items()
                },
                {
                    identity: round(seconds, 3)
                    for identity, seconds in self.cold.items()
                },
                _encode_drained(self.drained),
                {route: _encode_sums(sums) for route, sums in self.lengths.items()},
                {
                    identity: [_encode_rate(report.rate), round(report.age, AGE_DIGITS)]
                    for identity, report in self.rate_limits.items()
                },
            ]
        )

    def encode_within(self, limit: int) -> bytes:
        """Return a datagram of at most `limit` bytes.

        Leave out what doesn't fit, starting with what peers can do without the longest:
        a larger datagram isn't sent at all, and its sender would seem to have departed.
        """
        for report in self._shortened_reports():
            data = report.encode()
            if len(data) <= limit:
                break
        return data

    def _shortened_reports(self) -> Iterator[PeerReport]:
        """Yield the report, then ever shorter versions of it."""
        report = self
        yield report
        report = replace(report, outcomes={}, cold={}, lengths={})
        yield report
        for halvings in range(1, MAX_HALVINGS + 1):
            yield replace(report, loads=self._busiest(len(self.loads) >> halvings))
        for emptied in (
            {"loads": {}},
            {"rate_limits": {}},
            {"members": ()},
            {"leaving": {}},
            {"departed": ()},
        ):
            report = replace(report, **emptied)
            yield report

    def _busiest(self, count: int) -> dict[str, EndpointLoad]:
        order = sorted(self.loads.items(), key=lambda item: -item[1].requests)
        return dict(order[:count])

    @classmethod
    def decode(cls, data: bytes) -> PeerReport:
        """Decode a datagram; raise `InvalidReportError` if it isn't a report."""
        try:
            fields = orjson.loads(data)
            members, loads, leaving, departed, outcomes = fields[SCALAR_FIELD_COUNT:-4]
            cold, drained, lengths, rate_limits = fields[-4:]
            host, data_hall, incarnation, *numbers = fields[:SCALAR_FIELD_COUNT]
            number, version, revision, fingerprint = map(checked_integer, numbers[:4])
            return cls(
                str(host),
                str(data_hall),
                str(incarnation),
                number,
                version,
                StoreRevision(revision),
                fingerprint,
                bool(numbers[4]),
                bool(numbers[5]),
                StoreLiveness(checked_number(numbers[6]), bool(numbers[7])),
                checked_number(numbers[8]),
                tuple(map(str, members)),
                {k: EndpointLoad(*map(checked_integer, v)) for k, v in loads.items()},
                {
                    k: tuple(map(_decode_stream, streams))
                    for k, streams in leaving.items()
                },
                tuple(
                    DepartureReport(str(i), *map(bool, flags)) for i, *flags in departed
                ),
                {
                    k: OutcomeCounts(*map(checked_integer, v))
                    for k, v in outcomes.items()
                },
                {k: checked_number(v) for k, v in cold.items()},
                None if drained is None else _decode_drained(drained),
                {k: LengthSums(*map(checked_number, v)) for k, v in lengths.items()},
                {k: _decode_rate_report(*v) for k, v in rate_limits.items()},
            )
        except (
            ValueError,
            TypeError,
            AttributeError,
            IndexError,
            OverflowError,
        ) as error:
            raise InvalidReportError(f"not a report: {error!r}") from error


def _decode_stream(fields: list) -> StreamReport:
    request, held_tokens, *flags = fields
    if len(flags) != STREAM_FLAG_COUNT:
        raise ValueError("a stream has the wrong number of flags")
    return StreamReport(str(request), checked_integer(held_tokens), *map(bool, flags))


def _encode_rate(rate: float) -> float | None:
    return None if rate == UNLIMITED else rate


def _decode_rate_report(rate: object, age: object) -> RateReport:
    return RateReport(
        UNLIMITED if rate is None else checked_number(rate), checked_number(age)
    )


def _encode_sums(sums: LengthSums) -> list[float]:
    return [round(value, SUM_DIGITS) for value in astuple(sums)]


def _encode_drained(drained: DrainedHalls | None) -> list | None:
    return drained and [drained.revision, sorted(drained.data_halls)]


def _decode_drained(fields: list) -> DrainedHalls:
    revision, data_halls = fields
    return DrainedHalls(
        StoreRevision(checked_integer(revision)), frozenset(map(str, data_halls))
    )
