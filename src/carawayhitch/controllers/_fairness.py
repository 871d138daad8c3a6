"""Fair queueing among accounts of a rank, by quota-weighted virtual token counters."""

from __future__ import annotations

from math import exp

from carawayhitch.board import Board
from carawayhitch.core import rows


def quota_weight(board: Board, account: str) -> float:
    """Return the weight of an account; 1 if it is not declared."""
    configuration = board.configuration
    declared_account = (
        configuration.accounts_by_name.get(account) if configuration else None
    )
    return declared_account.quota_weight if declared_account else 1.0


def usage(board: Board, cell_id: str, rank: str, account: str) -> rows.AccountUsageRow:
    """Return the usage of an account; zero if none is recorded."""
    current = board.usage_by_account.get((cell_id, rank, account))
    return current or rows.AccountUsageRow(0.0, 0)


def increment_open_count(board: Board, cell_id: str, rank: str, account: str) -> None:
    """Count one more waiting or granted request of an account.

    An idle account resumes at no less than the minimum counter of the active
    accounts, so that idle time earns no credit. If no account is active, it resumes
    at no less than the counter of the last active one. A new account that started at
    zero would be served exclusively until its counter had caught up.
    """
    current = usage(board, cell_id, rank, account)
    charged = current.charged
    if current.open_count == 0:
        active = [
            row.charged
            for (cell, name, _), row in board.usage_by_account.items()
            if row.open_count and cell == cell_id and name == rank
        ]
        last_charged = board.last_idle_charge_by_rank.get((cell_id, rank), 0.0)
        charged = max(charged, min(active, default=last_charged))
    board.usage_by_account[cell_id, rank, account] = rows.AccountUsageRow(
        charged, current.open_count + 1
    )


def decrement_open_count(board: Board, cell_id: str, rank: str, account: str) -> None:
    """Count one waiting or granted request less of an account."""
    current = usage(board, cell_id, rank, account)
    board.usage_by_account[cell_id, rank, account] = current._replace(
        open_count=max(0, current.open_count - 1)
    )
    if current.open_count <= 1:
        board.last_idle_charge_by_rank[cell_id, rank] = current.charged


def delete_idle_usage_rows(board: Board) -> None:
    """Delete idle accounts' counters that are not above the start of a new account."""
    minimum_by_rank: dict[tuple[str, str], float] = {}
    for (cell_id, rank, _), row in board.usage_by_account.items():
        if row.open_count:
            current = minimum_by_rank.get((cell_id, rank), row.charged)
            minimum_by_rank[cell_id, rank] = min(current, row.charged)
    for key, row in list(board.usage_by_account.items()):
        last_charged = board.last_idle_charge_by_rank.get(key[:2], 0.0)
        if not row.open_count and row.charged <= minimum_by_rank.get(
            key[:2], last_charged
        ):
            del board.usage_by_account[key]


def recent_rate(board: Board, cell_id: str, rank: str, now: float) -> rows.RankRateRow:
    """Return the tokens and grants charged to a rank, decayed to the current time."""
    current = board.rates_by_rank.get((cell_id, rank)) or rows.RankRateRow(
        updated_at=now
    )
    window = board.settings.scheduling.charge_window_seconds
    factor = exp(-max(0.0, now - current.updated_at) / window)
    return rows.RankRateRow(current.tokens * factor, current.grants * factor, now)


def charge_tokens(
    board: Board, grant: rows.GrantRow, tokens: int, now: float, grants: int = 0
) -> None:
    """Charge tokens to the account and rank of a grant; a negative number refunds."""
    key = (grant.cell_id, grant.rank, grant.account)
    current = usage(board, *key)
    weight = quota_weight(board, grant.account)
    board.usage_by_account[key] = current._replace(
        charged=max(0.0, current.charged + tokens / weight)
    )
    rate_row = recent_rate(board, grant.cell_id, grant.rank, now)
    board.rates_by_rank[grant.cell_id, grant.rank] = rate_row._replace(
        tokens=max(0.0, rate_row.tokens + tokens),
        grants=max(0.0, rate_row.grants + grants),
    )


def next_account(
    board: Board, cell_id: str, rank: str, skipped: set[str]
) -> str | None:
    """Return the waiting account with the lowest counter, or None.

    Calls on public routes are queued under an account with an empty name.
    """
    waiting = board.queues_by_rank.get((cell_id, rank), {})
    return min(
        (account for account in waiting if account not in skipped),
        key=lambda account: (usage(board, cell_id, rank, account).charged, account),
        default=None,
    )
