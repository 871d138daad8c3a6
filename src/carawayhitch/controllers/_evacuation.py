"""Evacuation of leaving engines: one sequence of moves for all entries.

All copies from an engine share one link. If each entry moved its own generations, the
copies would delay each other, and with them the generations that are stopped for their
final copy. The scheduler of the cell knows all generations and orders one move at a
time, in the sequence that loses the fewest answers. An evacuation begins with the
shutdown notice, or when a scheduler that took over learns of a generation on a leaving
engine.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter
from random import Random
from typing import NamedTuple

from carawayhitch.board import Board
from carawayhitch.controllers import _lengths, _memory, _rebuild, cold_start
from carawayhitch.controllers._backoffs import load_polls
from carawayhitch.controllers._cells import engine_capacity
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.controllers._upstream_choice import (
    has_slot,
    is_usable,
    upstream_load,
)
from carawayhitch.core import actions, declarations, events, messages, rows

EVACUATION_TIMER = "evacuation"
LOAD_POLL_TIMER = "evacuation_report"
# Delay from the notice to the load poll that reads the remaining time. Load reports
# are half a second old, so an earlier one would not contain the notice.
LOAD_POLL_DELAY_SECONDS = 0.6
# Engines are reclaimed with 1.5 to 2.1 s of notice. This value applies until a load
# report gives the remaining time.
DEFAULT_SHUTDOWN_NOTICE_SECONDS = 1.5
# Interval at which generations that had no token yet are considered again.
EVACUATION_CHECK_INTERVAL_SECONDS = 0.1
# Two calls to the engine and two messages between entries, in addition to the copy.
MOVE_OVERHEAD_SECONDS = 0.05
# An order counts as lost if its report is overdue by this time.
MOVE_REPORT_TOLERANCE_SECONDS = 0.3
# Copies between availability zones take twice as long.
CROSS_ZONE_FACTOR = 2.0
# Time per token while a generation's rate is unknown, and its upper bound after that.
DEFAULT_TOKEN_SECONDS = 0.01

decide = new_controller()


class MoveCandidate(NamedTuple):
    """A generation that could be moved next.

    Parameters
    ----------
    loss : float
        Probability that the answer is lost without the move. The length of the answer
        does not count, because callers lose the answer as a whole.
    seconds : float
        Duration of the copy.
    """

    grant: rows.GrantRow
    target: rows.UpstreamRow
    loss: float
    seconds: float


def held_tokens(grant: rows.GrantRow) -> int:
    """Return the number of tokens that a generation holds in its engine's memory."""
    return grant.prompt_tokens + grant.token_count


def copy_seconds(
    capacity: declarations.EngineCapacity, tokens: int, same_zone: bool
) -> float:
    """Return how long copying the memory of ``tokens`` tokens takes, in seconds."""
    if not capacity.link_bits_per_second:
        return 0.0
    seconds = tokens * capacity.token_bytes * 8 / capacity.link_bits_per_second
    return seconds if same_zone else seconds * CROSS_ZONE_FACTOR


def _probability_unfinished(
    board: Board, grant: rows.GrantRow, seconds: float, now: float
) -> float:
    """Return the probability that a generation runs for longer than ``seconds``."""
    elapsed = grant.renewed_at - grant.granted_at
    token_seconds = DEFAULT_TOKEN_SECONDS
    if grant.token_count and elapsed > 0:
        token_seconds = min(DEFAULT_TOKEN_SECONDS, elapsed / grant.token_count)
    token_count = grant.token_count + int((now - grant.renewed_at) / token_seconds)
    further_tokens = seconds / token_seconds
    shares = _lengths.survival_shares(
        board, grant.binding, token_count, grant.maximum_tokens
    )
    index = bisect_right(_lengths.HORIZONS, further_tokens) - 1
    return shares[max(0, index)]


@decide.register(events.UpstreamLeaving)
def _evacuate_leaving_upstream(
    event: events.UpstreamLeaving, board: Board, now: float, random: Random
) -> Actions:
    upstream = board.upstreams_by_id.get(event.upstream_id)
    return _start_evacuation(board, upstream, now) if upstream is not None else ()


@decide.register(messages.Progress)
def _begin_missed_evacuations(
    event: messages.Progress, board: Board, now: float, random: Random
) -> Actions:
    """Begin evacuations that the previous scheduler did not begin or complete."""
    decided: list[actions.Action] = []
    for upstream_id in dict.fromkeys(row.upstream_id for row in event.running):
        upstream = board.upstreams_by_id.get(upstream_id)
        if upstream is None or not upstream.leaving:
            continue
        if upstream_id not in board.evacuations_by_upstream_id:
            decided.extend(_start_evacuation(board, upstream, now))
    return decided


def _start_evacuation(board: Board, upstream: rows.UpstreamRow, now: float) -> Actions:
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
    deadline = upstream.leaves_at or since + DEFAULT_SHUTDOWN_NOTICE_SECONDS
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
            now + LOAD_POLL_DELAY_SECONDS,
            events.TimerFired(LOAD_POLL_TIMER, upstream_id),
        ),
        *_order_next_move(board, upstream_id, now),
        _set_check_timer(upstream_id, now),
    )


@decide.register(events.UpstreamsChanged)
def _remove_ended_evacuations(
    event: events.UpstreamsChanged, board: Board, now: float, random: Random
) -> Actions:
    """Remove evacuations of engines that are gone or were restarted."""
    for upstream_id in list(board.evacuations_by_upstream_id):
        upstream = board.upstreams_by_id.get(upstream_id)
        if upstream is None or not upstream.leaving:
            del board.evacuations_by_upstream_id[upstream_id]
    return ()


def _set_check_timer(upstream_id: str, now: float) -> actions.SetTimer:
    timer = events.TimerFired(EVACUATION_TIMER, upstream_id)
    return actions.SetTimer(now + EVACUATION_CHECK_INTERVAL_SECONDS, timer)


@decide.register(events.LoadReported)
def _update_deadline(
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
def _run_timer(
    event: events.TimerFired, board: Board, now: float, random: Random
) -> Actions:
    if event.name == LOAD_POLL_TIMER:
        upstream = board.upstreams_by_id.get(event.subject)
        return load_polls(board, (upstream,), now) if upstream else ()
    if event.name != EVACUATION_TIMER:
        return ()
    evacuation = board.evacuations_by_upstream_id.get(event.subject)
    if evacuation is None:
        return ()
    if now >= evacuation.deadline:
        # The row stays until the engine is removed, so that no move is ordered again.
        board.evacuations_by_upstream_id[event.subject] = evacuation._replace(
            pending_order=None
        )
        running_count = len(board.grant_ids_by_upstream_id.get(event.subject, ()))
        fields = {"upstream": event.subject, "running": running_count}
        return (actions.Log("info", "evacuation ends", fields),)
    decided: Actions
    order = evacuation.pending_order
    if order is None:
        decided = _order_next_move(board, event.subject, now)
    elif now >= evacuation.order_deadline:
        decided = _end_unsuccessful_order(board, evacuation, retry_later=False, now=now)
    else:
        decided = _repeat_order(board, order)
    return (*decided, _set_check_timer(event.subject, now))


def _repeat_order(board: Board, order: messages.MoveOrder) -> Actions:
    """Repeat an order whose report is due, because its datagram may be lost.

    An entry ignores the repetition of an order that it carries out.
    """
    grant = board.grants_by_request_id.get(order.request_id)
    return (actions.Send(grant.entry_id, order),) if grant is not None else ()


def _order_next_move(board: Board, upstream_id: str, now: float) -> Actions:
    evacuation = board.evacuations_by_upstream_id[upstream_id]
    chosen = _choose_move(board, evacuation, now)
    if chosen is None:
        return ()
    grant, target = chosen.grant, chosen.target
    # The move occupies memory and a slot at the target from the first copy on.
    _reassign_grant(board, grant, target.upstream_id, now)
    cold_start.record_grant(board, target.upstream_id, now)
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
    board.evacuations_by_upstream_id[upstream_id] = evacuation._replace(
        pending_order=order,
        order_deadline=now
        + chosen.seconds
        + MOVE_OVERHEAD_SECONDS
        + MOVE_REPORT_TOLERANCE_SECONDS,
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


def _reassign_grant(
    board: Board, grant: rows.GrantRow, upstream_id: str, now: float
) -> rows.GrantRow:
    _rebuild.remove_grant(board, grant, now)
    moved = grant._replace(upstream_id=upstream_id)
    _rebuild.add_grant(board, moved)
    return moved


def _choose_move(
    board: Board, evacuation: rows.EvacuationRow, now: float
) -> MoveCandidate | None:
    """Return the move that avoids the most loss per second of link time, or None."""
    source = board.upstreams_by_id.get(evacuation.upstream_id)
    cell = board.cells_by_id.get(evacuation.cell_id)
    capacity = engine_capacity(board, cell.group) if cell else None
    if source is None or cell is None or capacity is None:
        return None
    candidates: list[MoveCandidate] = []
    seconds_left = evacuation.deadline - now
    movable = _movable_grants(board, evacuation)
    seconds_needed = sum(
        copy_seconds(capacity, held_tokens(grant), same_zone=False)
        + MOVE_OVERHEAD_SECONDS
        for grant in movable
    )
    for grant in movable:
        target = _choose_target(
            board, cell, grant, source, seconds_needed > seconds_left, now
        )
        if target is None:
            continue
        same_zone = target.zone == source.zone
        seconds = copy_seconds(capacity, held_tokens(grant), same_zone)
        if seconds + MOVE_OVERHEAD_SECONDS > seconds_left:
            continue
        loss = _probability_unfinished(board, grant, seconds_left, now)
        candidates.append(MoveCandidate(grant, target, loss, seconds))
    return max(
        candidates,
        key=lambda candidate: (
            candidate.loss / (candidate.seconds + MOVE_OVERHEAD_SECONDS)
        ),
        default=None,
    )


def _movable_grants(
    board: Board, evacuation: rows.EvacuationRow
) -> list[rows.GrantRow]:
    """Return the grants of generations for which no move was tried.

    A generation without a token has no memory to move yet.
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
    time_is_short: bool,
    now: float,
) -> rows.UpstreamRow | None:
    """Return the least loaded engine with room for a generation.

    The target may leave as well and then has to be evacuated in as little time. Engines
    that receive the copy of another evacuation come last, because copies wait for each
    other on the link of their target. If the time does not suffice for all copies,
    engines in the source's availability zone come first, because copies within a zone
    are faster.
    """
    copies_by_target_id = Counter(
        row.pending_order.target_id
        for row in board.evacuations_by_upstream_id.values()
        if row.pending_order is not None
    )
    memory = _memory.predict_memory(
        board,
        grant.binding,
        held_tokens(grant),
        grant.token_count,
        grant.maximum_tokens,
    )
    eligible = [
        upstream
        for upstream_id in cell.upstream_ids
        if (upstream := board.upstreams_by_id.get(upstream_id)) is not None
        and upstream_id != source.upstream_id
        and is_usable(board, upstream, now)
        and has_slot(board, upstream, 1.0)
        and cold_start.has_room(board, upstream_id, now)
        and _memory.peak_with(board, upstream_id, memory)
        + _memory.ledger(board, upstream_id).unattributed_tokens
        <= _memory.memory_limit(board, upstream, now)
    ]
    return min(
        eligible,
        key=lambda upstream: (
            copies_by_target_id[upstream.upstream_id],
            time_is_short and upstream.zone != source.zone,
            upstream_load(board, upstream),
            upstream.zone != source.zone,
            upstream.upstream_id,
        ),
        default=None,
    )


@decide.register(messages.MoveReport)
def _apply_move_report(
    event: messages.MoveReport, board: Board, now: float, random: Random
) -> Actions:
    evacuation = next(
        (
            row
            for row in board.evacuations_by_upstream_id.values()
            if row.pending_order is not None
            and row.pending_order.request_id == event.request_id
        ),
        None,
    )
    grant = board.grants_by_request_id.get(event.request_id)
    if event.outcome == "moved" and grant is not None:
        if grant.upstream_id != event.upstream_id:
            grant = _reassign_grant(board, grant, event.upstream_id, now)
        board.grants_by_request_id[event.request_id] = grant._replace(
            attempt=event.attempt, renewed_at=now
        )
    if evacuation is None:
        return ()
    if event.outcome == "moved":
        return _mark_tried_and_order_next(board, evacuation, event.request_id, now)
    retry_later = event.outcome == "not_started"
    if event.outcome == "failed" and grant is not None:
        board.grants_by_request_id[event.request_id] = grant._replace(
            attempt=event.attempt
        )
        if _target_leaves(board, evacuation):
            return (
                *_end_unsuccessful_order(board, evacuation, True, now),
                *_order_next_move(board, evacuation.upstream_id, now),
            )
    return _end_unsuccessful_order(board, evacuation, retry_later, now)


def _target_leaves(board: Board, evacuation: rows.EvacuationRow) -> bool:
    """Return whether the target of the pending order is leaving or gone.

    Then the failure says nothing of the generation, which may move elsewhere.
    """
    assert evacuation.pending_order is not None
    target = board.upstreams_by_id.get(evacuation.pending_order.target_id)
    return target is None or target.leaving


def _end_unsuccessful_order(
    board: Board, evacuation: rows.EvacuationRow, retry_later: bool, now: float
) -> Actions:
    """End an order without a move; the generation still runs at the source."""
    assert evacuation.pending_order is not None
    request_id = evacuation.pending_order.request_id
    grant = board.grants_by_request_id.get(request_id)
    if grant is not None and grant.upstream_id != evacuation.upstream_id:
        _reassign_grant(board, grant, evacuation.upstream_id, now)
    if retry_later:
        # The check timer considers the generation again, after the others.
        board.evacuations_by_upstream_id[evacuation.upstream_id] = evacuation._replace(
            pending_order=None
        )
        return ()
    return _mark_tried_and_order_next(board, evacuation, request_id, now)


def _mark_tried_and_order_next(
    board: Board, evacuation: rows.EvacuationRow, tried_id: str, now: float
) -> Actions:
    board.evacuations_by_upstream_id[evacuation.upstream_id] = evacuation._replace(
        pending_order=None,
        attempted_request_ids=(*evacuation.attempted_request_ids, tried_id),
    )
    return _order_next_move(board, evacuation.upstream_id, now)
