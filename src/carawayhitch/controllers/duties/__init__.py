"""Duties of entries for the fleet, given to strong VMs first."""

from __future__ import annotations

from carawayhitch.controllers.duties._assignment import (
    derive_schedulers,
    has_suspect_watcher,
    is_watcher,
    order_members,
    own_duties,
)
from carawayhitch.controllers.duties._choking import decide, own_strength
from carawayhitch.controllers.duties._strength import is_strength_known, strength_of

__all__ = [
    "decide",
    "derive_schedulers",
    "has_suspect_watcher",
    "is_strength_known",
    "is_watcher",
    "order_members",
    "own_duties",
    "own_strength",
    "strength_of",
]
