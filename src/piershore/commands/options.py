"""Command-line flags, shared by all verbs."""

from __future__ import annotations

import os

from absl import flags

from piershore.core.mechanism import Mechanism

CONFIG = flags.DEFINE_string("config", None, "settings file of the process")
GATEWAY = flags.DEFINE_string(
    "gateway",
    os.environ.get("PIERSHORE_GATEWAY", "http://127.0.0.1:8080"),
    "URL of a gateway's HTTP API, also set by PIERSHORE_GATEWAY",
)
KEY = flags.DEFINE_string(
    "key",
    os.environ.get("PIERSHORE_OPERATOR_KEY"),
    "operator's key, also set by PIERSHORE_OPERATOR_KEY",
)
OUTPUT = flags.DEFINE_enum("output", "table", ["table", "json"], "output format")
VERSION = flags.DEFINE_integer(
    "version", None, "version that the edit is based on; 0 creates the object"
)
METRICS_PORT = flags.DEFINE_integer(
    "metrics_port", None, "port on which a gateway of the platform serves its metrics"
)
PLACEMENT = flags.DEFINE_enum(
    "placement",
    "projected_peak",
    ["projected_peak", "least_in_flight", "power_of_two", "memory_free_now"],
    "how a gateway of the platform ranks engines; all but the first are baselines",
)
LENGTHS = flags.DEFINE_enum(
    "lengths",
    "mean",
    ["mean", "median"],
    "which output length a gateway of the platform expects; median is a baseline",
)
WITHOUT = flags.DEFINE_multi_enum_class(
    "without", [], Mechanism, "mechanisms that a gateway doesn't use, for experiments"
)
WINDOW = flags.DEFINE_float(
    "window", 2.0, "seconds covered by each row of a table by time", 0.1
)
LONGEST_PAUSE = flags.DEFINE_float(
    "longest_pause", 0.18, "pause in seconds above which a stream counts as late", 0.0
)
SPEEDS = flags.DEFINE_bool(
    "speeds", False, "list endpoints and their estimated speeds instead of lengths"
)
UNDO = flags.DEFINE_bool("undo", False, "end the drain instead of starting it")

FLAG_NAMES = (
    "config",
    "gateway",
    "key",
    "output",
    "version",
    "undo",
    "metrics_port",
    "placement",
    "lengths",
    "without",
    "window",
    "longest_pause",
    "speeds",
)
