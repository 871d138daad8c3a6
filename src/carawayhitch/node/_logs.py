"""Configuration of structured logging."""

from __future__ import annotations

import logging
from functools import cache
from typing import Any

import structlog

from carawayhitch.core import settings as settings_types
from carawayhitch.node._log_output import LogOutput


@cache
def process_log_output() -> LogOutput:
    """Return the log output shared by all loggers of this process."""
    return LogOutput(settings_types.LogSettings())


def configure_logs(settings: settings_types.Settings) -> Any:
    """Configure structlog and return a logger bound to the node id."""
    renderer: Any = (
        structlog.processors.JSONRenderer()
        if settings.logs.format == "json"
        else structlog.dev.ConsoleRenderer()
    )
    level = logging.getLevelName(settings.logs.level.upper())
    output = process_log_output()
    output.apply_settings(settings.logs)
    structlog.configure(
        processors=[
            output.apply_limits,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=lambda *_: output,
        cache_logger_on_first_use=True,
    )
    return structlog.get_logger().bind(node=settings.node.id)
