"""Duties of entries for the fleet, given to strong VMs first."""

from __future__ import annotations

from carawayhitch.controllers.duties._assignment import (
    derive_schedulers,
    order_members,
)
from carawayhitch.controllers.duties._strength import (
    is_strength_known,
    strength_of,
)

__all__ = [
    "derive_schedulers",
    "is_strength_known",
    "order_members",
    "strength_of",
]
