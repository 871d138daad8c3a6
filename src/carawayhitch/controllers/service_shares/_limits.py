"""Limits of accounts at an entry: which new calls it accepts."""

from __future__ import annotations

from math import exp

from carawayhitch.board import Board
from carawayhitch.controllers._cells import entry_scheduled_groups, rendezvous_score
from carawayhitch.controllers._ranks import rank_class
from carawayhitch.core import rows

# Window of the rates of calls and answers. Longer ones would limit accounts for seconds
# after the end of a burst; shorter ones would forget calls between two reports.
RATE_WINDOW_SECONDS = 0.5
# Callers that return sooner meet the same limit.
RETRY_AFTER_MINIMUM_SECONDS = 1.0
RETRY_AFTER_MAXIMUM_SECONDS = 60.0
# Callers that were refused in one burst return over at least this time. Retry-After has
# whole seconds.
RETRY_AFTER_SPREAD_SECONDS = 2.0
# Credit that an account can save up. More would let it send a burst.
CREDIT_LIMIT = 2.0


def is_shared(board: Board, group: str) -> bool:
    """Return whether accounts have shares in the servers of a group."""
    if not board.settings.scheduling.service_shares:
        return False
    return group in entry_scheduled_groups(board)


def is_shared_cell(board: Board, cell_id: str) -> bool:
    """Return whether accounts have shares in the servers of a known cell."""
    cell = board.cells_by_id.get(cell_id)
    return cell is not None and is_shared(board, cell.group)


def add_call(
    row: rows.CallRateRow | None,
    now: float,
    seconds: float = 0.0,
    is_answered: bool = True,
) -> rows.CallRateRow:
    """Return a rate with one more call, which took a time if it has ended.

    Of a call without an answer only the time counts.
    """
    current = current_rate(row, now)
    calls = current.calls + is_answered
    return rows.CallRateRow(calls, current.seconds + seconds, now)


def current_rate(row: rows.CallRateRow | None, now: float) -> rows.CallRateRow:
    """Return a rate decayed to the current time; zero if there were no calls."""
    if row is None:
        return rows.CallRateRow(updated_at=now)
    factor = exp(-max(0.0, now - row.updated_at) / RATE_WINDOW_SECONDS)
    return rows.CallRateRow(row.calls * factor, row.seconds * factor, now)


def calls_per_second(row: rows.CallRateRow | None, now: float) -> float:
    """Return the smoothed rate of calls."""
    return current_rate(row, now).calls / RATE_WINDOW_SECONDS


def limit_key(
    board: Board, cell_id: str, rank: str, account: str
) -> tuple[str, int, str]:
    """Return the key by which the calls of an account are counted and limited."""
    return cell_id, share_priority(board, rank), account


def share_priority(board: Board, rank: str) -> int:
    """Return the priority by which a rank gets its part of a crowded service.

    Ranks of routes with the same priority get theirs together. Otherwise the route with
    the shorter goal would be served alone, however little shorter its goal is.
    """
    configuration = board.configuration
    common = configuration.common_priorities_by_rank if configuration else {}
    return common[rank] if rank in common else rank_class(board, rank).priority


def limit_of(board: Board, ask: rows.AskRow, now: float) -> rows.ShareLimitRow | None:
    """Return the limit that applies to an ask at this entry, or None."""
    if not is_shared(board, ask.group):
        return None
    key = limit_key(board, ask.cell_id, ask.rank, ask.account)
    limit = board.share_limits_by_account.get(key)
    return limit if limit is not None and now < limit.deadline else None


def active_limits(
    board: Board, now: float
) -> dict[tuple[str, int, str], rows.ShareLimitRow]:
    """Return the limits of this entry by cell, priority and account."""
    return {
        key: limit
        for key, limit in board.share_limits_by_account.items()
        if now < limit.deadline and is_shared_cell(board, key[0])
    }


def accepts(board: Board, ask: rows.AskRow, now: float) -> bool:
    """Return whether the limit of its account lets a new call in.

    A call that was accepted before is not limited when it is tried again.
    """
    limit = limit_of(board, ask, now)
    return limit is None or ask.attempt > 1 or limit.credit >= 1.0


def spend_credit(board: Board, ask: rows.AskRow, now: float) -> None:
    """Take an accepted call from the credit of its account."""
    limit = limit_of(board, ask, now)
    if limit is not None and ask.attempt == 1:
        key = limit_key(board, ask.cell_id, ask.rank, ask.account)
        board.share_limits_by_account[key] = limit._replace(credit=limit.credit - 1.0)


def retry_after_seconds(board: Board, ask: rows.AskRow, now: float) -> float:
    """Return the time after which the caller of a refused ask may return.

    The earliest time is that at which the account has credit again at its present rate.
    Times are spread up to twice the earliest one. Otherwise the calls that were refused
    in a burst would come back together.
    """
    limit = limit_of(board, ask, now)
    key = limit_key(board, ask.cell_id, ask.rank, ask.account)
    rate = calls_per_second(board.call_rates_by_account.get(key), now)
    earliest = RETRY_AFTER_MINIMUM_SECONDS
    if limit is not None and rate:
        seconds = (1.0 - limit.credit) / (limit.share * rate)
        earliest = max(earliest, min(RETRY_AFTER_MAXIMUM_SECONDS / 2, seconds))
    spread = max(earliest, RETRY_AFTER_SPREAD_SECONDS)
    position = rendezvous_score(ask.request_id, ask.account) / 2**64
    return round(earliest + spread * position, 1)


def charged_size(board: Board, call: rows.AskRow | rows.GrantRow) -> int:
    """Return what the fair queue charges for a call when it starts.

    Calls to plain services have no tokens. Without a charge the accounts that wait at
    an entry would be served in order of their names.
    """
    return 1 if is_shared(board, call.group) else call.prompt_tokens
