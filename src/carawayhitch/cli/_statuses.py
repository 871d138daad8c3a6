"""Exit statuses of the command line."""

from __future__ import annotations

FAILURE_EXIT_STATUS = 1
USAGE_EXIT_STATUS = 2
