"""Shares of a cell's servers, derived by one entry from the reports of all."""

from __future__ import annotations

from collections import defaultdict

from carawayhitch.board import Board
from carawayhitch.controllers import _fairness, zones
from carawayhitch.controllers._ranks import rank_class
from carawayhitch.controllers.service_shares._allotment import (
    RankDemand,
    ServerState,
    accepted_shares,
    service_capacity,
)
from carawayhitch.core import actions, messages, rows

REPORT_INTERVAL_SECONDS = 0.5
# A report counts until two further ones are lost.
REPORT_LIFETIME_SECONDS = 3 * REPORT_INTERVAL_SECONDS
# Reports arrive at all times. Deriving the shares for each of them would cost the
# counting entry more than the calls themselves.
DERIVATION_INTERVAL_SECONDS = REPORT_INTERVAL_SECONDS / 2


def store_report(board: Board, report: messages.ServiceLoad, now: float) -> None:
    """Store the report of an entry in place of its earlier one."""
    board.reported_loads_by_cell_entry[report.cell_id, report.sender_id] = (
        rows.ReportedLoadRow(report, now + REPORT_LIFETIME_SECONDS)
    )


def find_shares(
    board: Board, cell_id: str, now: float
) -> tuple[rows.ServiceShareRow, list[actions.Action]]:
    """Return the shares of a cell, derived again if they are due, and log lines."""
    known = board.service_shares_by_cell_id.get(cell_id)
    if known is not None and now < known.deadline:
        return known, []
    derived = _derive_shares(board, cell_id, now)
    board.service_shares_by_cell_id[cell_id] = derived
    was_limited = known is not None and bool(known.shares_by_account)
    if was_limited == bool(derived.shares_by_account):
        return derived, []
    fields = {
        "cell": cell_id,
        "demand": round(derived.demand, 1),
        "capacity": round(derived.capacity, 1),
        "accounts": sorted({account for _, account in derived.shares_by_account}),
    }
    event = "service has room again" if was_limited else "service crowded"
    return derived, [actions.Log("info", event, fields)]


def _derive_shares(board: Board, cell_id: str, now: float) -> rows.ServiceShareRow:
    reports = [
        row.report
        for (reported_cell_id, _), row in board.reported_loads_by_cell_entry.items()
        if reported_cell_id == cell_id and now < row.deadline
    ]
    rates_by_rank: dict[str, dict[str, float]] = defaultdict(lambda: defaultdict(float))
    for report in reports:
        for row in report.accounts:
            rates_by_rank[row.rank][row.account] += row.calls_per_second
    demand = sum(sum(rates.values()) for rates in rates_by_rank.values())
    capacity = service_capacity(_server_states(board, cell_id, reports, now))
    shares_by_account: dict[tuple[str, str], float] = {}
    if capacity is not None and capacity < demand:
        shares_by_account = accepted_shares(
            [_rank_demand(board, rank, rates) for rank, rates in rates_by_rank.items()],
            {
                account: _fairness.quota_weight(board, account)
                for rates in rates_by_rank.values()
                for account in rates
            },
            capacity,
        )
    return rows.ServiceShareRow(
        shares_by_account, demand, capacity or 0.0, now + DERIVATION_INTERVAL_SECONDS
    )


def _rank_demand(board: Board, rank: str, rates: dict[str, float]) -> RankDemand:
    declared = rank_class(board, rank)
    return RankDemand(rank, declared.priority, declared.floor, rates)


def _server_states(
    board: Board, cell_id: str, reports: list[messages.ServiceLoad], now: float
) -> list[ServerState]:
    """Return the states of the servers of a cell that are in use.

    A server that refuses calls because it is full is one of them.
    """
    running_by_id: dict[str, int] = defaultdict(int)
    answers_by_id: dict[str, float] = defaultdict(float)
    for report in reports:
        for load in report.servers:
            running_by_id[load.upstream_id] += load.running_count
            answers_by_id[load.upstream_id] += load.answers_per_second
    return [
        ServerState(
            upstream.running_limit,
            running_by_id[upstream_id],
            answers_by_id[upstream_id],
        )
        for upstream_id in board.cells_by_id[cell_id].upstream_ids
        if (upstream := board.upstreams_by_id.get(upstream_id))
        and not (upstream.leaving or upstream.draining)
        and now >= upstream.unreachable_until
        and zones.accepts_work(board, upstream)
    ]


def answer_report(
    board: Board, report: messages.ServiceLoad, shares: rows.ServiceShareRow
) -> actions.Send:
    """Return the answer to a report, with the limited accounts that it names."""
    limited = tuple(
        messages.AccountShare(row.account, row.rank, share)
        for row in report.accounts
        if (share := shares.shares_by_account.get((row.rank, row.account))) is not None
    )
    answer = messages.ServiceShares(board.node_id, report.cell_id, limited)
    return actions.Send(report.sender_id, answer)
