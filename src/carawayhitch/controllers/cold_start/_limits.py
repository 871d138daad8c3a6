"""Shares of the request rate of a cold upstream, and the grants that use them up."""

from __future__ import annotations

from functools import singledispatch

from carawayhitch.board import Board
from carawayhitch.controllers import duties
from carawayhitch.controllers._cells import order_by_rendezvous
from carawayhitch.core import declarations, rows

# The bound counts the requests that arrive within one second.
ARRIVAL_SECONDS = 1.0
# Entries that get a half, a quarter and an eighth of the bound, in failover order. The
# remainder is given to the next entries, one request each.
HALVED_SHARE_COUNT = 3


@singledispatch
def grant_limit(share: object) -> int:
    """Return how many grants a node may give within one window.

    The limits of all nodes that order the entries alike add up to the bound at most,
    whichever of them schedule at the same time.
    """
    raise TypeError(f"expected a SchedulerShareRow or EntryShareRow, got {share!r}")


@grant_limit.register
def _scheduler_limit(share: rows.SchedulerShareRow) -> int:
    halves = [share.bound >> (index + 1) for index in range(HALVED_SHARE_COUNT)]
    if share.position < HALVED_SHARE_COUNT:
        return halves[share.position]
    return int(share.position - HALVED_SHARE_COUNT < share.bound - sum(halves))


@grant_limit.register
def _entry_limit(share: rows.EntryShareRow) -> int:
    # Half of the bound covers entries whose member tables differ for a moment.
    usable = share.bound // 2
    whole, remainder = divmod(usable, share.entry_count)
    return whole + (share.position < remainder)


def limited_group(board: Board, group: str) -> declarations.ServingGroup | None:
    """Return a serving group if requests to its cold upstreams are limited."""
    configuration = board.configuration
    if configuration is None or not board.settings.scheduling.cold_overage:
        return None
    declared = configuration.serving_groups_by_name.get(group)
    if declared is None:
        return None
    is_limited = declared.warm_up_seconds and declared.cold_requests_per_second
    return declared if is_limited else None


def cell_of(board: Board, upstream_id: str) -> rows.CellRow | None:
    """Return the first cell with a limit that contains an upstream, or None."""
    for cell in board.cells_by_id.values():
        if upstream_id in cell.upstream_ids and limited_group(board, cell.group):
            return cell
    return None


def _request_bound(board: Board, group: declarations.ServingGroup) -> int:
    """Return the requests that may reach a cold upstream within one second."""
    scheduling = board.settings.scheduling
    rate = group.cold_requests_per_second
    return int(rate * scheduling.cold_overage + scheduling.cold_slack)


def _window_seconds(board: Board) -> float:
    """Return the time for which a grant counts.

    An entry may send a request until its grant expires and the connection times out,
    so this time covers all grants whose requests can arrive within the same second.
    """
    settings = board.settings
    return (
        ARRIVAL_SECONDS
        + settings.scheduling.grant_lifetime_seconds
        + settings.streams.connect_timeout_seconds
    )


def _regions_by_entry(board: Board) -> dict[str, str]:
    """Return all entries that may give grants, with their regions.

    Dead members count while the platform lists them: they may only be out of reach,
    and their grants may still be in use.
    """
    regions_by_id = {
        row.node_id: row.region
        for row in board.members_by_id.values()
        if row.state != "left"
        and (row.state != "dead" or row.node_id in board.listed_entries_by_vm_id)
    }
    regions_by_id.setdefault(board.node_id, board.settings.node.region)
    return regions_by_id


def _region_first(
    order: list[str], regions_by_id: dict[str, str], region: str
) -> list[str]:
    return sorted(order, key=lambda node_id: regions_by_id[node_id] != region)


def _own_share(
    board: Board, upstream_id: str
) -> rows.SchedulerShareRow | rows.EntryShareRow:
    cell = cell_of(board, upstream_id)
    group = limited_group(board, cell.group) if cell else None
    if cell is None or group is None:
        return rows.SchedulerShareRow(bound=0, position=0)
    bound = _request_bound(board, group)
    regions_by_id = _regions_by_entry(board)
    if group.scheduler == "cell":
        # The order in which they schedule the cell.
        order = duties.order_members(board, cell.cell_id, regions_by_id)
        order = _region_first(order, regions_by_id, cell.region)
        return rows.SchedulerShareRow(bound, order.index(board.node_id))
    # By upstream, so that an entry without a share of one has a share of another.
    order = order_by_rendezvous(upstream_id, regions_by_id)
    order = _region_first(order, regions_by_id, cell.region)
    return rows.EntryShareRow(bound, order.index(board.node_id), len(order))


def _share(
    board: Board, upstream_id: str
) -> rows.SchedulerShareRow | rows.EntryShareRow:
    """Return the share of this node, which is kept until entries or cells change."""
    share = board.cold_shares_by_upstream_id.get(upstream_id)
    if share is None:
        share = _own_share(board, upstream_id)
        board.cold_shares_by_upstream_id[upstream_id] = share
    return share


def is_cold(board: Board, upstream_id: str, now: float) -> bool:
    """Return whether an upstream counts as cold.

    An engine whose last report is too old counts as cold: it may have been away.
    """
    row = board.cold_starts_by_upstream_id.get(upstream_id)
    if row is None:
        return False
    if now < row.cold_until:
        return True
    upstream = board.upstreams_by_id.get(upstream_id)
    if upstream is None or upstream.kind != "engine":
        return False
    return now >= row.report_deadline


def has_room(board: Board, upstream_id: str, now: float) -> bool:
    """Return whether this node may grant another request to an upstream."""
    if not is_cold(board, upstream_id, now):
        return True
    deadlines = board.cold_grant_deadlines_by_upstream_id.get(upstream_id, ())
    counted = sum(deadline > now for deadline in deadlines)
    return counted < grant_limit(_share(board, upstream_id))


def record_grant(board: Board, upstream_id: str, now: float) -> None:
    """Count a grant, also at a warm upstream: it may become cold at any time."""
    if upstream_id not in board.cold_starts_by_upstream_id:
        return
    deadlines = board.cold_grant_deadlines_by_upstream_id.get(upstream_id, ())
    # No limit is higher than the bound, so older grants make no difference.
    kept_count = max(1, _share(board, upstream_id).bound)
    board.cold_grant_deadlines_by_upstream_id[upstream_id] = (
        *(deadline for deadline in deadlines if deadline > now),
        now + _window_seconds(board),
    )[-kept_count:]
