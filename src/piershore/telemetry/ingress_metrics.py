"""Counters, histograms and gauges of the gateway."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

SECONDS = (0.02, 0.05, 0.1, 0.15, 0.2, 0.4, 0.8, 1.5, 3, 6, 12, 24, 40)
PAUSES = (0.02, 0.04, 0.06, 0.09, 0.12, 0.18, 0.25, 0.5, 1, 2, 5)

REGISTRY = CollectorRegistry()

REFUSALS = Counter(
    "piershore_ingress_refusals_total",
    "Requests that the gateway refused itself, by code and status.",
    ["code", "status"],
    registry=REGISTRY,
)
ATTEMPTS = Counter(
    "piershore_ingress_failed_attempts_total",
    "Attempts that ended without an answer to forward, by outcome.",
    ["outcome"],
    registry=REGISTRY,
)
RETRIES = Counter(
    "piershore_ingress_retries_total",
    "Retried requests, by the outcome of the previous attempt.",
    ["outcome"],
    registry=REGISTRY,
)
MOVES = Counter(
    "piershore_ingress_moves_total",
    "Generations moved to another endpoint, by result.",
    ["result"],
    registry=REGISTRY,
)
SILENCES = Counter(
    "piershore_ingress_silences_total",
    "Streams silent for far longer than their endpoint's pace, by decision.",
    ["verdict"],
    registry=REGISTRY,
)
BROKEN_STREAMS = Counter(
    "piershore_ingress_broken_streams_total",
    "Streams that ended before they were complete, by reason.",
    ["reason"],
    registry=REGISTRY,
)
WHOLE_SECONDS = Histogram(
    "piershore_ingress_whole_seconds",
    "Time from arrival to the complete answer.",
    ["kind"],
    buckets=SECONDS,
    registry=REGISTRY,
)
FIRST_SECONDS = Histogram(
    "piershore_ingress_first_seconds",
    "Time from arrival to the first event of a stream.",
    buckets=SECONDS,
    registry=REGISTRY,
)
PAUSE_SECONDS = Histogram(
    "piershore_ingress_longest_pause_seconds",
    "Longest pause between the events of a stream.",
    buckets=PAUSES,
    registry=REGISTRY,
)
CONFIG_VERSION = Gauge(
    "piershore_ingress_config_version",
    "Version of the configuration in force.",
    registry=REGISTRY,
)
LOAD_NOTES = Counter(
    "piershore_ingress_load_notes_total",
    "Datagrams that report a started generation to peers sharing the endpoint.",
    registry=REGISTRY,
)
DOCUMENT_BYTES = Counter(
    "piershore_ingress_document_bytes_total",
    "Compressed bytes read from peers, by document.",
    ["document"],
    registry=REGISTRY,
)
ENDPOINTS = Gauge(
    "piershore_ingress_endpoints",
    "Known endpoints, by stage.",
    ["stage"],
    registry=REGISTRY,
)
STORE_ERA = Gauge(
    "piershore_ingress_store_era",
    "Times that the store was restored from an older copy, from its answers.",
    registry=REGISTRY,
)
RESTING = Gauge(
    "piershore_ingress_resting_endpoints",
    "Endpoints that have asked this gateway to back off.",
    registry=REGISTRY,
)
NOTICES = Counter(
    "piershore_ingress_notices_total",
    "Answers in which endpoints leave, ask for a backoff or advertise a rate.",
    ["kind"],
    registry=REGISTRY,
)
RATE_LIMITS = Gauge(
    "piershore_ingress_endpoint_rate_limit",
    "Requests per second from all gateways that an endpoint advertises.",
    ["endpoint"],
    registry=REGISTRY,
)
RATE_PARTS = Gauge(
    "piershore_ingress_endpoint_rate_part",
    "This gateway's quota of the endpoint's rate limit.",
    ["endpoint"],
    registry=REGISTRY,
)
EXPECTED_TOKENS = Counter(
    "piershore_ingress_expected_tokens_total",
    "Expected output tokens of completed generations, by route.",
    ["route"],
    registry=REGISTRY,
)
MADE_TOKENS = Counter(
    "piershore_ingress_made_tokens_total",
    "Actual output tokens of completed generations, by route.",
    ["route"],
    registry=REGISTRY,
)
DRAINED_HALLS = Gauge(
    "piershore_ingress_drained_halls",
    "Data halls that operators have drained.",
    registry=REGISTRY,
)
SUSPECTED = Counter(
    "piershore_ingress_suspected_requests_total",
    "Requests that an endpoint had just begun to run when it crashed.",
    registry=REGISTRY,
)
QUARANTINED = Gauge(
    "piershore_ingress_quarantined_requests",
    "Quarantined requests: endpoints crashed while they ran them.",
    registry=REGISTRY,
)
RETRIES_LEFT = Gauge(
    "piershore_ingress_retries_left",
    "Retries left to this gateway in the current window, by service.",
    ["service"],
    registry=REGISTRY,
)
PEERS = Gauge(
    "piershore_ingress_peers", "Peers with a recent report.", registry=REGISTRY
)
IN_FLIGHT = Gauge(
    "piershore_ingress_in_flight", "Requests in flight.", registry=REGISTRY
)
