"""Non-blocking standard output for log lines, with rate and memory limits."""

from __future__ import annotations

import asyncio
import os
import select
import time
from collections import Counter
from collections.abc import MutableMapping
from typing import Any

import structlog

from carawayhitch.core import settings as settings_types

STANDARD_OUTPUT = 1
# POSIX guarantees that a pipe that polls as writable accepts PIPE_BUF bytes without
# blocking.
MAX_WRITE_BYTES = select.PIPE_BUF
# Delay before retrying an output that was not writable. At the usual line rate the
# backlog does not fill up within this time, so a slow reader loses no lines.
FLUSH_RETRY_SECONDS = 0.05
# Capacity of the rate limiter, in seconds of the configured line rate. It admits the
# bursts of lines at start-up and under sudden load.
BURST_SECONDS = 5.0


class LogOutput:
    """Writes lines to a file descriptor and drops those that exceed the limits.

    Parameters
    ----------
    descriptor : int
        Written to only while it is writable, in chunks that do not block.

    Attributes
    ----------
    dropped_by_reason : Counter
        Number of lines dropped since the start. ``rate``: the configured lines per
        second were exceeded; ``backlog``: the buffer was full because the output was
        not read; ``closed``: writing failed, as the output has no reader.

    Notes
    -----
    Lines above ``info`` may overdraw the rate limiter by its full capacity, so that
    excess ``debug`` and ``info`` lines cannot suppress them. Not thread-safe.
    """

    def __init__(
        self, settings: settings_types.LogSettings, descriptor: int = STANDARD_OUTPUT
    ) -> None:
        self.dropped_by_reason: Counter[str] = Counter()
        self._settings = settings
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._backlog = bytearray()
        self._available_lines = settings.lines_per_second * BURST_SECONDS
        self._refilled_at = time.monotonic()
        self._reported_drop_count = 0
        self._retry_scheduled = False

    def apply_settings(self, settings: settings_types.LogSettings) -> None:
        """Replace the limits."""
        self._settings = settings

    def apply_limits(
        self, logger: Any, method: str, fields: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Drop the line if it exceeds a limit, else add the number of dropped lines.

        This is a structlog processor and runs before the renderer, so that dropped
        lines are not rendered.
        """
        if len(self._backlog) >= self._settings.backlog_bytes:
            self._drop("backlog")
        now = time.monotonic()
        rate = self._settings.lines_per_second
        self._available_lines += (now - self._refilled_at) * rate
        self._available_lines = min(self._available_lines, rate * BURST_SECONDS)
        self._refilled_at = now
        required_lines = (
            1.0 if method in ("debug", "info") else 1.0 - rate * BURST_SECONDS
        )
        if self._available_lines < required_lines:
            self._drop("rate")
        self._available_lines -= 1.0
        dropped = sum(self.dropped_by_reason.values())
        if dropped > self._reported_drop_count:
            fields["dropped_lines"] = dropped - self._reported_drop_count
            self._reported_drop_count = dropped
        return fields

    def _drop(self, reason: str) -> None:
        self.dropped_by_reason[reason] += 1
        raise structlog.DropEvent

    def msg(self, line: str) -> None:
        """Append a rendered line to the backlog and flush it."""
        self._backlog += line.encode("utf-8", "replace") + b"\n"
        self.flush()

    debug = info = warning = error = critical = msg

    def flush(self) -> None:
        """Write as much as does not block and schedule a retry for the rest."""
        while self._backlog and self._poll.poll(0):
            try:
                written = os.write(self._descriptor, self._backlog[:MAX_WRITE_BYTES])
            except BlockingIOError:
                # Another process that shares the output set O_NONBLOCK on it.
                break
            except OSError:
                self.dropped_by_reason["closed"] += self._backlog.count(b"\n")
                self._backlog.clear()
                return
            del self._backlog[:written]
        if self._backlog and not self._retry_scheduled:
            self._schedule_retry()

    def _schedule_retry(self) -> None:
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            # The event loop is not running yet; the next line flushes again.
            return
        self._retry_scheduled = True
        loop.call_later(FLUSH_RETRY_SECONDS, self._retry)

    def _retry(self) -> None:
        self._retry_scheduled = False
        self.flush()
