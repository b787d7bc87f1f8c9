"""Metrics; label values come from enumerations or service names."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

TOKEN_GAP_BUCKETS_SECONDS = (0.005, 0.01, 0.02, 0.04, 0.061, 0.1, 0.2, 0.5, 1, 2, 5)
FIRST_TOKEN_BUCKETS_SECONDS = (0.05, 0.1, 0.2, 0.4, 0.61, 1, 2, 5, 10, 30)

REGISTRY = CollectorRegistry()

REFUSALS = Counter(
    "piershore_refusals_total",
    "Requests refused or ended early, by reason and outcome.",
    ["reason", "outcome"],
    registry=REGISTRY,
)
RETRIES = Counter(
    "piershore_retries_total",
    "Requests tried again, by the reason of the failed try.",
    ["reason"],
    registry=REGISTRY,
)
ANSWERS = Counter(
    "piershore_answers_total", "Whole answers given.", ["type"], registry=REGISTRY
)
TOKENS = Counter("piershore_tokens_total", "Tokens passed on.", registry=REGISTRY)
RESUMES = Counter(
    "piershore_resumes_total", "Streams attached again.", ["by"], registry=REGISTRY
)
STALLS = Counter(
    "piershore_stalls_total",
    "Streams that waited longer than the stall timeout for a token.",
    registry=REGISTRY,
)
STALL_SECONDS = Counter(
    "piershore_stall_seconds_total",
    "Time that stalled streams waited for their next token.",
    registry=REGISTRY,
)
PREEMPTIONS = Counter(
    "piershore_preemptions_total",
    "Generations paused midway.",
    registry=REGISTRY,
)
FIRST_TOKEN_SECONDS = Histogram(
    "piershore_first_token_seconds",
    "From a request's arrival to its first token.",
    buckets=FIRST_TOKEN_BUCKETS_SECONDS,
    registry=REGISTRY,
)
TOKEN_GAP_SECONDS = Histogram(
    "piershore_token_gap_seconds",
    "Between the frames of one stream.",
    buckets=TOKEN_GAP_BUCKETS_SECONDS,
    registry=REGISTRY,
)
CONFIG_CHANGES = Counter(
    "piershore_config_changes_total",
    "Configuration changes applied.",
    registry=REGISTRY,
)
CONFIG_REVISION = Gauge(
    "piershore_config_complete_to",
    "Revision up to which the configuration is complete.",
    registry=REGISTRY,
)
STORE_ERA = Gauge(
    "piershore_store_era",
    "How often the store had come back from an older copy, as its answers tell.",
    registry=REGISTRY,
)
EDITS_RESTORED = Counter(
    "piershore_edits_restored_total",
    "Accepted edits that the store had lost and that were written again.",
    registry=REGISTRY,
)
EDIT_OFFERS = Counter(
    "piershore_edit_offers_total",
    "Accepted edits handed to relays, by whether they were taken.",
    ["taken"],
    registry=REGISTRY,
)
LINKS = Gauge("piershore_links", "Open streams to agents.", registry=REGISTRY)
RUNNING = Gauge("piershore_running", "Generations or calls running.", registry=REGISTRY)
QUEUED = Gauge("piershore_queued", "Requests in the queue.", registry=REGISTRY)
PLATFORM_ERRORS = Counter(
    "piershore_platform_errors_total",
    "Failed calls to the platform, by code.",
    ["code"],
    registry=REGISTRY,
)
LEASE_CHANGES = Counter(
    "piershore_lease_changes_total",
    "Confirmed changes of the slot table.",
    registry=REGISTRY,
)
