"""Queue of the asks of a cell: by rank and account, in order of arrival."""

from __future__ import annotations

from math import exp, sqrt

from carawayhitch.board import Board
from carawayhitch.controllers import _fairness
from carawayhitch.controllers._call_logs import build_ask_log
from carawayhitch.controllers._ranks import rank_class
from carawayhitch.core import actions, messages, result_codes, rows

SCHEDULING_TIMER = "scheduling"
RETRY_AFTER_MINIMUM_SECONDS = 1.0
RETRY_AFTER_MAXIMUM_SECONDS = 60.0
# Without a known rate, a middle value spreads the callers that come back.
RETRY_AFTER_DEFAULT_SECONDS = 10.0
# Fewer grants or a shorter backlog say too little about the rate.
KNOWN_RATE_GRANTS = 4.0
KNOWN_RATE_SECONDS = 2.0


def queue_length(board: Board, cell_id: str, rank: str) -> int:
    """Return how many asks wait in a rank of a cell."""
    return board.queue_lengths_by_rank.get((cell_id, rank), rows.QueueRow()).length


def load_percent(board: Board, cell_id: str) -> int:
    """Return waiting and granted requests per upstream of a cell, in hundredths."""
    cell = board.cells_by_id.get(cell_id)
    if cell is None or not cell.upstream_ids:
        return 0
    waiting = sum(
        queue.length
        for (queue_cell_id, _), queue in board.queue_lengths_by_rank.items()
        if queue_cell_id == cell_id
    )
    running = sum(
        len(board.grant_ids_by_upstream_id.get(upstream_id, ()))
        for upstream_id in cell.upstream_ids
    )
    return 100 * (waiting + running) // len(cell.upstream_ids)


def account_queue(
    board: Board, cell_id: str, rank: str, account: str
) -> dict[str, None]:
    """Return the ids of an account's waiting asks, the oldest first."""
    return board.queues_by_rank.get((cell_id, rank), {}).get(account, {})


def add_ask(board: Board, ask: rows.AskRow) -> None:
    """Append an ask to its queue."""
    key = (ask.cell_id, ask.rank)
    accounts = board.queues_by_rank.setdefault(key, {})
    accounts.setdefault(ask.account, {})[ask.request_id] = None
    known = board.queue_lengths_by_rank.get(key) or rows.QueueRow()
    if known.length == 0:
        known = rows.QueueRow(0, ask.renewed_at)
        recent = _fairness.rate(board, ask.cell_id, ask.rank, ask.renewed_at)
        board.rates_by_rank[key] = recent._replace(grants=0.0)
    board.queue_lengths_by_rank[key] = known._replace(length=known.length + 1)
    board.asks_by_request_id[ask.request_id] = ask
    _fairness.open_work(board, ask.cell_id, ask.rank, ask.account)


def remove_ask(board: Board, request_id: str) -> rows.AskRow | None:
    """Take an ask out of its queue; return it if it was there."""
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
    known = board.queue_lengths_by_rank[key]
    board.queue_lengths_by_rank[key] = known._replace(length=known.length - 1)
    _fairness.close_work(board, ask.cell_id, ask.rank, ask.account)
    return ask


def grants_per_second(board: Board, cell_id: str, rank: str, now: float) -> float:
    """Return the rate of grants while asks of a rank wait; 0 if it is not known.

    Only a rate that was measured with asks waiting tells what the cell can serve;
    without a backlog it tells how many asks came.
    """
    known = board.queue_lengths_by_rank.get((cell_id, rank)) or rows.QueueRow()
    backlog_seconds = now - known.since
    grants = _fairness.rate(board, cell_id, rank, now).grants
    if (
        not known.length
        or backlog_seconds < KNOWN_RATE_SECONDS
        or grants < KNOWN_RATE_GRANTS
    ):
        return 0.0
    window = board.settings.scheduling.charge_window_seconds
    return grants / (window * (1.0 - exp(-backlog_seconds / window)))


def expected_wait(board: Board, ask: rows.AskRow, now: float) -> float:
    """Return the expected wait of a new ask in seconds; 0 if nothing is known.

    If the whole queue is served before the deadline, it is the time for that.

    Accounts take turns by quota weight, so of a longer queue only as many asks go
    first as the other account's weight allows. The rate is taken two standard
    deviations above what was counted, so that nobody is refused by mere chance.
    """
    grants = grants_per_second(board, ask.cell_id, ask.rank, now)
    if not grants:
        return 0.0
    counted = _fairness.rate(board, ask.cell_id, ask.rank, now).grants
    grants *= 1.0 + 2.0 / sqrt(counted)
    longest = (queue_length(board, ask.cell_id, ask.rank) + 1) / grants
    if now + longest <= ask.deadline:
        return longest
    waiting = board.queues_by_rank.get((ask.cell_id, ask.rank), {})
    own = len(waiting.get(ask.account, ())) + 1
    weight = _fairness.quota_weight(board, ask.account)
    ahead = sum(
        min(
            len(queue),
            own * _fairness.quota_weight(board, account) / weight,
        )
        for account, queue in waiting.items()
        if account != ask.account
    )
    return (own + ahead) / grants


def find_refusal(
    board: Board, ask: rows.AskRow, now: float
) -> tuple[result_codes.ResultCode, float] | None:
    """Return code and Retry-After with which a new ask is refused, or None."""
    configuration = board.configuration
    account = configuration.accounts_by_name.get(ask.account) if configuration else None
    declared = rank_class(board, ask.rank)
    length = queue_length(board, ask.cell_id, ask.rank)
    own = sum(
        len(accounts.get(ask.account, ()))
        for (cell_id, _), accounts in board.queues_by_rank.items()
        if cell_id == ask.cell_id
    )
    if length >= declared.queue_limit and displaced_ask(board, ask) is None:
        return result_codes.QUEUE_FULL, _retry_after(board, ask, length, now)
    if account is not None and own >= account.queue_limit:
        return result_codes.QUEUE_FULL, _retry_after(board, ask, own, now)
    if now >= ask.deadline:
        return result_codes.WAIT_EXPIRED, RETRY_AFTER_MINIMUM_SECONDS
    if now + expected_wait(board, ask, now) > ask.deadline:
        retry_after = _retry_after(board, ask, length, now)
        return result_codes.DEADLINE_UNREACHABLE, retry_after
    return None


def displaced_ask(board: Board, ask: rows.AskRow) -> rows.AskRow | None:
    """Return the waiting ask that makes room for a new one, or None.

    It is the newest one of the account that has the most waiting by quota weight.
    Without this, an account that asks far beyond its quota fills the queue of its
    rank, and accounts within theirs are refused.
    """
    waiting = board.queues_by_rank.get((ask.cell_id, ask.rank), {})

    def weighted(account: str, more: int = 0) -> float:
        held = len(waiting.get(account, ())) + more
        return held / _fairness.quota_weight(board, account)

    largest = max(waiting, key=weighted, default=ask.account)
    if weighted(ask.account, 1) > weighted(largest) or largest == ask.account:
        return None
    return board.asks_by_request_id[next(reversed(waiting[largest]))]


def displace_ask(board: Board, ask: rows.AskRow, now: float) -> list[actions.Action]:
    """Make room for a new ask in the full queue of its rank."""
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
    """Return the time in which half of a queue is served, within limits."""
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
) -> list[actions.Action]:
    """Return the message that refuses an ask, and its log line."""
    message = messages.AdmissionRefusal(
        board.node_id, ask.request_id, ask.attempt, ask.cell_id, code, retry_after
    )
    return [
        build_ask_log(board, ask, "", code, now),
        actions.Send(ask.entry_id, message),
    ]


def expire_asks(board: Board, now: float) -> list[actions.Action]:
    """Remove asks past their deadline, and those whose entry no longer renews them."""
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
