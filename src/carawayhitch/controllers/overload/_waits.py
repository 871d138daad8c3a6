"""Expected waits, from the work ahead of an ask and the capacity that is left for it.

An ask that can still meet its goal is served before all that cannot. A late ask gets
only what arriving work leaves over, so that it may wait in vain although the queue is
short.
"""

from __future__ import annotations

from collections import defaultdict

from carawayhitch.board import Board
from carawayhitch.controllers import _fairness, _prefill
from carawayhitch.controllers._ranks import rank_class
from carawayhitch.controllers.overload._capacity import (
    arriving_engines,
    usable_engine_count,
)
from carawayhitch.core import rows

# A wait that ends in vain costs a caller seconds; a refusal of an ask that could have
# been served costs it its goal. So asks are refused only if 1.5 times the capacity
# would not serve them either.
CAPACITY_MARGIN = 1.5
# Arriving work may exceed the capacity, and nothing tells for how long. Clients are
# then told to come back at the rate of this share of the capacity.
SPARE_SHARE_MINIMUM = 0.25
# At the deadline, the entry answers without a place, or the caller has already left. So
# the last sweep (every 0.5 s) before the deadline refuses an ask.
REFUSAL_LEAD_SECONDS = 0.6
# Counting walks the whole queue, which is too much work for each new ask of a burst.
# Asks that have become late since the last count are still in the sum of those in time.
COUNT_LIFETIME_SECONDS = 0.1


def count_waiting_work(board: Board, cell_id: str, now: float) -> rows.WaitingWorkRow:
    """Return the work of the asks that wait in a cell, counted one by one."""
    work = rows.WaitingWorkRow(
        defaultdict(float), defaultdict(float), set(), now + COUNT_LIFETIME_SECONDS
    )
    for (queue_cell_id, _), accounts in board.queues_by_rank.items():
        if queue_cell_id != cell_id:
            continue
        for request_ids in accounts.values():
            for request_id in request_ids:
                ask = board.asks_by_request_id[request_id]
                _add_work(board, work, ask, now)
    return work


def _add_work(
    board: Board, work: rows.WaitingWorkRow, ask: rows.AskRow, now: float
) -> None:
    if _prefill.misses_first_token_goal(board, ask, now):
        work.late[ask.rank, ask.account] += ask.work_seconds
        work.late_request_ids.add(ask.request_id)
    else:
        work.in_time[ask.rank, ask.account] += ask.work_seconds


def waiting_work(board: Board, cell_id: str, now: float) -> rows.WaitingWorkRow:
    """Return the work that waits in a cell; it is counted anew after its deadline."""
    work = board.waiting_work_by_cell_id.get(cell_id)
    if work is None or now >= work.deadline:
        work = count_waiting_work(board, cell_id, now)
        board.waiting_work_by_cell_id[cell_id] = work
    return work


def add_waiting_work(board: Board, ask: rows.AskRow) -> None:
    """Add a queued ask to the counted work of its cell, if there is a count."""
    work = board.waiting_work_by_cell_id.get(ask.cell_id)
    if work is not None:
        _add_work(board, work, ask, ask.renewed_at)


def subtract_waiting_work(board: Board, ask: rows.AskRow) -> None:
    """Take an ask that leaves its queue off the counted work of its cell."""
    work = board.waiting_work_by_cell_id.get(ask.cell_id)
    if work is None:
        return
    is_late = ask.request_id in work.late_request_ids
    work.late_request_ids.discard(ask.request_id)
    seconds_by_account = work.late if is_late else work.in_time
    key = (ask.rank, ask.account)
    seconds_by_account[key] = max(0.0, seconds_by_account[key] - ask.work_seconds)


def delete_old_counts(board: Board, now: float) -> None:
    """Delete the counted work of cells to which no asks come any more."""
    for cell_id, work in list(board.waiting_work_by_cell_id.items()):
        if now >= work.deadline:
            del board.waiting_work_by_cell_id[cell_id]


def _fair_work_ahead(
    board: Board, ask: rows.AskRow, own: float, work_by_account: dict[str, float]
) -> float:
    """Return the work served before an ask if accounts alternate by quota weight."""
    weight = _fairness.quota_weight(board, ask.account)
    return own + sum(
        min(work, own * _fairness.quota_weight(board, account) / weight)
        for account, work in work_by_account.items()
        if account != ask.account
    )


def spare_engines(
    board: Board, ask: rows.AskRow, priority: float, engines: float, now: float
) -> float:
    """Return the engines that the work arriving in ranks before a priority leaves."""
    return engines - sum(
        arriving_engines(board, cell_id, rank, now)
        for cell_id, rank in board.arriving_work_by_rank
        if cell_id == ask.cell_id and rank_class(board, rank).priority < priority
    )


def wait_in_time(
    board: Board,
    ask: rows.AskRow,
    work: rows.WaitingWorkRow,
    engines: float,
    now: float,
) -> float:
    """Return the wait of an ask behind those that can meet their goals."""
    priority = rank_class(board, ask.rank).priority
    before = 0.0
    by_account: dict[str, float] = {}
    for (rank, account), seconds in work.in_time.items():
        if rank == ask.rank:
            by_account[account] = seconds
        elif rank_class(board, rank).priority < priority:
            before += seconds
    own = by_account.get(ask.account, 0.0) + ask.work_seconds
    ahead = before + _fair_work_ahead(board, ask, own, by_account) - ask.work_seconds
    spare = spare_engines(board, ask, priority, engines, now)
    return ahead / spare if spare > 0 else float("inf")


def wait_when_late(
    board: Board,
    ask: rows.AskRow,
    work: rows.WaitingWorkRow,
    own_late: float,
    engines: float,
    now: float,
) -> float:
    """Return the wait of an ask that no longer meets its goal.

    Parameters
    ----------
    own_late : float
        Late work of its account that is served before it.
    """
    spare = spare_engines(board, ask, float("inf"), engines, now)
    if spare <= 0:
        return float("inf")
    priority = rank_class(board, ask.rank).priority
    by_account: dict[str, float] = {}
    before = sum(work.in_time.values())
    for (rank, account), seconds in work.late.items():
        if rank == ask.rank:
            by_account[account] = seconds
        elif rank_class(board, rank).priority < priority:
            before += seconds
    own = own_late + ask.work_seconds
    ahead = before + _fair_work_ahead(board, ask, own, by_account) - ask.work_seconds
    return ahead / spare


def _is_judged(ask: rows.AskRow) -> bool:
    """Return whether an ask may be refused because of its expected wait.

    An ask that came back holds its place, and a second refusal may be the last one
    that its client accepts. An ask after the first attempt may belong to a call that
    has run: its refusal would not be "not run", and its client could not come back.
    """
    return not ask.returned and ask.attempt == 1


def expected_wait(board: Board, ask: rows.AskRow, now: float) -> float | None:
    """Return the expected wait of a new ask in seconds.

    Returns
    -------
    float or None
        None if the capacity of the cell is not known, because none of its upstreams is
        usable at present or the size of the work is not known.
    """
    cell = board.cells_by_id[ask.cell_id]
    engines = CAPACITY_MARGIN * usable_engine_count(board, cell, ask.entry_id, now)
    if not engines or not ask.work_seconds:
        return None
    if not _is_judged(ask):
        return 0.0
    work = waiting_work(board, ask.cell_id, now)
    wait = wait_in_time(board, ask, work, engines, now)
    if not _prefill.misses_first_token_goal(board, ask, now + wait):
        return wait
    own_late = work.late.get((ask.rank, ask.account), 0.0)
    return wait_when_late(board, ask, work, own_late, engines, now)


def unservable_asks(
    board: Board, cell_id: str, now: float
) -> list[tuple[rows.AskRow, int]]:
    """Return the waiting asks of a cell whose wait can no longer end in time.

    Each is returned with the number of upstreams that accept work of its entry.
    """
    cell = board.cells_by_id.get(cell_id)
    if cell is None:
        return []
    first_asks = [
        ask
        for ask in board.asks_by_request_id.values()
        if ask.cell_id == cell_id and ask.attempt == 1
    ]
    ending = [ask for ask in first_asks if now + REFUSAL_LEAD_SECONDS >= ask.deadline]
    late_by_account: dict[tuple[str, str], list[rows.AskRow]] = defaultdict(list)
    for ask in first_asks:
        if (
            now + REFUSAL_LEAD_SECONDS < ask.deadline
            and _is_judged(ask)
            and _prefill.misses_first_token_goal(board, ask, now)
        ):
            late_by_account[ask.rank, ask.account].append(ask)
    work = count_waiting_work(board, cell_id, now)
    engine_count_by_entry_id = {
        entry_id: usable_engine_count(board, cell, entry_id, now)
        for entry_id in {ask.entry_id for ask in first_asks}
    }
    found = ending
    for account, asks in late_by_account.items():
        # The ask that is served last comes first. If it is served in time, so are those
        # before it.
        for ask in sorted(asks, key=lambda row: row.queued_at, reverse=True):
            engines = engine_count_by_entry_id[ask.entry_id]
            if not engines or not ask.work_seconds:
                break
            own_late = work.late[account] - ask.work_seconds
            wait = wait_when_late(
                board, ask, work, own_late, CAPACITY_MARGIN * engines, now
            )
            if now + wait <= ask.deadline:
                break
            found.append(ask)
            work.late[account] = own_late
    return [(ask, engine_count_by_entry_id[ask.entry_id]) for ask in found]


def return_seconds(board: Board, ask: rows.AskRow, engines: int, now: float) -> float:
    """Return the time after which a refused ask would be served.

    The asks ahead are taken to be as much work as this one, because a sweep may refuse
    hundreds.
    """
    accounts = board.queues_by_rank.get((ask.cell_id, ask.rank), {})
    length = board.queue_lengths_by_rank.get(
        (ask.cell_id, ask.rank), rows.QueueLengthRow()
    ).length
    own_count = len(accounts.get(ask.account, ())) + 1
    ahead_count = min(length, own_count * len(accounts))
    return ahead_count * ask.work_seconds / returning_engines(board, ask, engines, now)


def returning_engines(
    board: Board, ask: rows.AskRow, engines: int, now: float
) -> float:
    """Return the engines that are left for the clients of a rank that come back."""
    # The rank's own arrivals, and those of ranks before it, are served first.
    after = rank_class(board, ask.rank).priority + 1
    spare = spare_engines(board, ask, after, engines, now)
    return max(SPARE_SHARE_MINIMUM * max(1.0, engines), spare)
