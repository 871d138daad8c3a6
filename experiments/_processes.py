"""Processor time and memory of processes from /proc."""

from __future__ import annotations

import os
from pathlib import Path

CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def cpu_seconds(pid: int) -> float:
    """Return user and system time of a process so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


def anonymous_bytes(pid: int) -> int:
    """Return the resident memory of a process that no file backs.

    Processes of one machine share the rest: the code of the interpreter and libraries.
    """
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    (kilobytes,) = (line.split()[1] for line in lines if line.startswith("RssAnon:"))
    return int(kilobytes) * 1024
