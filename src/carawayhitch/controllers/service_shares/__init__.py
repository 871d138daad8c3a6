"""Shares of client accounts in plain services that all entries use by themselves.

Nothing here takes effect unless ``scheduling.service_shares`` is set. See
docs/design/service-shares.md.
"""

from __future__ import annotations

from carawayhitch.controllers.service_shares._allotment import (
    PriorityDemand,
    ServerState,
    accepted_shares,
    service_capacity,
)
from carawayhitch.controllers.service_shares._decisions import decide
from carawayhitch.controllers.service_shares._limits import (
    accepts,
    active_limits,
    charged_size,
    limit_of,
    retry_after_seconds,
    spend_credit,
)

__all__ = [
    "PriorityDemand",
    "ServerState",
    "accepted_shares",
    "accepts",
    "active_limits",
    "charged_size",
    "decide",
    "limit_of",
    "retry_after_seconds",
    "service_capacity",
    "spend_credit",
]
