"""What an entry knows of the zones of a plain service, and the shares of its calls."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from carawayhitch.board import Board
from carawayhitch.controllers._cells import UPSTREAM_CHOOSING_STATES
from carawayhitch.controllers.locality._costs import leaving_seconds
from carawayhitch.controllers.locality._demand import (
    calls_per_second,
    recent_answer_times,
)
from carawayhitch.controllers.locality._shares import (
    UTILISATION_LIMIT,
    ZoneLoad,
    target_utilisation,
    zone_shares,
)
from carawayhitch.core import rows

# Answer times of a zone vary by a fifth of their mean around it. Below this factor a
# zone does not count as slower than another one.
SLOW_FACTOR = 1.5
# Part of the calls of a busy zone that leave while the other zones' answer times are
# not known, until there are so many answers from there. Otherwise a zone that was slow
# from the start would not be recognised as such.
TRIAL_SHARE = 0.05
TRIAL_ANSWERS = 4


class ServiceView(NamedTuple):
    """A plain service as an entry knows it.

    Parameters
    ----------
    slots_by_zone : dict of str to int
        Slots of the servers that may be used.
    entry_counts_by_zone : dict of str to int
        Entries that choose servers, this one included.
    answer_times_by_zone : dict of str to ZoneAnswerTimeRow
        Recent answer times that this entry saw.
    reference_seconds : float
        Usual answer time; 0 if unknown.
    fastest_seconds : float
        Usual answer time, or that of the fastest zone if it is shorter.
    entry_demand : float
        Calls of one entry that run at the same time if none of them waits.
    price_seconds : float
        What leaving the zone costs a call.
    """

    own_zone: str
    slots_by_zone: Mapping[str, int]
    entry_counts_by_zone: Mapping[str, int]
    answer_times_by_zone: Mapping[str, rows.ZoneAnswerTimeRow]
    reference_seconds: float
    fastest_seconds: float
    entry_demand: float
    price_seconds: float


def own_zone_shares(
    board: Board, allowed: Sequence[rows.UpstreamRow], ask: rows.AskRow, now: float
) -> dict[str, float]:
    """Return the share of this entry's calls that each zone serves."""
    view = _build_view(board, allowed, ask, now)
    demands_by_zone = {
        zone: count * view.entry_demand
        for zone, count in view.entry_counts_by_zone.items()
    }
    all_slots = sum(view.slots_by_zone.values())
    # Answer times include waits for a slot. If all zones together are full, they show
    # where calls wait and not which servers are slow.
    are_full = sum(demands_by_zone.values()) > UTILISATION_LIMIT * all_slots
    zones = [
        ZoneLoad(
            zone,
            view.slots_by_zone.get(zone, 0)
            * (1.0 if are_full else _relative_speed(view, zone)),
            demands_by_zone.get(zone, 0.0),
        )
        for zone in sorted({*view.slots_by_zone, *demands_by_zone})
    ]
    own_slots = view.slots_by_zone.get(view.own_zone, 0)
    target = target_utilisation(own_slots, view.fastest_seconds, view.price_seconds)
    own_limit = 1.0 if are_full else _relative_speed(view, view.own_zone)
    shares = zone_shares(zones, view.own_zone, target, own_limit)
    if demands_by_zone[view.own_zone] <= target * own_slots:
        return shares
    return _with_trials(view, shares)


def _build_view(
    board: Board, allowed: Sequence[rows.UpstreamRow], ask: rows.AskRow, now: float
) -> ServiceView:
    slots_by_zone: Counter[str] = Counter()
    for upstream in allowed:
        slots_by_zone[upstream.zone] += upstream.running_limit
    own_zone = board.settings.node.zone
    entry_counts_by_zone = Counter(
        member.zone
        for member in board.members_by_id.values()
        if member.state in UPSTREAM_CHOOSING_STATES and member.node_id != board.node_id
    )
    entry_counts_by_zone[own_zone] += 1
    demand = board.zone_demands_by_cell_id.get(ask.cell_id, rows.ZoneDemandRow())
    times_by_zone = recent_answer_times(demand, now)
    fastest_seconds = min(
        [demand.reference_seconds, *(row.seconds for row in times_by_zone.values())]
    )
    window = board.settings.locality.rate_window_seconds
    return ServiceView(
        own_zone=own_zone,
        slots_by_zone=slots_by_zone,
        entry_counts_by_zone=entry_counts_by_zone,
        answer_times_by_zone=times_by_zone,
        reference_seconds=demand.reference_seconds,
        fastest_seconds=fastest_seconds,
        # Callers reach the entries of their zone evenly. Each entry therefore takes its
        # own rate as that of every other entry, and the mean over them is right.
        entry_demand=fastest_seconds * calls_per_second(demand, window, now),
        price_seconds=leaving_seconds(board, ask, is_engine=False),
    )


def _other_answer_times(view: ServiceView, zone: str) -> list[rows.ZoneAnswerTimeRow]:
    """Return the answer times of the other zones that have usable servers."""
    return [
        times
        for other_zone, times in view.answer_times_by_zone.items()
        if other_zone != zone and view.slots_by_zone.get(other_zone)
    ]


def _relative_speed(view: ServiceView, zone: str) -> float:
    """Return the speed of a zone's servers as a share of the fastest other zone's.

    Differences within `SLOW_FACTOR`, or below the price of leaving, count as none. A
    slow zone keeps this share of its calls, which shows when it is fast again.
    """
    known = view.answer_times_by_zone.get(zone)
    if known is None:
        return 1.0
    fastest = min(
        (times.seconds for times in _other_answer_times(view, zone)),
        default=view.reference_seconds,
    )
    accepted = max(fastest + view.price_seconds, fastest * SLOW_FACTOR)
    return min(1.0, accepted / known.seconds)


def _with_trials(
    view: ServiceView, shares_by_zone: Mapping[str, float]
) -> dict[str, float]:
    """Let some calls leave if too few answers of other zones are known."""
    others = [zone for zone in view.slots_by_zone if zone != view.own_zone]
    answers = sum(
        times.answer_count for times in _other_answer_times(view, view.own_zone)
    )
    kept = shares_by_zone.get(view.own_zone, 0.0)
    if not others or answers >= TRIAL_ANSWERS or kept <= 1.0 - TRIAL_SHARE:
        return dict(shares_by_zone)
    return {
        view.own_zone: 1.0 - TRIAL_SHARE,
        **{zone: TRIAL_SHARE / len(others) for zone in others},
    }
