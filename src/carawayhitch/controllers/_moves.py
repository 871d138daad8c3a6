"""Moves of this entry's generations to other engines on the order of a scheduler.

A move is a live migration: it copies the memory while the generation runs, stops the
generation, copies the rest, and continues it at the target after the last event that
the caller received. The caller waits only during the second copy.
"""

from __future__ import annotations

from random import Random

from carawayhitch.board import Board
from carawayhitch.controllers import zones
from carawayhitch.controllers._backoffs import is_backing_off
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.controllers._upstreams import is_known_to_leave, leaving_notices
from carawayhitch.core import actions, events, messages, result_codes, rows

decide = new_controller()


def is_stopping_for_move(board: Board, row: rows.RequestRow) -> bool:
    """Return whether the stream at the source ends because its generation moves."""
    return _stopping_move(board, row.request_id, row.attempt) is not None


def _stopping_move(board: Board, request_id: str, attempt: int) -> rows.MoveRow | None:
    move = board.moves_by_request_id.get(request_id)
    if move is None or move.phase != "stopping" or move.attempt != attempt:
        return None
    return move


def open_upstream(
    row: rows.RequestRow, answer_deadline: float, source: str = ""
) -> actions.OpenUpstream:
    """Return the action that sends a call to its upstream.

    Parameters
    ----------
    source : str
        Address and handle of the memory of a moved generation; empty for a new one.
    """
    return actions.OpenUpstream(
        request_id=row.request_id,
        attempt=row.attempt,
        upstream_id=row.upstream_id,
        address=row.address,
        priority=row.priority,
        account=row.account,
        answer_deadline=answer_deadline,
        last_sequence=row.last_sequence,
        source=source,
    )


def _send_report(
    board: Board, move: rows.MoveRow, attempt: int, outcome: rows.MoveOutcome
) -> actions.Send:
    report = messages.MoveReport(
        board.node_id,
        move.request_id,
        attempt,
        move.cell_id,
        move.target_id if outcome == "moved" else move.source_id,
        outcome,
    )
    if outcome != "not_started" and move.request_id in board.requests_by_id:
        board.answered_moves_by_request_id[move.request_id] = rows.AnsweredMoveRow(
            move.request_id, move.order, report
        )
    return actions.Send(move.scheduler_id, report)


def _report_failure(board: Board, move: rows.MoveRow, attempt: int) -> Actions:
    """Return the report of a failed move, after a notice if its target leaves.

    The scheduler then orders a move to another target.
    """
    notices = leaving_notices(board, move.target_id)
    return (
        *(actions.Send(move.scheduler_id, notice) for notice in notices),
        _send_report(board, move, attempt, "failed"),
    )


def _build_move_log(
    row: rows.RequestRow, move: rows.MoveRow, outcome: str, now: float
) -> actions.Log:
    fields = {
        "request_id": row.request_id,
        "upstream": move.source_id,
        "target": move.target_id,
        "outcome": outcome,
        "events": row.last_sequence,
        "seconds_left": round(move.deadline - now, 3),
    }
    return actions.Log("info", "generation moved", fields)


@decide.register(messages.MoveOrder)
def _begin_move(
    event: messages.MoveOrder, board: Board, now: float, random: Random
) -> Actions:
    row = board.requests_by_id.get(event.request_id)
    upstream = board.upstreams_by_id.get(event.upstream_id)
    move = rows.MoveRow(
        request_id=event.request_id,
        attempt=event.attempt,
        scheduler_id=event.sender_id,
        cell_id=event.cell_id,
        source_id=event.upstream_id,
        source_address=upstream.address if upstream else "",
        target_id=event.target_id,
        target_address=event.target_address,
        deadline=event.deadline,
        order=event,
    )
    if event.request_id in board.moves_by_request_id:
        # The order is a repetition; the report of the running move answers it.
        return ()
    answered = board.answered_moves_by_request_id.get(event.request_id)
    if answered is not None and _is_repetition(event, answered.order):
        # The report may be lost, or may have crossed the repetition of its order.
        return (actions.Send(event.sender_id, answered.report),)
    if (
        row is None
        or upstream is None
        or row.attempt != event.attempt
        or row.upstream_id != event.upstream_id
    ):
        return (_send_report(board, move, event.attempt, "gone"),)
    if not row.response_started:
        return (_send_report(board, move, event.attempt, "not_started"),)
    if row.is_body_dropped:
        # The request cannot be sent to the target.
        return (_send_report(board, move, event.attempt, "failed"),)
    if (
        is_known_to_leave(board, event.target_id)
        or is_backing_off(board, board.node_id, event.target_id, now)
        or zones.is_drained(board, event.target_id)
    ):
        return _report_failure(board, move, event.attempt)
    board.moves_by_request_id[row.request_id] = move
    return (_copy_memory(move, is_final=False),)


def _is_repetition(order: messages.MoveOrder, earlier: messages.MoveOrder) -> bool:
    """Return whether an order is a repetition, which may have another deadline."""
    return order._replace(deadline=earlier.deadline) == earlier


def _copy_memory(move: rows.MoveRow, is_final: bool) -> actions.CopyMemory:
    return actions.CopyMemory(
        move.request_id,
        move.attempt,
        move.source_address,
        move.target_address,
        is_final,
        move.deadline,
    )


@decide.register(events.MemoryCopied)
def _advance_move(
    event: events.MemoryCopied, board: Board, now: float, random: Random
) -> Actions:
    move = board.moves_by_request_id.get(event.request_id)
    row = board.requests_by_id.get(event.request_id)
    if move is None or row is None or move.attempt != event.attempt:
        # The request has ended, so its copy must not occupy memory at the target.
        return _release_copy(event.addresses, event.handle)
    if not event.is_final:
        if event.outcome != "copied" or is_known_to_leave(board, move.target_id):
            return _abort_move(board, row, move, event.outcome, now)
        board.moves_by_request_id[row.request_id] = move._replace(
            phase="stopping", handle=event.handle
        )
        return (_copy_memory(move, is_final=True),)
    if event.outcome == "gone":
        # The generation ended by itself.
        return (
            *_abort_move(board, row, move, event.outcome, now),
            *_report_source_end(move),
        )
    if not event.handle:
        failure = events.UpstreamCallFailed(
            row.request_id,
            row.attempt,
            "link_lost",
            True,
            "no answer to the final copy of a move",
        )
        return (
            *_abort_move(board, row, move, event.outcome, now),
            actions.Emit(failure),
        )
    return _continue_stream(board, row, move, event, now)


@decide.register(events.StreamEnded)
@decide.register(events.UpstreamCallFailed)
def _record_source_end(
    event: events.StreamEnded | events.UpstreamCallFailed,
    board: Board,
    now: float,
    random: Random,
) -> Actions:
    """Record the end of a stream that is being stopped until its copy is known."""
    move = _stopping_move(board, event.request_id, event.attempt)
    if move is None:
        return ()
    is_closed = isinstance(event, events.StreamEnded)
    board.moves_by_request_id[event.request_id] = move._replace(
        source_end="closed" if is_closed else "broken"
    )
    return ()


def _report_source_end(move: rows.MoveRow) -> Actions:
    """Return the end of the stream at the source that waited for the final copy.

    Without one, the last events are in transit and their end is still to come.
    """
    if not move.source_end:
        return ()
    if move.source_end == "closed":
        ended = events.StreamEnded(move.request_id, move.attempt, is_delimited=False)
        return (actions.Emit(ended),)
    failure = events.UpstreamCallFailed(
        move.request_id,
        move.attempt,
        "link_lost",
        True,
        "the stream broke off and its generation is gone",
    )
    return (actions.Emit(failure),)


def _release_copy(addresses: tuple[str, ...], handle: str) -> Actions:
    return (actions.ReleaseMemory(addresses, handle),) if handle else ()


def _abort_move(
    board: Board, row: rows.RequestRow, move: rows.MoveRow, outcome: str, now: float
) -> Actions:
    del board.moves_by_request_id[row.request_id]
    report: Actions = (
        (_send_report(board, move, row.attempt, "gone"),)
        if outcome == "gone"
        else _report_failure(board, move, row.attempt)
    )
    return (
        *_release_copy((move.source_address, move.target_address), move.handle),
        actions.Count(result_codes.MOVE_FAILED, row.rank),
        _build_move_log(row, move, outcome, now),
        *report,
    )


def _continue_stream(
    board: Board,
    row: rows.RequestRow,
    move: rows.MoveRow,
    event: events.MemoryCopied,
    now: float,
) -> Actions:
    """Continue a stream at the target, or at the source if the target has no room."""
    copied = event.outcome == "copied"
    continued = row._replace(
        attempt=row.attempt + 1,
        phase="opening",
        upstream_id=move.target_id if copied else move.source_id,
        address=move.target_address if copied else move.source_address,
    )
    board.requests_by_id[row.request_id] = continued
    board.moves_by_request_id[row.request_id] = move._replace(
        attempt=continued.attempt, phase="opening", handle=event.handle
    )
    code = result_codes.RETRY_MOVED if copied else result_codes.MOVE_FAILED
    # The check of the previous attempt ends with that attempt.
    check = events.StallCheck(row.request_id, continued.attempt)
    check_at = now + board.settings.streams.stall_timeout_seconds
    report: Actions = (
        (_send_report(board, move, continued.attempt, "moved"),)
        if copied
        else _report_failure(board, move, continued.attempt)
    )
    return (
        actions.CloseUpstream(row.request_id, cancel_generation=False),
        actions.Count(code, row.rank),
        _build_move_log(row, move, event.outcome, now),
        open_upstream(
            continued,
            continued.caller_deadline,
            f"{move.source_address}/{event.handle}",
        ),
        actions.SetTimer(check_at, check),
        *report,
    )


@decide.register(events.ChunkReceived)
def _complete_move(
    event: events.ChunkReceived, board: Board, now: float, random: Random
) -> Actions:
    if not board.moves_by_request_id:
        return ()
    move = board.moves_by_request_id.get(event.request_id)
    if move is not None and move.phase == "opening" and move.attempt == event.attempt:
        del board.moves_by_request_id[event.request_id]
    return ()


@decide.register(events.RequestEnded)
@decide.register(events.RetryRequested)
def _cancel_move(
    event: events.RequestEnded | events.RetryRequested,
    board: Board,
    now: float,
    random: Random,
) -> Actions:
    move = board.moves_by_request_id.pop(event.request_id, None)
    decided: Actions = ()
    if move is not None and move.phase != "opening":
        decided = (
            *_release_copy((move.source_address, move.target_address), move.handle),
            _send_report(board, move, move.attempt, "gone"),
        )
    if isinstance(event, events.RequestEnded):
        board.answered_moves_by_request_id.pop(event.request_id, None)
    return decided
