"""What the start of this process took, for the log.

Together they separate causes of a slow start: much processor time (the start itself),
little of it and many blocks read (the disk), or neither (a busy machine).
"""

from __future__ import annotations

import os
import resource
import time
from pathlib import Path
from typing import NamedTuple

# Field of /proc/self/stat after the name of the program, which may hold spaces.
START_TIME_FIELD = 19


class StartCosts(NamedTuple):
    """What this process has taken since the system created it.

    Parameters
    ----------
    elapsed_seconds : float or None
        None where the system does not tell when a process was created.
    processor_seconds : float
        Processor time in user and system mode.
    disk_blocks : int
        Blocks of 512 B read from a disk, by page faults as well.
    """

    elapsed_seconds: float | None
    processor_seconds: float
    disk_blocks: int


def read_start_costs() -> StartCosts:
    """Return what this process has taken so far."""
    return StartCosts(
        _elapsed_seconds(),
        round(time.process_time(), 3),
        resource.getrusage(resource.RUSAGE_SELF).ru_inblock,
    )


def _elapsed_seconds() -> float | None:
    try:
        fields = Path("/proc/self/stat").read_text().rpartition(")")[2].split()
        created_at = int(fields[START_TIME_FIELD]) / os.sysconf("SC_CLK_TCK")
        return round(time.clock_gettime(time.CLOCK_BOOTTIME) - created_at, 3)
    except (OSError, ValueError, IndexError):
        return None
