"""Counts of an entry's calls, their reports, and the limits that follow from them."""

from __future__ import annotations

from random import Random

from carawayhitch.board import Board
from carawayhitch.controllers import duties
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.controllers.service_shares._counting import (
    REPORT_INTERVAL_SECONDS,
    answer_report,
    find_shares,
    store_report,
)
from carawayhitch.controllers.service_shares._limits import (
    CREDIT_LIMIT,
    RATE_WINDOW_SECONDS,
    add_call,
    calls_per_second,
    current_rate,
    is_shared,
    is_shared_cell,
    limit_key,
)
from carawayhitch.core import actions, events, messages, result_codes, rows

REPORT_TIMER = "service_report"
# Limits last until three answers are missing. Then each entry accepts all calls, as
# without shares.
LIMIT_LIFETIME_SECONDS = 4 * REPORT_INTERVAL_SECONDS
# An answer arrives within milliseconds, but single datagrams are lost.
UNANSWERED_REPORT_LIMIT = 2
# A candidate that is still a member after this time may count again.
FAILOVER_SECONDS = 10.0
# Keeps a report within one datagram. The others have few calls.
REPORTED_ACCOUNT_LIMIT = 24
# After the last call, a rate of one call falls to this within some three seconds.
FORGOTTEN_CALLS_PER_SECOND = 0.01
NOT_RUN_CODES = frozenset({result_codes.RETRY_CONNECT, result_codes.RETRY_REFUSED})

decide = new_controller()


@decide.register(messages.AdmissionAsk)
def _count_new_call(
    event: messages.AdmissionAsk, board: Board, now: float, random: Random
) -> Actions:
    """Count a new call and add its share to the credit of a limited account."""
    if event.attempt > 1 or not is_shared(board, event.group):
        return ()
    is_repeated = event.request_id in board.asks_by_request_id
    if is_repeated or event.cell_id not in board.cells_by_id:
        return ()
    key = limit_key(board, event.cell_id, event.rank, event.account)
    rates = board.call_rates_by_account
    rates[key] = add_call(rates.get(key), now)
    limit = board.share_limits_by_account.get(key)
    if limit is not None:
        credit = min(CREDIT_LIMIT, limit.credit + limit.share)
        board.share_limits_by_account[key] = limit._replace(credit=credit)
    return _start_reports(board, event.cell_id, now, random)


@decide.register(events.RetryRequested)
def _note_refused_call(
    event: events.RetryRequested, board: Board, now: float, random: Random
) -> Actions:
    """Note that a server did not run a call, which may end without another attempt."""
    if event.code in NOT_RUN_CODES:
        grant = board.grants_by_request_id.get(event.request_id)
        if grant is not None and is_shared(board, grant.group):
            board.refused_attempts_by_request_id[event.request_id] = grant.attempt
    return ()


@decide.register(messages.Finished)
def _count_ended_call(
    event: messages.Finished, board: Board, now: float, random: Random
) -> Actions:
    """Count the end of a call that its server has run.

    A call that failed or was given up before its server began to answer has only used
    the server's time. Counted as answers, timeouts of a server that hangs and errors of
    one that fails fast would raise the capacity.
    """
    refused_attempt = board.refused_attempts_by_request_id.pop(event.request_id, 0)
    grant = board.grants_by_request_id.get(event.request_id)
    if grant is None or grant.attempt != event.attempt:
        return ()
    if not is_shared(board, grant.group):
        return ()
    if event.upstream_refused or refused_attempt == event.attempt:
        return ()
    rates = board.answer_rates_by_upstream_id
    rates[grant.upstream_id] = add_call(
        rates.get(grant.upstream_id),
        now,
        now - grant.granted_at,
        is_answered=event.complete or event.began,
    )
    return ()


def _start_reports(board: Board, cell_id: str, now: float, random: Random) -> Actions:
    """Set the timer of the first report, at a time that differs among entries."""
    if cell_id in board.service_reports_by_cell_id:
        return ()
    board.service_reports_by_cell_id[cell_id] = rows.ServiceReportRow(
        cell_id, _derive_candidates(board, cell_id)
    )
    return (_report_timer(cell_id, now + random.uniform(0, REPORT_INTERVAL_SECONDS)),)


def _derive_candidates(board: Board, cell_id: str) -> tuple[str, ...]:
    """Return the entries that may count the calls of a cell, in failover order."""
    cells = {cell_id: board.cells_by_id[cell_id]}
    members = board.members_by_id.values()
    return duties.derive_schedulers(cells, members, board.node_id)[cell_id]


def _report_timer(cell_id: str, deadline: float) -> actions.SetTimer:
    return actions.SetTimer(deadline, events.TimerFired(REPORT_TIMER, cell_id))


@decide.register(events.TimerFired)
def _send_report(
    event: events.TimerFired, board: Board, now: float, random: Random
) -> Actions:
    if event.name != REPORT_TIMER:
        return ()
    cell_id = event.subject
    _delete_outdated_rows(board, cell_id, now)
    report = _build_report(board, cell_id, now)
    is_counting = any(key[0] == cell_id for key in board.reported_loads_by_cell_entry)
    is_idle = not report.accounts and not report.servers and not is_counting
    if is_idle or not is_shared_cell(board, cell_id):
        board.service_reports_by_cell_id.pop(cell_id, None)
        board.service_shares_by_cell_id.pop(cell_id, None)
        _delete_limits(board, cell_id)
        if not board.service_reports_by_cell_id:
            # No other timer deletes the rates of servers whose cell was removed.
            board.answer_rates_by_upstream_id.clear()
        return ()
    timer = _report_timer(cell_id, now + REPORT_INTERVAL_SECONDS)
    if not report.accounts and not report.servers:
        return (timer,)
    row = _next_receiver(board, board.service_reports_by_cell_id[cell_id], now)
    board.service_reports_by_cell_id[cell_id] = row._replace(
        unanswered_count=row.unanswered_count + 1
    )
    return (actions.Send(row.candidate_ids[row.candidate_index], report), timer)


def _delete_limits(board: Board, cell_id: str) -> None:
    """Delete the limits of a cell, for which no timer is set any more."""
    for key in list(board.share_limits_by_account):
        if key[0] == cell_id:
            del board.share_limits_by_account[key]


def _delete_outdated_rows(board: Board, cell_id: str, now: float) -> None:
    is_removed = not is_shared_cell(board, cell_id)
    for key, rate in list(board.call_rates_by_account.items()):
        if key[0] == cell_id and (
            is_removed or calls_per_second(rate, now) < FORGOTTEN_CALLS_PER_SECOND
        ):
            del board.call_rates_by_account[key]
    for upstream_id, rate in list(board.answer_rates_by_upstream_id.items()):
        if calls_per_second(rate, now) < FORGOTTEN_CALLS_PER_SECOND:
            del board.answer_rates_by_upstream_id[upstream_id]
    for key, limit in list(board.share_limits_by_account.items()):
        if key[0] == cell_id and (is_removed or now >= limit.deadline):
            del board.share_limits_by_account[key]
    for request_id in list(board.refused_attempts_by_request_id):
        if request_id not in board.grants_by_request_id:
            del board.refused_attempts_by_request_id[request_id]
    for entry_key, load in list(board.reported_loads_by_cell_entry.items()):
        if entry_key[0] == cell_id and (is_removed or now >= load.deadline):
            del board.reported_loads_by_cell_entry[entry_key]


def _build_report(board: Board, cell_id: str, now: float) -> messages.ServiceLoad:
    cell = board.cells_by_id.get(cell_id)
    rates = sorted(
        (
            messages.AccountRate(account, priority, calls_per_second(rate, now))
            for (rate_cell_id, priority, account), rate in (
                board.call_rates_by_account.items()
            )
            if rate_cell_id == cell_id
        ),
        key=lambda row: -row.calls_per_second,
    )
    loads = (
        _server_load(board, upstream_id, now)
        for upstream_id in (cell.upstream_ids if cell else ())
    )
    return messages.ServiceLoad(
        board.node_id,
        cell_id,
        tuple(rates[:REPORTED_ACCOUNT_LIMIT]),
        tuple(load for load in loads if load.running_count or load.answers_per_second),
    )


def _server_load(board: Board, upstream_id: str, now: float) -> messages.ServerLoad:
    rate = current_rate(board.answer_rates_by_upstream_id.get(upstream_id), now)
    return messages.ServerLoad(
        upstream_id,
        len(board.grant_ids_by_upstream_id.get(upstream_id, ())),
        rate.calls / RATE_WINDOW_SECONDS,
        rate.seconds / RATE_WINDOW_SECONDS,
    )


def _next_receiver(
    board: Board, row: rows.ServiceReportRow, now: float
) -> rows.ServiceReportRow:
    """Return the row with the entry that gets the next report.

    The first candidates are the same at all entries with the same members. Entries that
    report elsewhere for a moment are missing in the sums, so that more is accepted.
    """
    if row.failover_deadline and now >= row.failover_deadline:
        row = rows.ServiceReportRow(row.cell_id, row.candidate_ids)
    if row.unanswered_count < UNANSWERED_REPORT_LIMIT:
        return row
    return row._replace(
        candidate_index=(row.candidate_index + 1) % len(row.candidate_ids),
        unanswered_count=0,
        failover_deadline=row.failover_deadline or now + FAILOVER_SECONDS,
    )


@decide.register(messages.ServiceLoad)
def _answer_report(
    event: messages.ServiceLoad, board: Board, now: float, random: Random
) -> Actions:
    if not is_shared_cell(board, event.cell_id):
        return ()
    store_report(board, event, now)
    shares, logged = find_shares(board, event.cell_id, now)
    timer = _start_reports(board, event.cell_id, now, random)
    return (*logged, answer_report(board, event, shares), *timer)


@decide.register(messages.ServiceShares)
def _apply_shares(
    event: messages.ServiceShares, board: Board, now: float, random: Random
) -> Actions:
    row = board.service_reports_by_cell_id.get(event.cell_id)
    if row is None or not is_shared_cell(board, event.cell_id):
        return ()
    if event.sender_id == row.candidate_ids[row.candidate_index]:
        board.service_reports_by_cell_id[event.cell_id] = row._replace(
            unanswered_count=0
        )
    limits = board.share_limits_by_account
    earlier = {key: limits.pop(key) for key in list(limits) if key[0] == event.cell_id}
    for share in event.shares:
        key = (event.cell_id, share.priority, share.account)
        known = earlier.get(key)
        # Many entries learn of the limit at once. If all of them began with the same
        # credit, they would accept their next calls together.
        credit = known.credit if known else random.random()
        limits[key] = rows.ShareLimitRow(
            share.share, credit, now + LIMIT_LIFETIME_SECONDS, event.sender_id
        )
    return ()


@decide.register(events.MembershipChanged)
@decide.register(events.UpstreamsChanged)
def _update_candidates(
    event: events.MembershipChanged | events.UpstreamsChanged,
    board: Board,
    now: float,
    random: Random,
) -> Actions:
    """Derive the candidates again; a failover lasts while they are the same."""
    for cell_id, row in list(board.service_reports_by_cell_id.items()):
        if cell_id not in board.cells_by_id:
            continue
        candidate_ids = _derive_candidates(board, cell_id)
        if candidate_ids != row.candidate_ids:
            board.service_reports_by_cell_id[cell_id] = rows.ServiceReportRow(
                cell_id, candidate_ids
            )
    return ()
