"""Configuration of structured logs in JSON lines."""

import logging
import sys
import time
from typing import Any

import structlog

from rosepath.log_sink import EventRateLimiter, LineSink


def configure_logs(*, level: str, entry_vm: str, data_centre: str) -> None:
    """Write logs to standard error, one JSON object per line."""
    threshold = getattr(logging, level.upper())
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(threshold),
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(entry_vm=entry_vm, data_centre=data_centre)
    for name in ("tornado", "tornado.general", "tornado.application", "grpclib"):
        logging.getLogger(name).setLevel(logging.CRITICAL)


def configure_rate_limited_logs(
    *, level: str, entry_vm: str, data_centre: str, descriptor: int = 1
) -> LineSink:
    """Write logs to a descriptor, rate-limited and without blocking."""
    sink = LineSink(descriptor)
    configure_logs(level=level, entry_vm=entry_vm, data_centre=data_centre)
    bound = EventRateLimiter(time.monotonic)
    structlog.configure(
        processors=[bound, *structlog.get_config()["processors"]],
        logger_factory=lambda *_: sink,
    )
    return sink


def get_logger() -> Any:
    """Return a logger; its events have `step` and `peer` where applicable."""
    return structlog.get_logger()
