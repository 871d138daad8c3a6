"""Order of service of ranks: largest floor deficit first, then by priority."""

from __future__ import annotations

from carawayhitch.board import Board
from carawayhitch.controllers import _fairness
from carawayhitch.core import declarations

# Margin above the floor, as a fraction of the floor. The share that callers receive
# varies around the charged one: without a margin, a rank with a floor of 0.2 received
# as little as 0.195 of the tokens within 10 s.
FLOOR_MARGIN = 0.05


def rank_class(board: Board, rank: str) -> declarations.RankClass:
    """Return the declared rank; undeclared ranks are served last."""
    configuration = board.configuration
    declared_class = (
        configuration.rank_classes_by_name.get(rank) if configuration else None
    )
    return declared_class or declarations.RankClass(rank, priority=1_000_000)


def highest_priority(board: Board) -> int:
    """Return the priority of the rank that is served first."""
    configuration = board.configuration
    ranks = configuration.rank_classes_by_name.values() if configuration else ()
    return min((rank.priority for rank in ranks), default=0)


def first_rank_is_active(board: Board, cell_id: str, now: float) -> bool:
    """Return whether ranks of the highest priority were charged tokens recently."""
    first = highest_priority(board)
    return any(
        _fairness.recent_rate(board, cell, rank, now).tokens >= 1.0
        for cell, rank in board.rates_by_rank
        if cell == cell_id and rank_class(board, rank).priority <= first
    )


def floor_deficit(board: Board, cell_id: str, rank: str, now: float) -> float:
    """Return how far a rank's share of the charged tokens is below its floor.

    The floor includes `FLOOR_MARGIN`, because the share that callers receive varies
    around the charged share.
    """
    floor = rank_class(board, rank).floor
    if not floor:
        return 0.0
    total = sum(
        _fairness.recent_rate(board, cell, name, now).tokens
        for cell, name in board.rates_by_rank
        if cell == cell_id
    )
    if not total:
        return 0.0
    target_share = min(1.0, floor * (1.0 + FLOOR_MARGIN))
    return max(
        0.0,
        target_share - _fairness.recent_rate(board, cell_id, rank, now).tokens / total,
    )


def waiting_ranks(board: Board, cell_id: str, now: float) -> list[str]:
    """Return the ranks with waiting asks in a cell, in order of service."""
    waiting = [rank for cell, rank in board.queues_by_rank if cell == cell_id]
    if len(waiting) < 2:
        return waiting

    def order(rank: str) -> tuple[float, int, str]:
        deficit = floor_deficit(board, cell_id, rank, now)
        return (-deficit, rank_class(board, rank).priority, rank)

    return sorted(waiting, key=order)
