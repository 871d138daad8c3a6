"""Prefill backlog of engines, which delays first tokens."""

from __future__ import annotations

from collections.abc import Iterable

from carawayhitch.board import Board
from carawayhitch.controllers import _memory
from carawayhitch.core import rows

# Sums of times are rounded. Without a tolerance, a check at the time that
# `next_room_at` returned could find the engine still above its limit.
ROUNDING_SLACK_SECONDS = 0.002


def prefill_seconds(board: Board, prompt_tokens: int) -> float:
    """Return the prefill time of a prompt; 0 if the prefill rate is not known."""
    rate = board.settings.scheduling.prefill_tokens_per_second
    return prompt_tokens / rate if rate else 0.0


def misses_first_token_goal(board: Board, ask: rows.AskRow, now: float) -> bool:
    """Return whether the first token can no longer be produced by the goal."""
    if not ask.goal_deadline:
        return False
    return now + prefill_seconds(board, ask.prompt_tokens) > ask.goal_deadline


def prefill_backlog_seconds(board: Board, upstream_id: str, now: float) -> float:
    """Return the time that an engine needs to prefill the prompts granted there.

    A grant counts until its first token. The progress on the current prompt is
    estimated from the time since its prefill started.
    """
    rate = board.settings.scheduling.prefill_tokens_per_second
    if not rate:
        return 0.0
    awaiting_prefill = [
        grant
        for request_id in board.grant_ids_by_upstream_id.get(upstream_id, ())
        if not (grant := board.grants_by_request_id[request_id]).token_count
    ]
    if not awaiting_prefill:
        return 0.0
    total_seconds = sum(grant.prompt_tokens for grant in awaiting_prefill) / rate
    current = awaiting_prefill[0]
    ledger = _memory.ledger(board, upstream_id)
    prefill_started_at = max(ledger.started_at, current.granted_at)
    elapsed = min(now - prefill_started_at, current.prompt_tokens / rate)
    return max(0.0, total_seconds - elapsed)


def has_prefill_room(board: Board, upstream_id: str, now: float) -> bool:
    """Return whether the prefill backlog of an engine allows another prompt."""
    limit = board.settings.scheduling.prefill_limit_seconds
    return (
        prefill_backlog_seconds(board, upstream_id, now)
        <= limit + ROUNDING_SLACK_SECONDS
    )


def next_room_at(board: Board, upstream_ids: Iterable[str], now: float) -> float:
    """Return the estimated time at which an engine can accept the next prompt."""
    limit = board.settings.scheduling.prefill_limit_seconds
    return now + max(
        0.0,
        min(
            (
                prefill_backlog_seconds(board, upstream_id, now) - limit
                for upstream_id in upstream_ids
            ),
            default=0.0,
        ),
    )


def record_first_token(board: Board, grant: rows.GrantRow, now: float) -> None:
    """Record a first token; the engine then starts to prefill the next prompt."""
    ledger = _memory.ledger(board, grant.upstream_id)
    board.load_reconciliations_by_upstream_id[grant.upstream_id] = ledger._replace(
        started_at=now
    )
