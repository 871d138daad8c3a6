"""Who makes room when the memory for bodies or the connections are short.

Load pattern: long streams of requests with large bodies at few entries. A stream that
has begun and cannot be repeated needs its body only if its engine leaves and it is
moved, so a new request goes before that. Beyond that, clients that hold most and move
least are closed: unfinished bodies, unread answers, idle connections.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from carawayhitch.board import Board
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.controllers._targets import can_continue
from carawayhitch.core import actions, events, result_codes, rows

# Time in which a client begins its first request, or takes its refusal, when
# connections are short; links have delays of milliseconds.
UNUSED_SECONDS = 0.25
CODES_BY_STAGE = {
    "unused": result_codes.CONNECTION_DISPLACED,
    "idle": result_codes.CONNECTION_DISPLACED,
    "receiving": result_codes.CLIENT_STALLED,
    "sending": result_codes.ANSWER_NOT_READ,
}

decide = new_controller()


@decide.register(events.BodyMemoryNeeded)
def _free_memory(
    event: events.BodyMemoryNeeded, board: Board, now: float, random: Random
) -> Actions:
    """Drop bodies of streams, the longest running ones first; then close clients."""
    decided: list[actions.Action] = []
    candidates = [row for row in board.requests_by_id.values() if _may_drop(board, row)]
    freed = 0
    for row in sorted(candidates, key=lambda row: row.first_token_at):
        if freed >= event.missing_bytes:
            return decided
        freed += row.body_bytes
        board.requests_by_id[row.request_id] = row._replace(is_body_dropped=True)
        decided.append(actions.DropBody(row.request_id))
    moved_after = now if event.is_urgent else _progress_bound(board, now)
    for use in _most_blocking(event.connections, moved_after, now):
        if freed >= event.missing_bytes or not use.held_bytes:
            break
        freed += use.held_bytes
        decided.extend(_close(use))
    return decided


@decide.register(events.ConnectionsNeeded)
def _free_connections(
    event: events.ConnectionsNeeded, board: Board, now: float, random: Random
) -> Actions:
    """Close clients that do not move; those that wait for an answer stay.

    All connections without a request are closed: clients that open such connections
    again at once would take a few free places before any other caller.
    """
    unused = [
        use
        for use in _most_blocking(event.connections, now - UNUSED_SECONDS, now)
        if use.stage == "unused"
    ]
    others = [
        use
        for use in _most_blocking(event.connections, _progress_bound(board, now), now)
        if use.stage != "unused"
    ]
    chosen = [*unused, *others[: max(0, event.missing_count - len(unused))]]
    return [action for use in chosen for action in _close(use)]


def _progress_bound(board: Board, now: float) -> float:
    return now - board.settings.limits.progress_seconds


def _most_blocking(
    connections: Iterable[rows.ConnectionUse], moved_after: float, now: float
) -> list[rows.ConnectionUse]:
    """Return who may be closed; first those that held most bytes for longest."""
    candidates = [
        use
        for use in connections
        if use.stage != "running" and use.progressed_at <= moved_after
    ]
    return sorted(
        candidates,
        key=lambda use: (1 + use.held_bytes) * (now - use.progressed_at),
        reverse=True,
    )


def _close(use: rows.ConnectionUse) -> Actions:
    code = CODES_BY_STAGE[use.stage]
    closed = actions.CloseConnection(use.connection_id, code)
    # The handler of a refused body counts the refusal itself.
    return (closed,) if code.http_status else (closed, actions.Count(code, ""))


def _may_drop(board: Board, row: rows.RequestRow) -> bool:
    return (
        row.body_bytes > 0
        and not row.is_body_dropped
        and row.response_started
        and not can_continue(row.target)
        and row.request_id not in board.moves_by_request_id
    )
