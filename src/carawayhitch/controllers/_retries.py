"""Retries of failed calls at other upstreams, within a budget."""

from __future__ import annotations

from random import Random

from carawayhitch.board import Board
from carawayhitch.controllers._call_logs import retry_logged
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.controllers._placement import end_request, finished_message
from carawayhitch.core import actions, events, result_codes, rows

BUDGET_LIMIT = 20.0

decide = new_controller()


def refill(budget: rows.BudgetRow, rate: float, now: float) -> rows.BudgetRow:
    """Return the budget with what it gained since it was last updated."""
    gained = (now - budget.updated_at) * rate
    return rows.BudgetRow(min(BUDGET_LIMIT, budget.retries + gained), now)


def _budget(board: Board, group: str, now: float) -> rows.BudgetRow:
    rate = board.settings.retries.budget_minimum_per_second
    known = board.retry_budget_by_group.get(group, rows.BudgetRow(BUDGET_LIMIT, now))
    return refill(known, rate, now)


@decide.register(events.RequestAdmitted)
def _earn(
    event: events.RequestAdmitted, board: Board, now: float, random: Random
) -> Actions:
    row = board.requests_by_id.get(event.request_id)
    if row is None or row.attempt > 1:
        return ()
    budget = _budget(board, row.group, now)
    earned = min(BUDGET_LIMIT, budget.retries + board.settings.retries.budget_share)
    board.retry_budget_by_group[row.group] = rows.BudgetRow(earned, now)
    return ()


@decide.register(events.RetryRequested)
def _retry(
    event: events.RetryRequested, board: Board, now: float, random: Random
) -> Actions:
    row = board.requests_by_id.get(event.request_id)
    if row is None:
        return ()
    budget = _budget(board, row.group, now)
    board.retry_budget_by_group[row.group] = budget
    if row.attempt >= board.settings.streams.attempt_limit or now >= row.deadline:
        return end_request(row, event.final_code, retry_after=1.0)
    if budget.retries < 1.0:
        return (
            actions.Count(result_codes.RETRY_BUDGET_EMPTY, row.rank),
            retry_logged(row, result_codes.RETRY_BUDGET_EMPTY),
            *end_request(row, event.final_code, retry_after=1.0),
        )
    board.retry_budget_by_group[row.group] = rows.BudgetRow(budget.retries - 1.0, now)
    # A refused or unopened connection never ran the request, so it is no evidence
    # against the request, but the scheduler stops placing work there for a while.
    upstream_failed = event.code is result_codes.RETRY_BEFORE_FIRST_TOKEN
    finished = finished_message(board, row, False, upstream_failed)
    finished = finished._replace(upstream_refused=not upstream_failed)
    again = row._replace(
        phase="asking",
        attempt=row.attempt + 1,
        excluded_upstream_ids=(*row.excluded_upstream_ids, row.upstream_id),
        upstream_id="",
        generation_id="",
        scheduler_id="",
        token_count=0,
        resume_count=0,
    )
    board.requests_by_id[row.request_id] = again
    delay = backoff_seconds(board, row.attempt, random)
    return (
        actions.Send(row.scheduler_id, finished),
        actions.Count(event.code, row.rank),
        retry_logged(row, event.code),
        actions.SetTimer(now + delay, events.RequestAdmitted(row.request_id)),
    )


def backoff_seconds(board: Board, attempt: int, random: Random) -> float:
    """Return a random wait that doubles its range with each attempt."""
    retries = board.settings.retries
    limit = min(
        retries.backoff_limit_seconds, retries.backoff_base_seconds * 2 ** (attempt - 1)
    )
    return random.uniform(0.0, limit)
