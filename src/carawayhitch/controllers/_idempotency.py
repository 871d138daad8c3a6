"""Claims of idempotency keys: a non-idempotent call is sent upstream at most once."""

from __future__ import annotations

from random import Random

from carawayhitch.board import Board
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.controllers._placement import end_request
from carawayhitch.controllers._targets import is_idempotent
from carawayhitch.core import actions, events, result_codes

decide = new_controller()


@decide.register(events.UpstreamGranted)
def _claim(
    event: events.UpstreamGranted, board: Board, now: float, random: Random
) -> Actions:
    row = board.requests_by_id.get(event.request_id)
    if row is None:
        return ()
    if is_idempotent(row.target):
        return (actions.Emit(events.ClaimGranted(row.request_id)),)
    return end_request(row, result_codes.STORE_UNAVAILABLE, retry_after=1.0)
