"""Duties of this node, and a lower strength while it is too late to serve them.

Failure: a VM that looks strong in its settings is slow for other reasons, and the
entries whose cells it schedules wait for it. It announces a lower strength, by which
the cells go to their next candidates.
"""

from __future__ import annotations

from collections.abc import Mapping
from random import Random

from carawayhitch.board import Board
from carawayhitch.controllers._cells import SCHEDULING_STATES
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.controllers.duties._assignment import SCHEDULER, own_duties
from carawayhitch.controllers.duties._strength import is_strength_known, strength_of
from carawayhitch.core import actions, events, rows

DUTY_LOAD_TIMER = "duty_load"
TICK_SECONDS = 0.5
# A window of 4 s outlasts single pauses of the process, which last one tick however
# long they are, and garbage collections.
WINDOW_TICKS = 8
CHOKED_TICKS = 4
# Half the strength is an eighth of the weight. A further step would send the cells of a
# fleet in which all strong VMs are choked to VMs that are weaker still.
CHOKED_DIVISOR = 2
# The duties that leave are what made the node late, so it is calm at once and would
# take them back. Each return that fails doubles the time until the next.
CHOKED_SECONDS = 30.0
MAXIMUM_DOUBLINGS = 3

decide = new_controller()


def own_strength(board: Board) -> int:
    """Return the strength that this node announces at present."""
    own = board.members_by_id.get(board.node_id)
    return own.strength if own is not None else strength_of(board.settings.node)


@decide.register(events.MembershipChanged)
@decide.register(events.UpstreamsChanged)
@decide.register(events.ConfigurationChanged)
def _update_duties(
    event: events.MembershipChanged
    | events.UpstreamsChanged
    | events.ConfigurationChanged,
    board: Board,
    now: float,
    random: Random,
) -> Actions:
    if not is_strength_known(board.settings.node):
        return ()
    decided: list[actions.Action] = []
    duties = own_duties(board, now)
    for kind, subjects in duties.items():
        known = board.duties_by_kind.get(kind, ())
        if subjects == known:
            continue
        board.duties_by_kind[kind] = subjects
        fields = {
            "duty": kind,
            "subjects": list(subjects),
            "strength": own_strength(board),
            "strongest": max(
                (row.strength for row in board.members_by_id.values()),
                default=rows.MINIMUM_STRENGTH,
            ),
            "members": len(board.members_by_id),
        }
        decided.append(actions.Log("info", "duties changed", fields))
    if _may_hand_over(board) and board.node_id not in board.duty_loads_by_node_id:
        row = rows.DutyLoadRow(board.node_id, now + TICK_SECONDS)
        board.duty_loads_by_node_id[board.node_id] = row
        decided.append(_next_tick(row))
    return decided


def _may_hand_over(board: Board) -> bool:
    """Return whether this node schedules cells in a fleet of uneven VMs.

    Among equal VMs, the next candidate of a cell is as likely to be late.
    """
    strengths = {
        row.strength
        for row in board.members_by_id.values()
        if row.state in SCHEDULING_STATES
    }
    return len(strengths) > 1 and bool(board.duties_by_kind.get(SCHEDULER))


def _next_tick(row: rows.DutyLoadRow) -> actions.SetTimer:
    return actions.SetTimer(row.tick_deadline, events.TimerFired(DUTY_LOAD_TIMER))


@decide.register(events.TimerFired)
def _measure_lateness(
    event: events.TimerFired, board: Board, now: float, random: Random
) -> Actions:
    if event.name != DUTY_LOAD_TIMER:
        return ()
    row = board.duty_loads_by_node_id.get(board.node_id)
    if row is None:
        return ()
    # Entries repeat an ask that is unanswered for this time.
    is_late = now - row.tick_deadline > board.settings.scheduling.ask_timeout_seconds
    row = row._replace(
        tick_deadline=now + TICK_SECONDS,
        late_ticks=(*row.late_ticks, is_late)[-WINDOW_TICKS:],
    )
    if row.choked_count and not row.choked_deadline and now >= row.calm_deadline:
        row = row._replace(choked_count=0, calm_deadline=0.0)
    may_hand_over = _may_hand_over(board)
    if not may_hand_over and not row.choked_count:
        del board.duty_loads_by_node_id[board.node_id]
        return ()
    board.duty_loads_by_node_id[board.node_id] = row
    return (*_change_strength(board, row, may_hand_over, now), _next_tick(row))


def _change_strength(
    board: Board, row: rows.DutyLoadRow, may_hand_over: bool, now: float
) -> Actions:
    full = strength_of(board.settings.node)
    late_count = sum(row.late_ticks)
    if row.choked_deadline:
        if now < row.choked_deadline or late_count:
            return ()
        row = row._replace(
            choked_deadline=0.0, calm_deadline=now + _choked_seconds(row.choked_count)
        )
        return _announce(board, row, full, "strength restored", {})
    reduced = max(rows.MINIMUM_STRENGTH, full // CHOKED_DIVISOR)
    if not may_hand_over or late_count < CHOKED_TICKS or reduced == full:
        return ()
    row = row._replace(
        late_ticks=(),
        choked_deadline=now + _choked_seconds(row.choked_count),
        choked_count=row.choked_count + 1,
    )
    fields = {"late_ticks": late_count, "until": round(row.choked_deadline, 3)}
    return _announce(board, row, reduced, "choked, strength lowered", fields)


def _choked_seconds(choked_count: int) -> float:
    return CHOKED_SECONDS * 2.0 ** min(choked_count, MAXIMUM_DOUBLINGS)


def _announce(
    board: Board,
    row: rows.DutyLoadRow,
    strength: int,
    message: str,
    fields: Mapping[str, object],
) -> Actions:
    board.duty_loads_by_node_id[board.node_id] = row
    return (
        actions.Log("warning", message, {"strength": strength, **fields}),
        actions.Emit(events.StrengthChanged(strength)),
    )
