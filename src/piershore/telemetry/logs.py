"""Structured log lines, one for each change of state."""

from __future__ import annotations

import logging as standard_logging
import sys
from datetime import datetime, UTC

import orjson
from absl import logging

from piershore.settings.process_settings import LogFormat

_format = LogFormat.KEY_VALUE


def configure_logging(log_format: LogFormat) -> None:
    """Write log lines to standard error in `log_format`."""
    global _format
    _format = log_format
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    handler = logging.get_absl_handler()
    handler.python_handler.stream = sys.stderr
    handler.setFormatter(standard_logging.Formatter("%(message)s"))
    for name in ("httpx", "hypercorn.error", "httpcore"):
        standard_logging.getLogger(name).setLevel(standard_logging.ERROR)


def log_state_change(event: str, **fields: object) -> None:
    """Log a change of state with its fields."""
    record = {"time": datetime.now(UTC).isoformat(), "event": event, **fields}
    if _format is LogFormat.JSON:
        logging.info("%s", orjson.dumps(record, default=str).decode())
        return
    logging.info("%s", " ".join(f"{k}={_quoted(v)}" for k, v in record.items()))


def _quoted(value: object) -> str:
    text = str(value)
    return orjson.dumps(text).decode() if " " in text or not text else text
