"""Recording of events and actions in a trace file for replay."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from carawayhitch import codecs
from carawayhitch.core import settings as settings_types


class TraceRecorder:
    """Writes a line for each event to the trace file named in the settings.

    Entry VMs have no disks, so the file usually resides in memory. `limit_bytes` bounds
    its size; recording ends with the first line that would exceed it.
    """

    def __init__(
        self,
        settings: settings_types.Settings,
        incarnation: int,
        seed: int,
        limit_bytes: int = 64 * 1024 * 1024,
    ) -> None:
        self._file = open(settings.logs.trace_file, "wb")  # noqa: SIM115
        self._remaining = limit_bytes
        header = codecs.TraceHeader(settings, incarnation, seed)
        self._write(codecs.encode_trace_header(header))

    def record(self, now: float, event: Any, decided: Iterable[Any]) -> None:
        """Write an event with the actions decided for it."""
        self._write(codecs.encode_trace_step(now, event, decided))

    def _write(self, line: bytes) -> None:
        if len(line) > self._remaining:
            self._remaining = 0
            return
        self._remaining -= len(line)
        self._file.write(line)

    def close(self) -> None:
        """Close the trace file."""
        self._file.close()
