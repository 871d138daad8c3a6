"""Request bodies that are dropped early when memory for new ones is short.

Load pattern: long streams of requests with large bodies at few entries. A stream that
has begun and cannot be repeated needs its body only if its engine leaves and it is
moved, so a new request goes before that.
"""

from __future__ import annotations

from random import Random

from carawayhitch.board import Board
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.controllers._targets import can_continue
from carawayhitch.core import actions, events, rows

decide = new_controller()


@decide.register(events.BodyMemoryNeeded)
def _drop_bodies(
    event: events.BodyMemoryNeeded, board: Board, now: float, random: Random
) -> Actions:
    """Drop bodies of streams, the longest running ones first."""
    decided: list[actions.Action] = []
    candidates = [row for row in board.requests_by_id.values() if _may_drop(board, row)]
    freed = 0
    for row in sorted(candidates, key=lambda row: row.first_token_at):
        if freed >= event.missing_bytes:
            break
        freed += row.body_bytes
        board.requests_by_id[row.request_id] = row._replace(is_body_dropped=True)
        decided.append(actions.DropBody(row.request_id))
    return decided


def _may_drop(board: Board, row: rows.RequestRow) -> bool:
    return (
        row.body_bytes > 0
        and not row.is_body_dropped
        and row.response_started
        and not can_continue(row.target)
        and row.request_id not in board.moves_by_request_id
    )
