"""Retries of failed calls at other upstreams, within a budget."""

from __future__ import annotations

from random import Random

from carawayhitch.board import Board
from carawayhitch.controllers._call_logs import retry_logged
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.controllers._placement import end_request, finished_message
from carawayhitch.core import actions, declarations, events, result_codes, rows

BUDGET_LIMIT = 20.0
LIVE_STATES = frozenset({"joining", "alive", "suspect"})
NOT_RUN_CODES = frozenset({result_codes.RETRY_CONNECT, result_codes.RETRY_REFUSED})
UPSTREAM_FAILURE_CODES = frozenset(
    {result_codes.RETRY_BEFORE_FIRST_TOKEN, result_codes.RETRY_CONTINUED}
)

decide = new_controller()


def _rate(board: Board) -> float:
    """Return the retries a second that a group earns here without any calls."""
    retries = board.settings.retries
    if not retries.fleet_limit:
        return retries.budget_minimum_per_second
    # Half of the limit of the fleet refills over its window and half is saved up, so
    # that no window of that length has more than the limit.
    return _own_part(board) / 2 / retries.fleet_window_seconds


def _limit(board: Board) -> float:
    """Return the most retries that a group can save up here."""
    if not board.settings.retries.fleet_limit:
        return BUDGET_LIMIT
    return max(1.0, _own_part(board) / 2)


def _own_part(board: Board) -> float:
    """Return this entry's part of the retries that the fleet may make.

    An entry that lost sight of others, or does not know them yet, still finds their
    registrations in the store; those others may retry as well.
    """
    present = sum(row.state in LIVE_STATES for row in board.members_by_id.values())
    registered = sum(
        key[0] == declarations.ENTRY_REGISTRATION and not row.deleted
        for key, row in board.objects_by_key.items()
    )
    return board.settings.retries.fleet_limit / max(1, present, registered)


def refill(
    budget: rows.BudgetRow, rate: float, limit: float, now: float
) -> rows.BudgetRow:
    """Return the budget with what it gained since it was last updated."""
    gained = (now - budget.updated_at) * rate
    return rows.BudgetRow(min(limit, budget.retries + gained), now)


def _budget(board: Board, group: str, now: float) -> rows.BudgetRow:
    limit = _limit(board)
    known = board.retry_budget_by_group.get(group, rows.BudgetRow(limit, now))
    return refill(known, _rate(board), limit, now)


@decide.register(events.RequestAdmitted)
def _earn(
    event: events.RequestAdmitted, board: Board, now: float, random: Random
) -> Actions:
    row = board.requests_by_id.get(event.request_id)
    if row is None or row.attempt > 1:
        return ()
    budget = _budget(board, row.group, now)
    share = board.settings.retries.budget_share
    earned = min(_limit(board), budget.retries + share)
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
    if _is_last_attempt(board, row) or now >= row.deadline:
        return _end(board, row, event)
    if budget.retries < 1.0:
        return (
            actions.Count(result_codes.RETRY_BUDGET_EMPTY, row.rank),
            retry_logged(row, result_codes.RETRY_BUDGET_EMPTY),
            *_end(board, row, event),
        )
    board.retry_budget_by_group[row.group] = budget._replace(
        retries=budget.retries - 1.0
    )
    finished = finished_message(board, row, False, event.code in UPSTREAM_FAILURE_CODES)
    # A refused or unopened connection never ran the request, so it is no evidence
    # against the request, but the scheduler stops placing work there for a while.
    finished = finished._replace(upstream_refused=event.code in NOT_RUN_CODES)
    again = row._replace(
        phase="asking",
        attempt=row.attempt + 1,
        excluded_upstream_ids=(*row.excluded_upstream_ids, row.upstream_id),
        upstream_id="",
        generation_id="",
        scheduler_id="",
        token_count=row.token_count if row.response_started else 0,
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


def _is_last_attempt(board: Board, row: rows.RequestRow) -> bool:
    """Return whether the call may be sent to no other upstream.

    On a route only those upstreams count on which it may have run.
    """
    if row.attempt_limit and row.run_count >= row.attempt_limit:
        return True
    return row.attempt >= board.settings.streams.attempt_limit


def _end(board: Board, row: rows.RequestRow, event: events.RetryRequested) -> Actions:
    """End a call without another attempt; an upstream's own answer is passed on."""
    answer = event.answer
    if answer is None:
        return end_request(row, event.final_code, retry_after=1.0)
    board.requests_by_id[row.request_id] = row._replace(answer_status=answer.status)
    return (
        actions.SendAnswer(
            row.request_id,
            answer.status,
            answer.content_type,
            answer.body,
            answer.headers,
        ),
        actions.Emit(events.RequestEnded(row.request_id, True, None)),
    )


def backoff_seconds(board: Board, attempt: int, random: Random) -> float:
    """Return a random wait that doubles its range with each attempt."""
    retries = board.settings.retries
    limit = min(
        retries.backoff_limit_seconds, retries.backoff_base_seconds * 2 ** (attempt - 1)
    )
    return random.uniform(0.0, limit)
