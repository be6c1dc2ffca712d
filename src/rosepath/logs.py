"""JSON-line logs."""

import logging
import sys
import time
from typing import Any

import structlog

from rosepath.log_sink import LineSink, RateBound


def configure_logs(*, level: str, entry_vm: str, data_centre: str) -> None:
    """Send logs to standard error as one JSON object a line."""
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


def configure_bounded_logs(
    *, level: str, entry_vm: str, data_centre: str, descriptor: int = 1
) -> LineSink:
    """Send logs to a descriptor, bounded in rate and never waiting for it."""
    sink = LineSink(descriptor)
    configure_logs(level=level, entry_vm=entry_vm, data_centre=data_centre)
    bound = RateBound(time.monotonic)
    structlog.configure(
        processors=[bound, *structlog.get_config()["processors"]],
        logger_factory=lambda *_: sink,
    )
    return sink


def get_logger() -> Any:
    """Return a logger; its events carry `step` and `peer` where they apply."""
    return structlog.get_logger()
