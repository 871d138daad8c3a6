"""Evacuation of engines that leave: one order of moves for all entries.

Copies leave an engine over one link, one after another. If each entry moved its own
generations, every copy would wait for the others, and a generation that is stopped for
its last copy would wait as well. The scheduler of the cell knows all generations and
orders one move at a time, in an order that loses the fewest answers. An
evacuation begins with the notice, or when a scheduler that took over is told of a
generation on an engine that leaves.
"""

from __future__ import annotations

from bisect import bisect_right
from random import Random
from typing import NamedTuple

from carawayhitch.board import Board
from carawayhitch.controllers import _lengths, _memory, _rebuild
from carawayhitch.controllers._cells import engine_capacity
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.controllers._upstream_choice import (
    has_slot,
    is_usable,
    upstream_load,
)
from carawayhitch.core import actions, declarations, events, messages, rows

EVACUATION_TIMER = "evacuation"
REPORT_TIMER = "evacuation_report"
# Reports hold the state of half a second ago; an earlier one would not know the notice.
REPORT_LAG_SECONDS = 0.6
# Engines are reclaimed with 1.5 to 2.1 s of notice; used until a report tells the time.
DEFAULT_NOTICE_SECONDS = 1.5
# Generations that had no token yet are looked at again at this interval.
CHECK_SECONDS = 0.1
# Two calls to the engine and two messages between entries beside the copy itself.
MOVE_OVERHEAD_SECONDS = 0.05
# An order is lost if it is not answered by this time after the expected one.
REPORT_SLACK_SECONDS = 0.3
# Between availability zones a copy takes twice as long.
CROSS_ZONE_FACTOR = 2.0
# Time of a token while little is known of a generation's rate.
DEFAULT_TOKEN_SECONDS = 0.01

decide = new_controller()


class Candidate(NamedTuple):
    """A generation that could be moved next.

    Parameters
    ----------
    loss : float
        Probability that the answer is lost without the move. Callers lose an answer,
        however much of it there was.
    seconds : float
        Time of the copy.
    """

    grant: rows.GrantRow
    target: rows.UpstreamRow
    loss: float
    seconds: float


def held_tokens(grant: rows.GrantRow) -> int:
    """Return the tokens that a generation holds in the memory of its engine."""
    return grant.prompt_tokens + grant.token_count


def copy_seconds(
    capacity: declarations.EngineCapacity, tokens: int, same_zone: bool
) -> float:
    """Return how long the copy of a generation's memory takes, in seconds."""
    if not capacity.link_bits_per_second:
        return 0.0
    seconds = tokens * capacity.token_bytes * 8 / capacity.link_bits_per_second
    return seconds if same_zone else seconds * CROSS_ZONE_FACTOR


def _share_unfinished(
    board: Board, grant: rows.GrantRow, seconds: float, now: float
) -> float:
    """Return the probability that a generation runs longer than some time."""
    elapsed = grant.renewed_at - grant.granted_at
    token_seconds = DEFAULT_TOKEN_SECONDS
    if grant.token_count and elapsed > 0:
        token_seconds = min(DEFAULT_TOKEN_SECONDS, elapsed / grant.token_count)
    produced = grant.token_count + int((now - grant.renewed_at) / token_seconds)
    further = seconds / token_seconds
    shares = _lengths.survival_shares(
        board, grant.binding, produced, grant.maximum_tokens
    )
    index = bisect_right(_lengths.HORIZONS, further) - 1
    return shares[max(0, index)]


@decide.register(events.UpstreamLeaving)
def _begin(
    event: events.UpstreamLeaving, board: Board, now: float, random: Random
) -> Actions:
    upstream = board.upstreams_by_id.get(event.upstream_id)
    return _evacuate(board, upstream, now) if upstream is not None else ()


@decide.register(messages.Progress)
def _begin_late(
    event: messages.Progress, board: Board, now: float, random: Random
) -> Actions:
    """Begin an evacuation that the scheduler before did not begin or end."""
    decided: list[actions.Action] = []
    for upstream_id in dict.fromkeys(row.upstream_id for row in event.running):
        upstream = board.upstreams_by_id.get(upstream_id)
        if upstream is None or not upstream.leaving:
            continue
        if upstream_id not in board.evacuations_by_upstream_id:
            decided.extend(_evacuate(board, upstream, now))
    return decided


def _evacuate(board: Board, upstream: rows.UpstreamRow, now: float) -> Actions:
    upstream_id = upstream.upstream_id
    cell = next(
        (
            cell
            for cell in board.cells_by_id.values()
            if upstream_id in cell.upstream_ids
        ),
        None,
    )
    if cell is None or upstream_id not in board.grant_ids_by_upstream_id:
        return ()
    capacity = engine_capacity(board, cell.group)
    if capacity is None or not capacity.can_move:
        return ()
    since = upstream.leaving_since or now
    deadline = upstream.leaves_at or since + DEFAULT_NOTICE_SECONDS
    if now >= deadline:
        return ()
    board.evacuations_by_upstream_id[upstream_id] = rows.EvacuationRow(
        upstream_id, cell.cell_id, deadline
    )
    running = len(board.grant_ids_by_upstream_id[upstream_id])
    fields = {
        "upstream": upstream_id,
        "running": running,
        "seconds_left": round(deadline - now, 3),
    }
    return (
        actions.Log("info", "evacuation begins", fields),
        actions.SetTimer(
            now + REPORT_LAG_SECONDS, events.TimerFired(REPORT_TIMER, upstream_id)
        ),
        *_order_next(board, upstream_id, now),
        _check_later(upstream_id, now),
    )


@decide.register(events.UpstreamsChanged)
def _forget(
    event: events.UpstreamsChanged, board: Board, now: float, random: Random
) -> Actions:
    """Forget evacuations of engines that are gone or came back as another process."""
    for upstream_id in list(board.evacuations_by_upstream_id):
        upstream = board.upstreams_by_id.get(upstream_id)
        if upstream is None or not upstream.leaving:
            del board.evacuations_by_upstream_id[upstream_id]
    return ()


def _check_later(upstream_id: str, now: float) -> actions.SetTimer:
    timer = events.TimerFired(EVACUATION_TIMER, upstream_id)
    return actions.SetTimer(now + CHECK_SECONDS, timer)


@decide.register(events.LoadReported)
def _note_deadline(
    event: events.LoadReported, board: Board, now: float, random: Random
) -> Actions:
    evacuation = board.evacuations_by_upstream_id.get(event.upstream_id)
    if evacuation is None or not event.leaves_at:
        return ()
    board.evacuations_by_upstream_id[event.upstream_id] = evacuation._replace(
        deadline=event.leaves_at
    )
    return ()


@decide.register(events.TimerFired)
def _check(
    event: events.TimerFired, board: Board, now: float, random: Random
) -> Actions:
    if event.name == REPORT_TIMER:
        upstream = board.upstreams_by_id.get(event.subject)
        return (actions.PollLoad(event.subject, upstream.address),) if upstream else ()
    if event.name != EVACUATION_TIMER:
        return ()
    evacuation = board.evacuations_by_upstream_id.get(event.subject)
    if evacuation is None:
        return ()
    if now >= evacuation.deadline:
        # The row stays while the engine does, so that nothing is ordered again.
        board.evacuations_by_upstream_id[event.subject] = evacuation._replace(
            moving_request_id=""
        )
        left = len(board.grant_ids_by_upstream_id.get(event.subject, ()))
        fields = {"upstream": event.subject, "running": left}
        return (actions.Log("info", "evacuation ends", fields),)
    decided: Actions = ()
    if evacuation.moving_request_id and now >= evacuation.order_deadline:
        decided = _end_order(board, evacuation, keep=False, now=now)
    elif not evacuation.moving_request_id:
        decided = _order_next(board, event.subject, now)
    return (*decided, _check_later(event.subject, now))


def _order_next(board: Board, upstream_id: str, now: float) -> Actions:
    evacuation = board.evacuations_by_upstream_id[upstream_id]
    chosen = _choose(board, evacuation, now)
    if chosen is None:
        return ()
    grant, target = chosen.grant, chosen.target
    # Memory and slot at the target are taken from the first copy on.
    _rehome(board, grant, target.upstream_id, now)
    board.evacuations_by_upstream_id[upstream_id] = evacuation._replace(
        moving_request_id=grant.request_id,
        order_deadline=now
        + chosen.seconds
        + MOVE_OVERHEAD_SECONDS
        + REPORT_SLACK_SECONDS,
    )
    order = messages.MoveOrder(
        board.node_id,
        grant.request_id,
        grant.attempt,
        grant.cell_id,
        upstream_id,
        target.upstream_id,
        target.address,
        evacuation.deadline,
    )
    fields = {
        "request_id": grant.request_id,
        "upstream": upstream_id,
        "target": target.upstream_id,
        "tokens": held_tokens(grant),
        "seconds": round(chosen.seconds, 3),
        "seconds_left": round(evacuation.deadline - now, 3),
    }
    return (
        actions.Log("info", "move ordered", fields),
        actions.Send(grant.entry_id, order),
    )


def _rehome(
    board: Board, grant: rows.GrantRow, upstream_id: str, now: float
) -> rows.GrantRow:
    _rebuild.remove_grant(board, grant, now)
    moved = grant._replace(upstream_id=upstream_id)
    _rebuild.add_grant(board, moved)
    return moved


def _choose(
    board: Board, evacuation: rows.EvacuationRow, now: float
) -> Candidate | None:
    """Return the move that saves most for its time on the link, or None."""
    source = board.upstreams_by_id.get(evacuation.upstream_id)
    cell = board.cells_by_id.get(evacuation.cell_id)
    capacity = engine_capacity(board, cell.group) if cell else None
    if source is None or cell is None or capacity is None:
        return None
    found: list[Candidate] = []
    left = evacuation.deadline - now
    movable = _movable(board, evacuation)
    needed = sum(
        copy_seconds(capacity, held_tokens(grant), same_zone=False)
        + MOVE_OVERHEAD_SECONDS
        for grant in movable
    )
    for grant in movable:
        target = _choose_target(board, cell, grant, source, needed > left, now)
        if target is None:
            continue
        same_zone = target.zone == source.zone
        seconds = copy_seconds(capacity, held_tokens(grant), same_zone)
        if seconds + MOVE_OVERHEAD_SECONDS > left:
            continue
        loss = _share_unfinished(board, grant, left, now)
        found.append(Candidate(grant, target, loss, seconds))
    return max(
        found,
        key=lambda candidate: (
            candidate.loss / (candidate.seconds + MOVE_OVERHEAD_SECONDS)
        ),
        default=None,
    )


def _movable(board: Board, evacuation: rows.EvacuationRow) -> list[rows.GrantRow]:
    """Return the generations that no move was tried for.

    Without a token there is no memory to move yet.
    """
    return [
        grant
        for request_id in board.grant_ids_by_upstream_id.get(evacuation.upstream_id, ())
        if request_id not in evacuation.attempted_request_ids
        and (grant := board.grants_by_request_id[request_id]).token_count
    ]


def _choose_target(
    board: Board,
    cell: rows.CellRow,
    grant: rows.GrantRow,
    source: rows.UpstreamRow,
    hurried: bool,
    now: float,
) -> rows.UpstreamRow | None:
    """Return an engine with room for a generation.

    The least loaded one, because it may leave as well and then has to be emptied in as
    little time; in a hurry one of the source's zone, to which copies are faster.
    """
    memory = _memory.predict_memory(
        board,
        grant.binding,
        held_tokens(grant),
        grant.token_count,
        grant.maximum_tokens,
    )
    able = [
        upstream
        for upstream_id in cell.upstream_ids
        if (upstream := board.upstreams_by_id.get(upstream_id)) is not None
        and upstream_id != source.upstream_id
        and is_usable(board, upstream, now)
        and has_slot(board, upstream, 1.0)
        and _memory.peak_with(board, upstream_id, memory)
        + _memory.ledger(board, upstream_id).unattributed_tokens
        <= _memory.memory_limit(board, upstream, now)
    ]
    return min(
        able,
        key=lambda upstream: (
            hurried and upstream.zone != source.zone,
            upstream_load(board, upstream),
            upstream.zone != source.zone,
            upstream.upstream_id,
        ),
        default=None,
    )


@decide.register(messages.MoveReport)
def _take_report(
    event: messages.MoveReport, board: Board, now: float, random: Random
) -> Actions:
    evacuation = next(
        (
            row
            for row in board.evacuations_by_upstream_id.values()
            if row.moving_request_id == event.request_id
        ),
        None,
    )
    grant = board.grants_by_request_id.get(event.request_id)
    if event.outcome == "moved" and grant is not None:
        if grant.upstream_id != event.upstream_id:
            grant = _rehome(board, grant, event.upstream_id, now)
        board.grants_by_request_id[event.request_id] = grant._replace(
            attempt=event.attempt, renewed_at=now
        )
    if evacuation is None:
        return ()
    if event.outcome == "moved":
        return _next(board, evacuation, evacuation.moving_request_id, now)
    keep = event.outcome == "not_started"
    if event.outcome == "failed" and grant is not None:
        board.grants_by_request_id[event.request_id] = grant._replace(
            attempt=event.attempt
        )
    return _end_order(board, evacuation, keep, now)


def _end_order(
    board: Board, evacuation: rows.EvacuationRow, keep: bool, now: float
) -> Actions:
    """End an order without a move; the generation still runs where it did."""
    request_id = evacuation.moving_request_id
    grant = board.grants_by_request_id.get(request_id)
    if grant is not None and grant.upstream_id != evacuation.upstream_id:
        _rehome(board, grant, evacuation.upstream_id, now)
    if keep:
        # It is looked at again with the timer, after the others.
        board.evacuations_by_upstream_id[evacuation.upstream_id] = evacuation._replace(
            moving_request_id=""
        )
        return ()
    return _next(board, evacuation, request_id, now)


def _next(
    board: Board, evacuation: rows.EvacuationRow, tried_id: str, now: float
) -> Actions:
    board.evacuations_by_upstream_id[evacuation.upstream_id] = evacuation._replace(
        moving_request_id="",
        attempted_request_ids=(*evacuation.attempted_request_ids, tried_id),
    )
    return _order_next(board, evacuation.upstream_id, now)
