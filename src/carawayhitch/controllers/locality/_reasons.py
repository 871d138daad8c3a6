"""Zones of entries, and why a call was sent to an upstream in its zone."""

from __future__ import annotations

from typing import Literal

from carawayhitch.board import Board

ZoneReason = Literal["own_zone", "none_usable", "less_wait", "unknown"]


def find_entry_zone(board: Board, entry_id: str) -> str:
    """Return the availability zone of an entry; empty if it is not known."""
    if entry_id == board.node_id:
        return board.settings.node.zone
    member = board.members_by_id.get(entry_id)
    return member.zone if member else ""


def find_zone_reason(
    board: Board, cell_id: str, entry_zone: str, upstream_id: str, now: float
) -> ZoneReason:
    """Return why an upstream of a cell was chosen for calls of an entry's zone."""
    upstream = board.upstreams_by_id.get(upstream_id)
    cell = board.cells_by_id.get(cell_id)
    if upstream is None or cell is None or not entry_zone:
        return "unknown"
    if upstream.zone == entry_zone:
        return "own_zone"
    has_usable = any(
        (other := board.upstreams_by_id.get(other_id)) is not None
        and other.zone == entry_zone
        and other.accepts_new_requests(now)
        for other_id in cell.upstream_ids
    )
    return "less_wait" if has_usable else "none_usable"
