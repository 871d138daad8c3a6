"""Admission queues of cells, by rank and account and in order of arrival."""

from __future__ import annotations

from math import exp, sqrt

from carawayhitch.board import Board
from carawayhitch.controllers import _fairness, overload, service_shares, zones
from carawayhitch.controllers._call_logs import build_ask_log
from carawayhitch.controllers._ranks import rank_class
from carawayhitch.core import actions, messages, result_codes, rows

RETRY_AFTER_MINIMUM_SECONDS = 1.0
RETRY_AFTER_MAXIMUM_SECONDS = 60.0
# Used while the grant rate is unknown; a medium value spreads out the retries.
RETRY_AFTER_DEFAULT_SECONDS = 10.0
# With fewer grants or a shorter backlog the estimated rate is not reliable.
RATE_GRANT_MINIMUM = 4.0
RATE_BACKLOG_MINIMUM_SECONDS = 2.0
# Refusals of work that can be served later.
LOAD_CODES = (
    result_codes.QUEUE_FULL,
    result_codes.DEADLINE_UNREACHABLE,
    result_codes.WAIT_EXPIRED,
)


def queue_length(board: Board, cell_id: str, rank: str) -> int:
    """Return the number of asks that wait in a rank of a cell."""
    return board.queue_lengths_by_rank.get(
        (cell_id, rank), rows.QueueLengthRow()
    ).length


def load_percent(board: Board, cell_id: str) -> int:
    """Return waiting and granted requests per upstream of a cell, as a percentage.

    Upstreams in zones out of use take no part of the load that waits.
    """
    cell = board.cells_by_id.get(cell_id)
    if cell is None or not cell.upstream_ids:
        return 0
    upstream_ids = zones.upstream_ids_in_use(board, cell) or cell.upstream_ids
    waiting = sum(
        queue.length
        for (queue_cell_id, _), queue in board.queue_lengths_by_rank.items()
        if queue_cell_id == cell_id
    )
    running = sum(
        len(board.grant_ids_by_upstream_id.get(upstream_id, ()))
        for upstream_id in upstream_ids
    )
    return 100 * (waiting + running) // len(upstream_ids)


def account_queue(
    board: Board, cell_id: str, rank: str, account: str
) -> dict[str, None]:
    """Return the ids of an account's waiting asks, oldest first."""
    return board.queues_by_rank.get((cell_id, rank), {}).get(account, {})


def add_ask(board: Board, ask: rows.AskRow) -> None:
    """Append an ask to its queue."""
    key = (ask.cell_id, ask.rank)
    accounts = board.queues_by_rank.setdefault(key, {})
    accounts.setdefault(ask.account, {})[ask.request_id] = None
    queue_row = board.queue_lengths_by_rank.get(key) or rows.QueueLengthRow()
    if queue_row.length == 0:
        queue_row = rows.QueueLengthRow(0, ask.renewed_at)
        rate_row = _fairness.recent_rate(board, ask.cell_id, ask.rank, ask.renewed_at)
        board.rates_by_rank[key] = rate_row._replace(grants=0.0)
    board.queue_lengths_by_rank[key] = queue_row._replace(length=queue_row.length + 1)
    board.asks_by_request_id[ask.request_id] = ask
    overload.add_waiting_work(board, ask)
    _fairness.increment_open_count(board, ask.cell_id, ask.rank, ask.account)


def remove_ask(board: Board, request_id: str) -> rows.AskRow | None:
    """Remove an ask from its queue; return it, or None if it was not queued."""
    ask = board.asks_by_request_id.pop(request_id, None)
    if ask is None:
        return None
    key = (ask.cell_id, ask.rank)
    accounts = board.queues_by_rank[key]
    del accounts[ask.account][request_id]
    if not accounts[ask.account]:
        del accounts[ask.account]
    if not accounts:
        del board.queues_by_rank[key]
    overload.subtract_waiting_work(board, ask)
    queue_row = board.queue_lengths_by_rank[key]
    board.queue_lengths_by_rank[key] = queue_row._replace(length=queue_row.length - 1)
    _fairness.decrement_open_count(board, ask.cell_id, ask.rank, ask.account)
    return ask


def grants_per_second(board: Board, cell_id: str, rank: str, now: float) -> float:
    """Return the grant rate of a rank under backlog; 0 if it is not known.

    Only the rate under backlog reflects the capacity of the cell. Without a backlog
    it reflects the arrival rate.
    """
    queue_row = (
        board.queue_lengths_by_rank.get((cell_id, rank)) or rows.QueueLengthRow()
    )
    backlog_seconds = now - queue_row.since
    grants = _fairness.recent_rate(board, cell_id, rank, now).grants
    if (
        not queue_row.length
        or backlog_seconds < RATE_BACKLOG_MINIMUM_SECONDS
        or grants < RATE_GRANT_MINIMUM
    ):
        return 0.0
    window = board.settings.scheduling.charge_window_seconds
    return grants / (window * (1.0 - exp(-backlog_seconds / window)))


def expected_wait(board: Board, ask: rows.AskRow, now: float) -> float:
    """Return the expected wait of a new ask in seconds; 0 if the rate is not known.

    If the whole queue can be served before the deadline, this is the time to serve
    the whole queue.

    Otherwise it accounts for the order of service: accounts alternate by quota
    weight, so another account has only as many asks served first as its weight
    allows. The rate is taken two standard deviations above the counted one, so that
    random variation causes no refusals.
    """
    if overload.applies(board, ask.cell_id):
        wait = overload.expected_wait(board, ask, now)
        if wait is not None:
            return wait
    grants = grants_per_second(board, ask.cell_id, ask.rank, now)
    if not grants:
        return 0.0
    grant_count = _fairness.recent_rate(board, ask.cell_id, ask.rank, now).grants
    grants *= 1.0 + 2.0 / sqrt(grant_count)
    full_queue_seconds = (queue_length(board, ask.cell_id, ask.rank) + 1) / grants
    if now + full_queue_seconds <= ask.deadline:
        return full_queue_seconds
    waiting = board.queues_by_rank.get((ask.cell_id, ask.rank), {})
    own_count = len(waiting.get(ask.account, ())) + 1
    weight = _fairness.quota_weight(board, ask.account)
    ahead_count = sum(
        min(
            len(queue),
            own_count * _fairness.quota_weight(board, account) / weight,
        )
        for account, queue in waiting.items()
        if account != ask.account
    )
    return (own_count + ahead_count) / grants


def find_refusal(
    board: Board, ask: rows.AskRow, now: float
) -> tuple[result_codes.ResultCode, float] | None:
    """Return the result code and Retry-After of a refusal, or None to accept."""
    configuration = board.configuration
    account = configuration.accounts_by_name.get(ask.account) if configuration else None
    rank_declaration = rank_class(board, ask.rank)
    length = queue_length(board, ask.cell_id, ask.rank)
    own_count = sum(
        len(accounts.get(ask.account, ()))
        for (cell_id, _), accounts in board.queues_by_rank.items()
        if cell_id == ask.cell_id
    )
    if length >= rank_declaration.queue_limit and displaced_ask(board, ask) is None:
        return result_codes.QUEUE_FULL, _retry_after(board, ask, length, now)
    if account is not None and own_count >= account.queue_limit:
        return result_codes.QUEUE_FULL, _retry_after(board, ask, own_count, now)
    if now >= ask.deadline:
        return result_codes.WAIT_EXPIRED, RETRY_AFTER_MINIMUM_SECONDS
    if not service_shares.accepts(board, ask, now):
        retry_after = service_shares.retry_after_seconds(board, ask, now)
        return result_codes.ACCOUNT_SHARE_EXCEEDED, retry_after
    if now + expected_wait(board, ask, now) > ask.deadline:
        retry_after = _retry_after(board, ask, length, now)
        return result_codes.DEADLINE_UNREACHABLE, retry_after
    return None


def displaced_ask(board: Board, ask: rows.AskRow) -> rows.AskRow | None:
    """Return the waiting ask that a new one displaces from a full queue, or None.

    This is the newest ask of the account with the most waiting asks relative to its
    quota weight. Without displacement, an account far beyond its quota could fill
    the queue of its rank, and accounts within their quotas would be refused.
    """
    waiting = board.queues_by_rank.get((ask.cell_id, ask.rank), {})

    def weighted_count(account: str, more: int = 0) -> float:
        held = len(waiting.get(account, ())) + more
        return held / _fairness.quota_weight(board, account)

    largest = max(waiting, key=weighted_count, default=ask.account)
    if (
        weighted_count(ask.account, 1) > weighted_count(largest)
        or largest == ask.account
    ):
        return None
    return board.asks_by_request_id[next(reversed(waiting[largest]))]


def displace_ask(board: Board, ask: rows.AskRow, now: float) -> list[actions.Action]:
    """Refuse the displaced ask if the queue of the new ask's rank is full."""
    length = queue_length(board, ask.cell_id, ask.rank)
    if length < rank_class(board, ask.rank).queue_limit:
        return []
    displaced = displaced_ask(board, ask)
    if displaced is None:
        return []
    retry_after = _retry_after(board, displaced, length, now)
    remove_ask(board, displaced.request_id)
    return refuse_ask(board, displaced, result_codes.QUEUE_FULL, retry_after, now)


def _retry_after(board: Board, ask: rows.AskRow, length: int, now: float) -> float:
    """Return the time to serve half of a queue, clamped to the limits."""
    grants = grants_per_second(board, ask.cell_id, ask.rank, now)
    seconds = length / 2 / grants if grants else RETRY_AFTER_DEFAULT_SECONDS
    return min(
        RETRY_AFTER_MAXIMUM_SECONDS, max(RETRY_AFTER_MINIMUM_SECONDS, round(seconds))
    )


def refuse_ask(
    board: Board,
    ask: rows.AskRow,
    code: result_codes.ResultCode,
    retry_after: float,
    now: float,
    engine_count: int | None = None,
) -> list[actions.Action]:
    """Return the actions that log the refusal of an ask and send it to the entry.

    Where waits are estimated from the capacity, its place is kept and Retry-After is
    the time at which it would be served.
    """
    kept: list[actions.Action] = []
    if code in LOAD_CODES and overload.applies(board, ask.cell_id):
        retry_after, kept = overload.keep_place(board, ask, now, engine_count)
    message = messages.AdmissionRefusal(
        board.node_id, ask.request_id, ask.attempt, ask.cell_id, code, retry_after
    )
    return [
        build_ask_log(board, ask, "", code, now),
        *kept,
        actions.Send(ask.entry_id, message),
    ]


def expire_asks(board: Board, now: float) -> list[actions.Action]:
    """Remove asks past their deadline and asks that their entry stopped renewing."""
    lifetime = board.settings.scheduling.progress_lifetime_seconds
    decided: list[actions.Action] = []
    for ask in list(board.asks_by_request_id.values()):
        if now >= ask.deadline:
            remove_ask(board, ask.request_id)
            code = result_codes.WAIT_EXPIRED
            decided.extend(
                refuse_ask(board, ask, code, RETRY_AFTER_MINIMUM_SECONDS, now)
            )
        elif now >= ask.renewed_at + lifetime:
            remove_ask(board, ask.request_id)
    return decided


def refuse_unservable_asks(board: Board, now: float) -> list[actions.Action]:
    """Refuse asks whose wait can no longer end in time, where waits are estimated."""
    decided: list[actions.Action] = []
    for cell_id in dict.fromkeys(cell_id for cell_id, _ in board.queues_by_rank):
        if not overload.applies(board, cell_id):
            continue
        for ask, count in overload.unservable_asks(board, cell_id, now):
            remove_ask(board, ask.request_id)
            code = result_codes.DEADLINE_UNREACHABLE
            decided.extend(refuse_ask(board, ask, code, 0.0, now, count))
    return decided
