"""Records events and actions for replay."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from carawayhitch import codecs
from carawayhitch.core import settings as settings_types


class TraceRecorder:
    """Writes one line for each event to the trace file of the settings.

    Entry VMs have no disks, so the file usually lies in memory; `limit_bytes` keeps it
    from filling it.
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
        """Write one event with its actions."""
        self._write(codecs.encode_trace_step(now, event, decided))

    def _write(self, line: bytes) -> None:
        if len(line) > self._remaining:
            self._remaining = 0
            return
        self._remaining -= len(line)
        self._file.write(line)

    def close(self) -> None:
        """Close the file."""
        self._file.close()
