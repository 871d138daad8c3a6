"""Prompts that engines have yet to read, which delay every first token."""

from __future__ import annotations

from collections.abc import Iterable

from carawayhitch.board import Board
from carawayhitch.controllers import _memory
from carawayhitch.core import rows

# Sums of times are rounded: without slack a look at the time of `room_at` could find
# none.
ROUNDING_SLACK_SECONDS = 0.002


def prefill_seconds(board: Board, prompt_tokens: int) -> float:
    """Return how long an engine reads a prompt; 0 if its rate is not known."""
    rate = board.settings.scheduling.prefill_tokens_per_second
    return prompt_tokens / rate if rate else 0.0


def backlog_seconds(board: Board, upstream_id: str, now: float) -> float:
    """Return how long an engine still reads the prompts that were placed there.

    A grant counts until its first token. What the engine has read of the prompt at
    hand is taken from the time since it began with it.
    """
    rate = board.settings.scheduling.prefill_tokens_per_second
    if not rate:
        return 0.0
    unread = [
        grant
        for request_id in board.grant_ids_by_upstream_id.get(upstream_id, ())
        if not (grant := board.grants_by_request_id[request_id]).token_count
    ]
    if not unread:
        return 0.0
    total = sum(grant.prompt_tokens for grant in unread) / rate
    at_hand = unread[0]
    known = _memory.ledger(board, upstream_id)
    begun_at = max(known.started_at, at_hand.granted_at)
    read = min(now - begun_at, at_hand.prompt_tokens / rate)
    return max(0.0, total - read)


def has_prefill_room(board: Board, upstream_id: str, now: float) -> bool:
    """Return whether another prompt may be placed on an engine."""
    limit = board.settings.scheduling.prefill_limit_seconds
    return backlog_seconds(board, upstream_id, now) <= limit + ROUNDING_SLACK_SECONDS


def room_at(board: Board, upstream_ids: Iterable[str], now: float) -> float:
    """Return when one of the engines can take the next prompt, by what is known."""
    limit = board.settings.scheduling.prefill_limit_seconds
    return now + max(
        0.0,
        min(
            (
                backlog_seconds(board, upstream_id, now) - limit
                for upstream_id in upstream_ids
            ),
            default=0.0,
        ),
    )


def record_first_token(board: Board, grant: rows.GrantRow, now: float) -> None:
    """Note that a request had its first token; the engine reads the next prompt."""
    known = _memory.ledger(board, grant.upstream_id)
    board.ledgers_by_upstream_id[grant.upstream_id] = known._replace(started_at=now)
