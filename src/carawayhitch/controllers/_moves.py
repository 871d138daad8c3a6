"""Moves of this entry's generations to other engines, as a scheduler orders them.

A move copies the memory while the generation goes on, stops it, copies the rest and
lets the target continue after the last event that the caller has. Only the second copy
makes the caller wait.
"""

from __future__ import annotations

from random import Random

from carawayhitch.board import Board
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.core import actions, events, messages, result_codes, rows

decide = new_controller()


def is_stopping_for_move(board: Board, row: rows.RequestRow) -> bool:
    """Return whether the stream of a request ends because the generation moves."""
    move = board.moves_by_request_id.get(row.request_id)
    return move is not None and move.phase == "stopping" and move.attempt == row.attempt


def open_upstream(
    row: rows.RequestRow, answer_deadline: float, source: str = ""
) -> actions.OpenUpstream:
    """Return the action that sends a call to its upstream.

    Parameters
    ----------
    source : str
        Where the memory of a moved generation comes from; empty for a new one.
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


def _report(
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
    return actions.Send(move.scheduler_id, report)


def _logged(
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
def _take_order(
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
    )
    if event.request_id in board.moves_by_request_id:
        # A repeated order; the report of the running move answers it.
        return ()
    if (
        row is None
        or upstream is None
        or row.attempt != event.attempt
        or row.upstream_id != event.upstream_id
    ):
        return (_report(board, move, event.attempt, "gone"),)
    if not row.response_started:
        return (_report(board, move, event.attempt, "not_started"),)
    board.moves_by_request_id[row.request_id] = move
    return (_copy(move, is_final=False),)


def _copy(move: rows.MoveRow, is_final: bool) -> actions.CopyMemory:
    return actions.CopyMemory(
        move.request_id,
        move.attempt,
        move.source_address,
        move.target_address,
        is_final,
        move.deadline,
    )


@decide.register(events.MemoryCopied)
def _take_copy(
    event: events.MemoryCopied, board: Board, now: float, random: Random
) -> Actions:
    move = board.moves_by_request_id.get(event.request_id)
    row = board.requests_by_id.get(event.request_id)
    if move is None or row is None or move.attempt != event.attempt:
        # The request has ended meanwhile; its copy must not take up the target.
        return _release(event.addresses, event.handle)
    if not event.is_final:
        if event.outcome != "copied":
            return _end_move(board, row, move, event.outcome, now)
        board.moves_by_request_id[row.request_id] = move._replace(
            phase="stopping", handle=event.handle
        )
        return (_copy(move, is_final=True),)
    if event.outcome == "gone":
        # It has ended by itself; its last events are on the way.
        return _end_move(board, row, move, event.outcome, now)
    if not event.handle:
        lost = events.UpstreamCallFailed(
            row.request_id, row.attempt, "link_lost", True, "the move was not answered"
        )
        return (
            *_end_move(board, row, move, event.outcome, now),
            actions.Emit(lost),
        )
    return _continue(board, row, move, event, now)


def _release(addresses: tuple[str, ...], handle: str) -> Actions:
    return (actions.ReleaseMemory(addresses, handle),) if handle else ()


def _end_move(
    board: Board, row: rows.RequestRow, move: rows.MoveRow, outcome: str, now: float
) -> Actions:
    del board.moves_by_request_id[row.request_id]
    return (
        *_release((move.source_address, move.target_address), move.handle),
        actions.Count(result_codes.MOVE_FAILED, row.rank),
        _logged(row, move, outcome, now),
        _report(board, move, row.attempt, "gone" if outcome == "gone" else "failed"),
    )


def _continue(
    board: Board,
    row: rows.RequestRow,
    move: rows.MoveRow,
    event: events.MemoryCopied,
    now: float,
) -> Actions:
    """Continue at the target, or at the source if the target has no room."""
    copied = event.outcome == "copied"
    moved = row._replace(
        attempt=row.attempt + 1,
        phase="opening",
        upstream_id=move.target_id if copied else move.source_id,
        address=move.target_address if copied else move.source_address,
    )
    board.requests_by_id[row.request_id] = moved
    board.moves_by_request_id[row.request_id] = move._replace(
        attempt=moved.attempt, phase="opening", handle=event.handle
    )
    code = result_codes.RETRY_MOVED if copied else result_codes.MOVE_FAILED
    return (
        actions.CloseUpstream(row.request_id, cancel_generation=False),
        actions.Count(code, row.rank),
        _logged(row, move, event.outcome, now),
        open_upstream(
            moved, moved.caller_deadline, f"{move.source_address}/{event.handle}"
        ),
        _report(board, move, moved.attempt, "moved" if copied else "failed"),
    )


@decide.register(events.ChunkReceived)
def _note_continued(
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
def _forget(
    event: events.RequestEnded | events.RetryRequested,
    board: Board,
    now: float,
    random: Random,
) -> Actions:
    move = board.moves_by_request_id.pop(event.request_id, None)
    if move is None or move.phase == "opening":
        return ()
    return (
        *_release((move.source_address, move.target_address), move.handle),
        _report(board, move, move.attempt, "gone"),
    )
