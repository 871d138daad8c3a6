"""Shares of a cell's servers, derived by one entry from the reports of all."""

from __future__ import annotations

from collections import defaultdict
from itertools import islice

from carawayhitch.board import Board
from carawayhitch.controllers import _fairness, zones
from carawayhitch.controllers.service_shares._allotment import (
    PriorityDemand,
    ServerState,
    accepted_shares,
    next_capacity,
    service_capacity,
)
from carawayhitch.controllers.service_shares._limits import share_priority
from carawayhitch.core import actions, messages, rows

REPORT_INTERVAL_SECONDS = 0.5
# A report counts until two further ones are lost.
REPORT_LIFETIME_SECONDS = 3 * REPORT_INTERVAL_SECONDS
# Reports arrive at all times. Deriving the shares for each of them would cost the
# counting entry more than the calls themselves.
DERIVATION_INTERVAL_SECONDS = REPORT_INTERVAL_SECONDS / 2
# Accounts that an answer names, those of which the most calls are refused. Keeps it
# within one datagram. If they were chosen by the lowest shares, many small accounts of
# a late priority would displace a large one, which would then have no limit.
NAMED_ACCOUNT_LIMIT = 24
# Limits begin when the demand exceeds the capacity by this factor and end when it does
# not exceed it any more. Rates of some hundred calls vary by a twentieth.
LIMITING_DEMAND = 1.1
# A capacity holds for this time after the last answer. Servers that take seconds for a
# call are without answers in some windows; without a capacity the limits would end.
CAPACITY_LIFETIME_SECONDS = 10.0


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
    was_limited = known is not None and bool(known.shares_by_account)
    derived = _derive_shares(board, cell_id, known, now)
    board.service_shares_by_cell_id[cell_id] = derived
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


def _derive_shares(
    board: Board, cell_id: str, known: rows.ServiceShareRow | None, now: float
) -> rows.ServiceShareRow:
    """Return the shares by the present reports and the earlier derivation."""
    reports = [
        row.report
        for (reported_cell_id, _), row in board.reported_loads_by_cell_entry.items()
        if reported_cell_id == cell_id and now < row.deadline
    ]
    rates_by_priority: dict[int, dict[str, float]] = defaultdict(
        lambda: defaultdict(float)
    )
    for report in reports:
        for row in report.accounts:
            rates_by_priority[row.priority][row.account] += row.calls_per_second
    demand = sum(sum(rates.values()) for rates in rates_by_priority.values())
    estimate = service_capacity(_server_states(board, cell_id, reports, now))
    capacity_deadline = now + CAPACITY_LIFETIME_SECONDS
    if estimate is None:
        capacity_deadline = known.capacity_deadline if known else 0.0
    is_usable = known is not None and now < known.capacity_deadline
    previous = known.capacity if known is not None and is_usable else 0.0
    capacity = next_capacity(estimate, previous)
    is_limited = known is not None and bool(known.shares_by_account)
    tolerated = 1.0 if is_limited else LIMITING_DEMAND
    shares_by_account: dict[tuple[int, str], float] = {}
    if capacity is not None and demand > tolerated * capacity:
        shares_by_account = accepted_shares(
            [
                PriorityDemand(priority, _floor(board, priority), rates)
                for priority, rates in rates_by_priority.items()
            ],
            {
                account: _fairness.quota_weight(board, account)
                for rates in rates_by_priority.values()
                for account in rates
            },
            capacity,
        )
    by_refused_rate = sorted(
        shares_by_account.items(),
        key=lambda item: -rates_by_priority[item[0][0]][item[0][1]] * (1.0 - item[1]),
    )
    return rows.ServiceShareRow(
        dict(by_refused_rate),
        demand,
        capacity or 0.0,
        now + DERIVATION_INTERVAL_SECONDS,
        capacity_deadline,
    )


def _floor(board: Board, priority: int) -> float:
    """Return the floor of a priority, the highest one of its ranks."""
    configuration = board.configuration
    ranks = configuration.rank_classes_by_name if configuration else {}
    floors = [
        rank.floor
        for name, rank in ranks.items()
        if share_priority(board, name) == priority
    ]
    return max(floors, default=0.0)


def _server_states(
    board: Board, cell_id: str, reports: list[messages.ServiceLoad], now: float
) -> list[ServerState]:
    """Return the states of the servers of a cell that are in use.

    A server that refuses calls because it is full is one of them.
    """
    loads_by_id: dict[str, list[messages.ServerLoad]] = defaultdict(list)
    for report in reports:
        for load in report.servers:
            loads_by_id[load.upstream_id].append(load)
    return [
        ServerState(
            upstream.running_limit,
            sum(load.running_count for load in loads_by_id[upstream_id]),
            sum(load.answers_per_second for load in loads_by_id[upstream_id]),
            sum(load.busy_seconds for load in loads_by_id[upstream_id]),
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
    """Return the answer to a report.

    It names limited accounts that the sender has not reported as well. Otherwise the
    first call of an account at each entry would be accepted, which are most of the
    calls of an account at many entries.
    """
    named = islice(shares.shares_by_account.items(), NAMED_ACCOUNT_LIMIT)
    limited = tuple(
        messages.AccountShare(account, priority, share)
        for (priority, account), share in named
    )
    answer = messages.ServiceShares(board.node_id, report.cell_id, limited)
    return actions.Send(report.sender_id, answer)
