"""Retries of failed calls at other upstreams, within a budget."""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from carawayhitch.board import Board
from carawayhitch.controllers._call_logs import build_retry_log
from carawayhitch.controllers._cells import LIVE_STATES
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.controllers._placement import (
    end_request,
    finished_message,
    send_upstream_answer,
)
from carawayhitch.controllers._targets import PATIENCE_WAIT_FRACTION, caller_patience
from carawayhitch.core import actions, events, result_codes, rows

SAVED_RETRY_LIMIT = 20.0
NOT_EXECUTED_CODES = frozenset({result_codes.RETRY_CONNECT, result_codes.RETRY_REFUSED})
UPSTREAM_FAILURE_CODES = frozenset(
    {result_codes.RETRY_BEFORE_FIRST_TOKEN, result_codes.RETRY_CONTINUED}
)

decide = new_controller()


class RetryAllowance(NamedTuple):
    """Retries that a serving group may make at this entry, independent of its calls.

    Parameters
    ----------
    rate : float
        Retries earned per second.
    limit : float
        Maximum number of retries that can be saved up.
    """

    rate: float
    limit: float


def _retry_allowance(board: Board) -> RetryAllowance:
    """Return this entry's allowance, which may be its share of a fleet-wide limit.

    The limit is divided by the number of live members or of entries registered in the
    store, whichever is larger: entries that are partitioned from this one, or that it
    does not know yet, may retry as well.
    """
    retries = board.settings.retries
    if not retries.fleet_limit:
        return RetryAllowance(retries.budget_minimum_per_second, SAVED_RETRY_LIMIT)
    live_count = sum(row.state in LIVE_STATES for row in board.members_by_id.values())
    registered_count = len(board.listed_entries_by_vm_id)
    # Half of the fleet limit refills over its window and half can be saved up, so that
    # no window of that length exceeds the limit.
    half = retries.fleet_limit / max(1, live_count, registered_count) / 2
    return RetryAllowance(half / retries.fleet_window_seconds, max(1.0, half))


def _budget(
    board: Board, group: str, now: float, earned: float = 0.0
) -> rows.RetryBudgetRow:
    """Return the budget of a group with the retries earned since its last update."""
    rate, limit = _retry_allowance(board)
    previous = board.retry_budgets_by_group.get(group, rows.RetryBudgetRow(limit, now))
    gained = (now - previous.updated_at) * rate + earned
    return rows.RetryBudgetRow(min(limit, previous.retries + gained), now)


@decide.register(events.RequestAdmitted)
def _earn_retry_budget(
    event: events.RequestAdmitted, board: Board, now: float, random: Random
) -> Actions:
    row = board.requests_by_id.get(event.request_id)
    if row is None or row.attempt > 1:
        return ()
    share = board.settings.retries.budget_share
    board.retry_budgets_by_group[row.group] = _budget(board, row.group, now, share)
    return ()


@decide.register(events.RetryRequested)
def _retry_within_budget(
    event: events.RetryRequested, board: Board, now: float, random: Random
) -> Actions:
    row = board.requests_by_id.get(event.request_id)
    if row is None:
        return ()
    initial_deadline = row.deadline
    row = row._replace(deadline=_waiting_deadline(row))
    budget = _budget(board, row.group, now)
    board.retry_budgets_by_group[row.group] = budget
    if _is_last_attempt(board, row) or now >= row.deadline:
        return _end_without_retry(board, row, event)
    if budget.retries < 1.0:
        return (
            actions.Count(result_codes.RETRY_BUDGET_EMPTY, row.rank),
            build_retry_log(row, result_codes.RETRY_BUDGET_EMPTY),
            *_end_without_retry(board, row, event),
        )
    board.retry_budgets_by_group[row.group] = budget._replace(
        retries=budget.retries - 1.0
    )
    finished = finished_message(board, row, False, event.code in UPSTREAM_FAILURE_CODES)
    # An upstream that refused the request or the connection did not run it, so the
    # failure does not count against the request, but the scheduler stops placing work
    # at that upstream for a while.
    finished = finished._replace(upstream_refused=event.code in NOT_EXECUTED_CODES)
    next_row = row._replace(
        phase="asking",
        attempt=row.attempt + 1,
        excluded_upstream_ids=(*row.excluded_upstream_ids, row.upstream_id),
        upstream_id="",
        generation_id="",
        scheduler_id="",
        token_count=row.token_count if row.response_started else 0,
        resume_count=0,
    )
    board.requests_by_id[row.request_id] = next_row
    delay = backoff_seconds(board, row.attempt, random)
    expiry = actions.SetTimer(row.deadline, events.WaitExpired(row.request_id))
    return (
        actions.Send(row.scheduler_id, finished),
        actions.Count(event.code, row.rank),
        build_retry_log(row, event.code),
        *((expiry,) if row.deadline > initial_deadline else ()),
        actions.SetTimer(now + delay, events.RequestAdmitted(row.request_id)),
    )


def _waiting_deadline(row: rows.RequestRow) -> float:
    """Return the time by which another upstream has to go on with a request.

    The deadline of a request limits the wait for its first event. A caller that has
    events waits again from the last one on.
    """
    patience = caller_patience(row.target)
    if not row.response_started or not patience:
        return row.deadline
    deadline = row.last_chunk_at + patience * PATIENCE_WAIT_FRACTION
    return min(deadline, row.caller_deadline or deadline)


def may_retry(board: Board, row: rows.RequestRow, now: float) -> bool:
    """Return whether another attempt of a request would be made at this time."""
    return (
        not _is_last_attempt(board, row._replace(run_count=row.run_count + 1))
        and now < _waiting_deadline(row)
        and _budget(board, row.group, now).retries >= 1.0
    )


def _is_last_attempt(board: Board, row: rows.RequestRow) -> bool:
    """Return whether the attempt limit forbids another attempt.

    The limit of a route counts only attempts that may have run at an upstream.
    """
    if row.attempt_limit and row.run_count >= row.attempt_limit:
        return True
    return row.attempt >= board.settings.streams.attempt_limit


def _end_without_retry(
    board: Board, row: rows.RequestRow, event: events.RetryRequested
) -> Actions:
    """End a call without another attempt.

    If the upstream answered with an error status, its answer is sent to the caller.
    """
    if event.answer is None:
        return end_request(row, event.final_code, retry_after=1.0)
    return send_upstream_answer(board, row, event.answer)


def backoff_seconds(board: Board, attempt: int, random: Random) -> float:
    """Return a random delay whose upper bound doubles with each attempt."""
    retries = board.settings.retries
    limit = min(
        retries.backoff_limit_seconds, retries.backoff_base_seconds * 2 ** (attempt - 1)
    )
    return random.uniform(0.0, limit)
