"""Standard output for log lines: bounded, and without waiting for its reader."""

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
# A pipe that is ready takes this much at once without blocking (POSIX: PIPE_BUF).
WRITE_BYTES = select.PIPE_BUF
# Time until output that was not ready is tried again; a reader that is merely slow
# loses nothing within it at the usual rate of lines.
RETRY_SECONDS = 0.05
# Seconds of the settings' line rate that may come at once, as at a start or a burst.
BURST_SECONDS = 5.0


class LogOutput:
    """Writes lines to a file descriptor and drops those that exceed its bounds.

    Parameters
    ----------
    descriptor : int
        Written only while it is ready, in parts that it takes without blocking.

    Attributes
    ----------
    dropped_by_reason : Counter
        Lines dropped since the start: ``rate`` above the lines per second of the
        settings, ``backlog`` while the output was not read, ``closed`` without a
        reader.

    Notes
    -----
    Lines above ``info`` may use twice the rate, so that a flood of ordinary lines
    leaves room for them. Used by one thread only.
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
        self._allowance = settings.lines_per_second * BURST_SECONDS
        self._allowed_at = time.monotonic()
        self._reported = 0
        self._retrying = False

    def use(self, settings: settings_types.LogSettings) -> None:
        """Use other bounds from now on."""
        self._settings = settings

    def limit(
        self, logger: Any, method: str, fields: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Drop a line above the bounds; tell with the next one how many were.

        A processor of structlog, to be called before the line is rendered.
        """
        if len(self._backlog) >= self._settings.backlog_bytes:
            self._drop("backlog")
        now = time.monotonic()
        rate = self._settings.lines_per_second
        self._allowance += (now - self._allowed_at) * rate
        self._allowance = min(self._allowance, rate * BURST_SECONDS)
        self._allowed_at = now
        least = 1.0 if method in ("debug", "info") else 1.0 - rate * BURST_SECONDS
        if self._allowance < least:
            self._drop("rate")
        self._allowance -= 1.0
        dropped = sum(self.dropped_by_reason.values())
        if dropped > self._reported:
            fields["dropped_lines"] = dropped - self._reported
            self._reported = dropped
        return fields

    def _drop(self, reason: str) -> None:
        self.dropped_by_reason[reason] += 1
        raise structlog.DropEvent

    def msg(self, line: str) -> None:
        """Write a rendered line, now or once the output is read."""
        self._backlog += line.encode("utf-8", "replace") + b"\n"
        self.flush()

    debug = info = warning = error = critical = msg

    def flush(self) -> None:
        """Write what the output takes now; try the rest again later."""
        while self._backlog and self._poll.poll(0):
            try:
                written = os.write(self._descriptor, self._backlog[:WRITE_BYTES])
            except BlockingIOError:
                # Another process made the shared output non-blocking.
                break
            except OSError:
                self.dropped_by_reason["closed"] += self._backlog.count(b"\n")
                self._backlog.clear()
                return
            del self._backlog[:written]
        if self._backlog and not self._retrying:
            self._retry_later()

    def _retry_later(self) -> None:
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            # Before the loop runs; the next line tries again.
            return
        self._retrying = True
        loop.call_later(RETRY_SECONDS, self._retry)

    def _retry(self) -> None:
        self._retrying = False
        self.flush()
