"""Counters, histograms and gauges of the gateway."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

DURATION_BUCKETS_SECONDS = (0.02, 0.05, 0.1, 0.15, 0.2, 0.4, 0.8, 1.5, 3, 6, 12, 24, 40)
PAUSE_BUCKETS_SECONDS = (0.02, 0.04, 0.06, 0.09, 0.12, 0.18, 0.25, 0.5, 1, 2, 5)

REGISTRY = CollectorRegistry()

REFUSALS = Counter(
    "piershore_ingress_refusals_total",
    "Answers that the gateway gave by itself.",
    ["code", "status"],
    registry=REGISTRY,
)
FAILED_ATTEMPTS = Counter(
    "piershore_ingress_failed_attempts_total",
    "Attempts at endpoints without an answer to pass on, by outcome.",
    ["outcome"],
    registry=REGISTRY,
)
RETRIES = Counter(
    "piershore_ingress_retries_total",
    "Requests sent again, by the outcome of the attempt before.",
    ["outcome"],
    registry=REGISTRY,
)
MOVES = Counter(
    "piershore_ingress_moves_total",
    "Generations moved to another endpoint, by result.",
    ["result"],
    registry=REGISTRY,
)
STOPS = Counter(
    "piershore_ingress_stops_total",
    "Runs that an endpoint was told to stop, by outcome.",
    ["outcome"],
    registry=REGISTRY,
)
SILENCES = Counter(
    "piershore_ingress_silences_total",
    "Streams that paused far longer than their endpoint's pace, by what was done.",
    ["verdict"],
    registry=REGISTRY,
)
BROKEN_STREAMS = Counter(
    "piershore_ingress_broken_streams_total",
    "Streams ended before they were whole, by reason.",
    ["reason"],
    registry=REGISTRY,
)
ANSWER_SECONDS = Histogram(
    "piershore_ingress_whole_seconds",
    "From arrival to the whole answer.",
    ["kind"],
    buckets=DURATION_BUCKETS_SECONDS,
    registry=REGISTRY,
)
FIRST_EVENT_SECONDS = Histogram(
    "piershore_ingress_first_seconds",
    "From arrival to the first event of a stream.",
    buckets=DURATION_BUCKETS_SECONDS,
    registry=REGISTRY,
)
LONGEST_PAUSE_SECONDS = Histogram(
    "piershore_ingress_longest_pause_seconds",
    "Longest pause between the events of a stream.",
    buckets=PAUSE_BUCKETS_SECONDS,
    registry=REGISTRY,
)
CONFIG_VERSION = Gauge(
    "piershore_ingress_config_version",
    "Version in force.",
    registry=REGISTRY,
)
LOAD_UPDATES = Counter(
    "piershore_ingress_load_notes_total",
    "Datagrams sent to peers that share an endpoint, since a generation began there.",
    registry=REGISTRY,
)
SPEED_REPORTS = Counter(
    "piershore_ingress_speed_reports_total",
    "Datagrams sent to peers about the speeds of shared endpoints.",
    registry=REGISTRY,
)
REJECTED_SPEEDS = Counter(
    "piershore_ingress_rejected_speeds_total",
    "Reported speeds that were dropped, by reason.",
    ["reason"],
    registry=REGISTRY,
)
ENDPOINT_SLOWNESS = Gauge(
    "piershore_ingress_endpoint_slowness",
    "Slowest and fastest endpoint's time per token, relative to its service.",
    ["service", "extreme"],
    registry=REGISTRY,
)
DOCUMENT_BYTES = Counter(
    "piershore_ingress_document_bytes_total",
    "Bytes read from peers, by document; compressed.",
    ["document"],
    registry=REGISTRY,
)
ENDPOINTS = Gauge(
    "piershore_ingress_endpoints",
    "Endpoints known, by stage.",
    ["stage"],
    registry=REGISTRY,
)
STORE_ERA = Gauge(
    "piershore_ingress_store_era",
    "How often the store had come back from an older copy, as its answers tell.",
    registry=REGISTRY,
)
ENDPOINTS_IN_BACKOFF = Gauge(
    "piershore_ingress_resting_endpoints",
    "Endpoints that have asked this gateway for rest.",
    registry=REGISTRY,
)
NOTICES = Counter(
    "piershore_ingress_notices_total",
    "Answers in which endpoints said that they leave, asked for rest or named a rate.",
    ["kind"],
    registry=REGISTRY,
)
ENDPOINT_RATE_LIMITS = Gauge(
    "piershore_ingress_endpoint_rate_limit",
    "Requests a second that an endpoint takes from all gateways, where it names them.",
    ["endpoint"],
    registry=REGISTRY,
)
ENDPOINT_RATE_QUOTAS = Gauge(
    "piershore_ingress_endpoint_rate_part",
    "This gateway's part of that.",
    ["endpoint"],
    registry=REGISTRY,
)
EXPECTED_TOKENS = Counter(
    "piershore_ingress_expected_tokens_total",
    "Tokens that were expected of the generations that ended whole, by route.",
    ["route"],
    registry=REGISTRY,
)
MADE_TOKENS = Counter(
    "piershore_ingress_made_tokens_total",
    "Tokens that those generations made, by route.",
    ["route"],
    registry=REGISTRY,
)
DRAINED_DATA_HALLS = Gauge(
    "piershore_ingress_drained_halls",
    "Data halls that get nothing new, since operators drain them.",
    registry=REGISTRY,
)
SUSPECT_REQUESTS = Counter(
    "piershore_ingress_suspected_requests_total",
    "Requests that endpoints had just begun to run when they crashed.",
    registry=REGISTRY,
)
QUARANTINED_REQUESTS = Gauge(
    "piershore_ingress_quarantined_requests",
    "Requests that are not sent on, since endpoints crashed under them.",
    registry=REGISTRY,
)
REMAINING_RETRIES = Gauge(
    "piershore_ingress_retries_left",
    "Retries that this gateway may still make in the present window, by service.",
    ["service"],
    registry=REGISTRY,
)
LOAN_REQUESTS = Counter(
    "piershore_ingress_loan_requests",
    "Requests to peers for parts of endpoints' rates.",
    registry=REGISTRY,
)
PEERS = Gauge("piershore_ingress_peers", "Peers heard of late.", registry=REGISTRY)
IN_FLIGHT = Gauge(
    "piershore_ingress_in_flight", "Requests under way.", registry=REGISTRY
)
