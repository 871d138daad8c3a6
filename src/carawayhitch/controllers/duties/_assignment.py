"""Members that take the duties of the fleet, in order."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from carawayhitch.board import Board
from carawayhitch.controllers._cells import (
    SCHEDULER_CANDIDATE_LIMIT,
    SCHEDULING_STATES,
)
from carawayhitch.controllers.duties._order import order_by_strength
from carawayhitch.core import rows


def derive_schedulers(
    cells: Mapping[str, rows.CellRow],
    members: Iterable[rows.MemberRow],
    node_id: str,
    entry_scheduled_groups: frozenset[str] = frozenset(),
) -> dict[str, tuple[str, ...]]:
    """Return for each cell the entries that schedule it, in failover order.

    Entries of other regions are candidates only if the cell's region has none. A node
    that knows no schedulable member returns itself.
    """
    eligible = [member for member in members if member.state in SCHEDULING_STATES]
    strengths_by_region: dict[str, dict[str, int]] = {}
    for member in eligible:
        strengths_by_region.setdefault(member.region, {})[member.node_id] = (
            member.strength
        )
    all_strengths = {member.node_id: member.strength for member in eligible} or {
        node_id: rows.MINIMUM_STRENGTH
    }
    return {
        cell.cell_id: (node_id,)
        if cell.group in entry_scheduled_groups
        else tuple(
            order_by_strength(
                cell.cell_id, strengths_by_region.get(cell.region) or all_strengths
            )[:SCHEDULER_CANDIDATE_LIMIT]
        )
        for cell in cells.values()
    }


def order_members(board: Board, subject: str, node_ids: Iterable[str]) -> list[str]:
    """Return nodes in the order in which they take a duty, by the strengths known here.

    A node that is not a known member has the minimum strength.
    """
    members = board.members_by_id
    strengths_by_id = {
        node_id: members[node_id].strength
        if node_id in members
        else rows.MINIMUM_STRENGTH
        for node_id in node_ids
    }
    return order_by_strength(subject, strengths_by_id)
