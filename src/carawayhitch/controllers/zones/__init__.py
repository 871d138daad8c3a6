"""Availability zones taken out of use, and regions in which calls must stay."""

from __future__ import annotations

from carawayhitch.controllers.zones._drains import (
    accepts_work,
    decide,
    drained_upstream_ids,
    has_only_drained_upstreams,
    is_drained,
    retry_after_seconds,
    upstream_ids_in_use,
)
from carawayhitch.controllers.zones._homes import common_regions, is_allowed_region

__all__ = [
    "accepts_work",
    "common_regions",
    "decide",
    "drained_upstream_ids",
    "has_only_drained_upstreams",
    "is_allowed_region",
    "is_drained",
    "retry_after_seconds",
    "upstream_ids_in_use",
]
