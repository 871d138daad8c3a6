"""When calls leave the availability zone of their entry, and how many of them.

Nothing here takes effect unless ``locality.enabled`` is set. docs/design/locality.md
states what was weighed.
"""

from __future__ import annotations

from carawayhitch.controllers.locality._demand import decide
from carawayhitch.controllers.locality._order import order_upstreams
from carawayhitch.controllers.locality._reasons import find_entry_zone, find_zone_reason
from carawayhitch.controllers.locality._shares import (
    ZoneLoad,
    target_utilisation,
    zone_shares,
)

__all__ = [
    "ZoneLoad",
    "decide",
    "find_entry_zone",
    "find_zone_reason",
    "order_upstreams",
    "target_utilisation",
    "zone_shares",
]
