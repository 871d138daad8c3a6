"""Configuration of structured logging."""

from __future__ import annotations

import json
import logging
from collections.abc import Callable
from functools import cache
from typing import Any

import msgspec
import structlog

from carawayhitch.core import settings as settings_types
from carawayhitch.node._log_output import LogOutput


@cache
def process_log_output() -> LogOutput:
    """Return the log output shared by all loggers of this process."""
    return LogOutput(settings_types.LogSettings())


def encode_log_fields(fields: Any, default: Callable[[Any], Any], **_: Any) -> str:
    """Return the fields of a log line as JSON.

    Parameters
    ----------
    default : callable
        Returns a replacement for a value of a type that JSON does not have.
    """
    try:
        return msgspec.json.encode(fields, enc_hook=default).decode()
    except ValueError:
        # Bytes of a request that are no UTF-8 are lone surrogates in its fields.
        return json.dumps(fields, default=default)


def configure_logs(settings: settings_types.Settings) -> Any:
    """Configure structlog and return a logger bound to the node id."""
    renderer: Any = (
        structlog.processors.JSONRenderer(serializer=encode_log_fields)
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
