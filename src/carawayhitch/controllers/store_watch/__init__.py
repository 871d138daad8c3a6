"""Lists and watches of the store by each entry, within the bounds of the platform."""

from __future__ import annotations

from carawayhitch.controllers.store_watch._scopes import (
    LIST_OPERATION,
    STORE_CALL_TIMER,
    WATCH_OPERATION,
)
from carawayhitch.controllers.store_watch._waits import (
    PROBE_WATCH_SECONDS,
    answer_interval_seconds,
    maximum_silence_seconds,
)
from carawayhitch.controllers.store_watch._watches import decide

__all__ = [
    "LIST_OPERATION",
    "PROBE_WATCH_SECONDS",
    "STORE_CALL_TIMER",
    "WATCH_OPERATION",
    "answer_interval_seconds",
    "decide",
    "maximum_silence_seconds",
]
