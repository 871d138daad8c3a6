"""Fairness among accounts of a rank: virtual token counters weighted by quota."""

from __future__ import annotations

from math import exp

from carawayhitch.board import Board
from carawayhitch.core import rows


def quota_weight(board: Board, account: str) -> float:
    """Return the weight of an account; 1 if it is not declared."""
    configuration = board.configuration
    declared = configuration.accounts_by_name.get(account) if configuration else None
    return declared.quota_weight if declared else 1.0


def usage(board: Board, cell_id: str, rank: str, account: str) -> rows.UsageRow:
    """Return the counter of an account; zero if it was never active."""
    known = board.usage_by_account.get((cell_id, rank, account))
    return known or rows.UsageRow(0.0, 0)


def open_work(board: Board, cell_id: str, rank: str, account: str) -> None:
    """Note one more waiting or granted request of an account.

    An account without any starts at the minimum of the active ones, so that idle
    time builds no credit. If none is active it starts at the counter of the last
    account that was: a new account would otherwise keep the others out until its
    counter, starting at zero, has caught up.
    """
    known = usage(board, cell_id, rank, account)
    charged = known.charged
    if known.open_count == 0:
        active = [
            row.charged
            for (cell, name, _), row in board.usage_by_account.items()
            if row.open_count and cell == cell_id and name == rank
        ]
        last = board.last_charged_by_rank.get((cell_id, rank), 0.0)
        charged = max(charged, min(active, default=last))
    board.usage_by_account[cell_id, rank, account] = rows.UsageRow(
        charged, known.open_count + 1
    )


def decrement_open_count(board: Board, cell_id: str, rank: str, account: str) -> None:
    """Note one waiting or granted request less of an account."""
    known = usage(board, cell_id, rank, account)
    board.usage_by_account[cell_id, rank, account] = known._replace(
        open_count=max(0, known.open_count - 1)
    )
    if known.open_count <= 1:
        board.last_charged_by_rank[cell_id, rank] = known.charged


def delete_idle_usage_rows(board: Board) -> None:
    """Remove counters of idle accounts that hold no more than a new one gets."""
    starts: dict[tuple[str, str], float] = {}
    for (cell_id, rank, _), row in board.usage_by_account.items():
        if row.open_count:
            known = starts.get((cell_id, rank), row.charged)
            starts[cell_id, rank] = min(known, row.charged)
    for key, row in list(board.usage_by_account.items()):
        last = board.last_charged_by_rank.get(key[:2], 0.0)
        if not row.open_count and row.charged <= starts.get(key[:2], last):
            del board.usage_by_account[key]


def rate(board: Board, cell_id: str, rank: str, now: float) -> rows.RateRow:
    """Return what a rank was charged in the recent window."""
    known = board.rates_by_rank.get((cell_id, rank)) or rows.RateRow(updated_at=now)
    window = board.settings.scheduling.charge_window_seconds
    factor = exp(-max(0.0, now - known.updated_at) / window)
    return rows.RateRow(known.tokens * factor, known.grants * factor, now)


def charge_tokens(
    board: Board, grant: rows.GrantRow, tokens: int, now: float, grants: int = 0
) -> None:
    """Charge tokens to the account and the rank of a grant; negative gives back."""
    key = (grant.cell_id, grant.rank, grant.account)
    known = usage(board, *key)
    weight = quota_weight(board, grant.account)
    board.usage_by_account[key] = known._replace(
        charged=max(0.0, known.charged + tokens / weight)
    )
    recent = rate(board, grant.cell_id, grant.rank, now)
    board.rates_by_rank[grant.cell_id, grant.rank] = recent._replace(
        tokens=max(0.0, recent.tokens + tokens),
        grants=max(0.0, recent.grants + grants),
    )


def next_account(
    board: Board, cell_id: str, rank: str, skipped: set[str]
) -> str | None:
    """Return the waiting account with the lowest counter, or None.

    Calls on public routes wait under an account with an empty name.
    """
    waiting = board.queues_by_rank.get((cell_id, rank), {})
    return min(
        (account for account in waiting if account not in skipped),
        key=lambda account: (usage(board, cell_id, rank, account).charged, account),
        default=None,
    )
