"""Limit of the requests that cold upstreams receive.

See docs/design/cold-servers.md.
"""

from __future__ import annotations

from carawayhitch.controllers.cold_start._decisions import (
    begin_warm_up,
    count_cold_upstreams,
    decide,
)
from carawayhitch.controllers.cold_start._limits import (
    grant_limit,
    has_room,
    is_cold,
    record_grant,
)

__all__ = [
    "begin_warm_up",
    "count_cold_upstreams",
    "decide",
    "grant_limit",
    "has_room",
    "is_cold",
    "record_grant",
]
