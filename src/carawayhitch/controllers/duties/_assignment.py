"""Members that take the duties of the fleet, in order."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from carawayhitch.board import Board
from carawayhitch.controllers._cells import (
    LIVE_STATES,
    SCHEDULER_CANDIDATE_LIMIT,
    SCHEDULING_STATES,
    entry_scheduled_groups,
)
from carawayhitch.controllers.duties._order import order_by_strength, order_by_weight
from carawayhitch.core import rows

# Kinds of duties.
SCHEDULER = "scheduler"
WATCHER = "watcher"
LEASE_HOLDER = "lease_holder"


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


def is_watcher(board: Board, now: float) -> bool:
    """Return whether this node watches the store for its zone.

    An isolated node watches regardless of the ranking in its zone. A node whose peers
    have all left is isolated immediately. A node that has not discovered any peer yet
    only counts as isolated after `ObjectSetRow.isolated_after`.
    """
    live = [row for row in board.members_by_id.values() if row.state in LIVE_STATES]
    if not any(row.node_id != board.node_id for row in live):
        has_met_peers = bool(board.members_by_id.keys() - {board.node_id})
        return has_met_peers or now >= board.object_set.isolated_after
    return board.node_id in _watcher_ids(board)


def has_suspect_watcher(board: Board) -> bool:
    """Return whether a watcher of this node's zone does not answer its peers."""
    zone = board.settings.node.zone
    suspect = {
        row.node_id
        for row in board.members_by_id.values()
        if row.state == "suspect" and row.zone == zone
    }
    return bool(suspect) and not suspect.isdisjoint(_watcher_ids(board))


def _watcher_ids(board: Board) -> list[str]:
    """Return the watchers of this node's zone, which may include this node."""
    zone = board.settings.node.zone
    in_zone = {
        row.node_id
        for row in board.members_by_id.values()
        if row.state in LIVE_STATES and row.zone == zone
    } | {board.node_id}
    count = board.settings.store.watchers_per_zone
    # Not weighted: a watcher that also schedules a cell would read every change of an
    # upstream consistently and at once, which costs the store ten times as much as the
    # stale reads of other schedulers.
    # Scores are kept, since this order is needed at each change of the membership.
    equal = dict.fromkeys(in_zone, rows.MINIMUM_STRENGTH)
    return order_by_weight(f"watch/{zone}", equal)[:count]


def own_duties(board: Board, now: float) -> dict[str, tuple[str, ...]]:
    """Return the subjects of the duties of this node by kind of duty.

    Cells that each entry schedules by itself are no duty.
    """
    entry_scheduled = entry_scheduled_groups(board)
    cell_ids = (
        cell.cell_id
        for cell in board.cells_by_id.values()
        if cell.group not in entry_scheduled
        and board.schedulers_by_cell_id.get(cell.cell_id, ())[:1] == (board.node_id,)
    )
    zones = (board.settings.node.zone,) if is_watcher(board, now) else ()
    groups = (
        group
        for group, lease in board.leases_by_group.items()
        if lease.held and now < lease.deadline
    )
    return {
        SCHEDULER: tuple(sorted(cell_ids)),
        WATCHER: zones,
        LEASE_HOLDER: tuple(sorted(groups)),
    }
