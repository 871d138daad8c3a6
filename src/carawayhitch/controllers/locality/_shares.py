"""Shares of a zone's calls that each zone serves, by water-filling over capacities.

The inputs are the calls that arrive and the servers that are usable. Neither depends on
where earlier calls were sent, so entries that decide by the same news do not swing.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import sqrt
from typing import NamedTuple

# Beyond this utilisation the expected wait grows faster than estimates of an entry
# follow, so that calls leave even if that costs more than the wait.
UTILISATION_LIMIT = 0.9
BISECTION_STEPS = 20
# Less than any server runs at once. Quotients by smaller capacities could overflow.
MINIMUM_CAPACITY = 0.001


class ZoneLoad(NamedTuple):
    """Servers of a zone and the calls that arrive at its entries.

    Parameters
    ----------
    capacity : float
        Calls that the usable servers of the zone run at the same time.
    demand : float
        Calls that the entries of the zone would have running there at the same time.
    """

    zone: str
    capacity: float
    demand: float


def expected_wait_seconds(
    utilisation: float, slots: float, service_seconds: float
) -> float:
    """Return the mean wait for a slot, by Sakasegawa's approximation for M/M/c.

    Parameters
    ----------
    utilisation : float
        Share of the slots that calls occupy, below 1.
    """
    exponent = max(0.0, sqrt(2.0 * (slots + 1.0)) - 1.0)
    power = float(utilisation**exponent)
    return service_seconds * power / (max(1.0, slots) * (1.0 - utilisation))


def target_utilisation(
    slots: float, service_seconds: float, leaving_seconds: float
) -> float:
    """Return the utilisation at which the wait costs as much as leaving the zone."""
    low, high = 0.0, UTILISATION_LIMIT
    if expected_wait_seconds(high, slots, service_seconds) <= leaving_seconds:
        return high
    for _ in range(BISECTION_STEPS):
        middle = (low + high) / 2
        if expected_wait_seconds(middle, slots, service_seconds) <= leaving_seconds:
            low = middle
        else:
            high = middle
    return low


def zone_shares(
    zones: Sequence[ZoneLoad], own_zone: str, target: float, own_limit: float = 1.0
) -> dict[str, float]:
    """Return the share of the own zone's calls that each zone serves.

    A zone keeps its calls up to a level that is the same for all zones: the target
    utilisation, or the utilisation of all zones together if that is higher. Only zones
    above the level send calls away, and only zones below it receive any, so that no two
    zones send calls to each other.

    Parameters
    ----------
    own_limit : float
        Largest share that the own zone keeps while others have room.

    Returns
    -------
    dict of str to float
        Shares by zone with a sum of 1; empty if no zone has capacity.
    """
    total_capacity = sum(load.capacity for load in zones)
    if total_capacity < MINIMUM_CAPACITY:
        return {}
    total_demand = sum(load.demand for load in zones)
    level = max(target, total_demand / total_capacity)
    own = next((load for load in zones if load.zone == own_zone), None)
    own_capacity = own.capacity if own else 0.0
    own_demand = own.demand if own else 0.0
    rooms_by_zone = {
        load.zone: max(0.0, level * load.capacity - load.demand)
        for load in zones
        if load.zone != own_zone
    }
    total_room = sum(rooms_by_zone.values())
    if own_capacity <= 0:
        if total_room <= 0:
            rooms_by_zone = {
                load.zone: load.capacity for load in zones if load.zone != own_zone
            }
        return _spread(1.0, rooms_by_zone)
    if total_room <= 0:
        return {own_zone: 1.0}
    excess = max(0.0, own_demand - level * own_capacity)
    if own_limit < 1.0:
        excess = max(excess, min((1.0 - own_limit) * own_demand, total_room))
    kept = 1.0 - min(1.0, excess / own_demand) if own_demand > 0 else 1.0
    return {own_zone: kept, **_spread(1.0 - kept, rooms_by_zone)}


def _spread(share: float, weights_by_zone: dict[str, float]) -> dict[str, float]:
    total = sum(weights_by_zone.values())
    return {
        zone: share * weight / total
        for zone, weight in weights_by_zone.items()
        if weight > 0
    }
