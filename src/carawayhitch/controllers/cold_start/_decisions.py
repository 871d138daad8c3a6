"""Which upstreams count as cold, by registrations, load reports and failures."""

from __future__ import annotations

from random import Random

from carawayhitch.board import Board
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.controllers.cold_start._limits import (
    cell_of,
    has_room,
    is_cold,
    limited_group,
)
from carawayhitch.core import actions, events, rows

# A report is too old after two intervals without one, and the time to read it.
REPORT_INTERVAL_COUNT = 2
REPORT_SLACK_SECONDS = 1.0

decide = new_controller()


def begin_warm_up(
    board: Board, upstream_id: str, reason: str, until: float, now: float
) -> Actions:
    """Count an upstream as cold until a time, or for its warm-up if that is shorter.

    Parameters
    ----------
    reason : str
        Why it counts as cold, for the log.
    until : float
        Time in seconds of the node clock.
    """
    row = board.cold_starts_by_upstream_id.get(upstream_id)
    cell = cell_of(board, upstream_id)
    group = limited_group(board, cell.group) if cell else None
    if row is None or cell is None or group is None:
        return ()
    # Clocks of upstreams may be wrong: no announcement outlasts the warm-up.
    cold_until = max(row.cold_until, min(until, now + group.warm_up_seconds))
    board.cold_starts_by_upstream_id[upstream_id] = row._replace(cold_until=cold_until)
    if now < row.cold_until or not _is_scheduled_here(board, cell.cell_id):
        return ()
    fields = {
        "upstream": upstream_id,
        "reason": reason,
        "seconds": round(cold_until - now, 3),
    }
    return (actions.Log("info", "upstream counts as cold", fields),)


def _is_scheduled_here(board: Board, cell_id: str) -> bool:
    return board.node_id in board.schedulers_by_cell_id.get(cell_id, ())[:1]


def count_cold_upstreams(board: Board, now: float) -> dict[str, int]:
    """Return how many cold upstreams of own cells have room for a request or none."""
    counts = {"free": 0, "used_up": 0}
    for cell in board.cells_by_id.values():
        if not _is_scheduled_here(board, cell.cell_id):
            continue
        for upstream_id in cell.upstream_ids:
            if is_cold(board, upstream_id, now):
                room = has_room(board, upstream_id, now)
                counts["free" if room else "used_up"] += 1
    return counts


@decide.register(events.VmListReceived)
def _apply_registrations(
    event: events.VmListReceived, board: Board, now: float, random: Random
) -> Actions:
    decided = _update_rows(board, now)
    vms_by_id = {vm.vm_id: vm for vm in event.vms}
    for row in list(board.cold_starts_by_upstream_id.values()):
        decided += _apply_registration(board, row, vms_by_id.get(row.upstream_id), now)
    return decided


def _apply_registration(
    board: Board, row: rows.ColdStartRow, vm: events.VmListed | None, now: float
) -> list[actions.Action]:
    if vm is None:
        # When it is listed again it counts as a new instance.
        board.cold_starts_by_upstream_id[row.upstream_id] = row._replace(address="")
        return []
    board.cold_starts_by_upstream_id[row.upstream_id] = row._replace(
        address=vm.address,
        started_at=max(row.started_at, vm.started_at),
        announced_seconds=vm.cold_left_seconds,
        registration_version=vm.version,
    )
    if vm.address != row.address or vm.started_at > row.started_at:
        return [*_begin_whole_warm_up(board, row.upstream_id, "started", now)]
    known = (row.announced_seconds, row.registration_version)
    if not vm.cold_left_seconds or (vm.cold_left_seconds, vm.version) == known:
        return []
    until = now + vm.cold_left_seconds
    return [*begin_warm_up(board, row.upstream_id, "registration", until, now)]


def _begin_whole_warm_up(
    board: Board, upstream_id: str, reason: str, now: float
) -> Actions:
    return begin_warm_up(board, upstream_id, reason, float("inf"), now)


@decide.register(events.ConfigurationChanged)
def _apply_configuration(
    event: events.ConfigurationChanged, board: Board, now: float, random: Random
) -> Actions:
    return _update_rows(board, now)


@decide.register(events.UpstreamsChanged)
@decide.register(events.MembershipChanged)
def _delete_shares(
    event: events.UpstreamsChanged | events.MembershipChanged,
    board: Board,
    now: float,
    random: Random,
) -> Actions:
    board.cold_shares_by_upstream_id.clear()
    return ()


def _update_rows(board: Board, now: float) -> list[actions.Action]:
    """Add rows of new upstreams, which count as cold, and delete those of others."""
    board.cold_shares_by_upstream_id.clear()
    limited_ids = {
        upstream_id: None
        for cell in board.cells_by_id.values()
        if limited_group(board, cell.group)
        for upstream_id in cell.upstream_ids
        if upstream_id in board.upstreams_by_id
    }
    for upstream_id in board.cold_starts_by_upstream_id.keys() - limited_ids.keys():
        del board.cold_starts_by_upstream_id[upstream_id]
        board.cold_grant_deadlines_by_upstream_id.pop(upstream_id, None)
    decided: list[actions.Action] = []
    for upstream_id in limited_ids:
        if upstream_id in board.cold_starts_by_upstream_id:
            continue
        upstream = board.upstreams_by_id[upstream_id]
        board.cold_starts_by_upstream_id[upstream_id] = rows.ColdStartRow(
            upstream_id, upstream.address, upstream.started_at, cold_until=0.0
        )
        decided += _begin_whole_warm_up(board, upstream_id, "first seen", now)
    return decided


@decide.register(events.LoadReported)
def _apply_load_report(
    event: events.LoadReported, board: Board, now: float, random: Random
) -> Actions:
    row = board.cold_starts_by_upstream_id.get(event.upstream_id)
    if row is None:
        return ()
    interval = board.settings.scheduling.load_interval_seconds
    board.cold_starts_by_upstream_id[event.upstream_id] = row._replace(
        started_at=max(row.started_at, event.incarnation),
        report_deadline=now + REPORT_INTERVAL_COUNT * interval + REPORT_SLACK_SECONDS,
    )
    if event.incarnation > row.started_at:
        return _begin_whole_warm_up(board, event.upstream_id, "started", now)
    if now >= row.report_deadline:
        return _begin_whole_warm_up(board, event.upstream_id, "no recent report", now)
    if event.cold_until > now:
        return begin_warm_up(
            board, event.upstream_id, "load report", event.cold_until, now
        )
    return ()


@decide.register(events.ColdAnnounced)
def _apply_announcement(
    event: events.ColdAnnounced, board: Board, now: float, random: Random
) -> Actions:
    return begin_warm_up(board, event.upstream_id, "answer", event.cold_until, now)


@decide.register(events.LoadUnavailable)
def _expect_return_after_failed_poll(
    event: events.LoadUnavailable, board: Board, now: float, random: Random
) -> Actions:
    return _expect_return(board, event.upstream_id, now)


@decide.register(events.ListeningChecked)
def _expect_return_after_refusal(
    event: events.ListeningChecked, board: Board, now: float, random: Random
) -> Actions:
    if event.outcome != "refused":
        return ()
    return _expect_return(board, event.upstream_id, now)


def _expect_return(board: Board, upstream_id: str, now: float) -> Actions:
    """Count an unreachable upstream as cold from when it may get requests again."""
    upstream = board.upstreams_by_id.get(upstream_id)
    if upstream is None:
        return ()
    # The upstream gets no requests before that time.
    returns_at = max(now, upstream.unreachable_until)
    return _begin_whole_warm_up(board, upstream_id, "unreachable", returns_at)


@decide.register(events.ZoneDrainsChanged)
def _expect_cold_upstreams_of_returned_zones(
    event: events.ZoneDrainsChanged, board: Board, now: float, random: Random
) -> Actions:
    """Count the upstreams of a zone that is taken back as cold.

    They may have become cold while they got no requests.
    """
    decided: list[actions.Action] = []
    for upstream in list(board.upstreams_by_id.values()):
        if upstream.zone in event.ended:
            decided += _begin_whole_warm_up(
                board, upstream.upstream_id, "zone taken back", now
            )
    return decided
