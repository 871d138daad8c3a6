"""Passive health checks: upstreams that fail more than their siblings are ejected.

A failing upstream answers fast and appears idle, and its own health check may succeed.
Entries exchange the failures that they observe, because each of them observes too few.
"""

from __future__ import annotations

import math
from functools import singledispatch
from random import Random
from typing import Any

from carawayhitch.board import Board
from carawayhitch.controllers._cells import send_observation
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.controllers._moves import is_stopping_for_move
from carawayhitch.core import actions, events, messages, rows

# Responses with this status or a higher one count as failures of the upstream.
FAILURE_STATUS = 500
# Time constant with which recent failures decay: shorter than the faults to be handled
# (4 to 7 s), and long enough for entries that make one call per second.
FAILURE_DECAY_SECONDS = 1.5
# An upstream is ejected when its recent failures reach this minimum plus this multiple
# of the mean of its siblings. Three failures within a fifth of a second reach the
# minimum. Siblings fail equally often if the calls themselves are faulty.
EJECTION_FAILURE_MINIMUM = 2.8
EJECTION_SIBLING_FACTOR = 3.0
# Duration of the first ejection; each one that directly follows lasts twice as long.
EJECTION_SECONDS = 2.0
EJECTION_MAXIMUM_SECONDS = 8.0
# For this time after an ejection, one failure more than the mean of the siblings is
# enough to eject the upstream again.
TRIAL_SECONDS = 2.0
# The first failure is reported immediately; further reports are sent at most once per
# interval.
FAILURE_REPORT_INTERVAL_SECONDS = 0.1
FAILURE_REPORT_TIMER = "failures"

decide = new_controller()


def is_ejected(board: Board, upstream_id: str, now: float) -> bool:
    """Return whether an upstream is ejected and receives no work."""
    health = board.health_by_upstream_id.get(upstream_id)
    return health is not None and now < health.ejected_until


def _decayed_failures(health: rows.HealthRow, now: float) -> float:
    """Return the number of recent failures, decayed to the current time."""
    return health.failures * math.exp((health.updated_at - now) / FAILURE_DECAY_SECONDS)


def _recent_failures(board: Board, upstream_id: str, now: float) -> float:
    health = board.health_by_upstream_id.get(upstream_id)
    return _decayed_failures(health, now) if health is not None else 0.0


def _siblings(board: Board, upstream_id: str) -> list[str]:
    return [
        other
        for cell in board.cells_by_id.values()
        if upstream_id in cell.upstream_ids
        for other in cell.upstream_ids
        if other != upstream_id
    ]


def add_upstream_failures(
    board: Board, upstream_id: str, count: int, now: float
) -> Actions:
    """Add failures to an upstream, and eject it if they exceed the limit."""
    upstream = board.upstreams_by_id.get(upstream_id)
    if upstream is None or upstream.leaving:
        board.health_by_upstream_id.pop(upstream_id, None)
        return ()
    health = board.health_by_upstream_id.get(upstream_id, rows.HealthRow(upstream_id))
    failures = _decayed_failures(health, now) + count
    health = health._replace(failures=failures, updated_at=now)
    board.health_by_upstream_id[upstream_id] = health
    siblings = _siblings(board, upstream_id)
    if not siblings or now < health.ejected_until:
        return ()
    sibling_mean = sum(_recent_failures(board, other, now) for other in siblings) / len(
        siblings
    )
    on_trial = health.ejected_until and now < health.ejected_until + TRIAL_SECONDS
    limit = EJECTION_FAILURE_MINIMUM + EJECTION_SIBLING_FACTOR * sibling_mean
    if on_trial:
        limit = 1.0 + sibling_mean
    if failures < limit:
        return ()
    seconds = EJECTION_SECONDS
    if on_trial:
        seconds = min(EJECTION_MAXIMUM_SECONDS, 2 * health.ejection_seconds)
    board.health_by_upstream_id[upstream_id] = health._replace(
        failures=0.0, ejected_until=now + seconds, ejection_seconds=seconds
    )
    fields = {
        "upstream": upstream_id,
        "address": upstream.address,
        "reason": "fails more than others",
        "failures": round(failures, 2),
        "usual": round(sibling_mean, 2),
        "seconds": seconds,
    }
    return (actions.Log("warning", "upstream avoided", fields),)


def _record_own_failure(board: Board, row: rows.RequestRow, now: float) -> Actions:
    """Record a failure that this entry observed, and schedule its report to others."""
    log_actions = add_upstream_failures(board, row.upstream_id, 1, now)
    if row.upstream_id not in board.health_by_upstream_id:
        return log_actions
    unreported = board.unreported_failures_by_upstream_id
    needs_timer = not unreported
    unreported[row.upstream_id] = unreported.get(row.upstream_id, 0) + 1
    if not needs_timer:
        return log_actions
    reported_at = board.failures_reported_at_by_node_id.get(board.node_id, 0.0)
    report_at = max(now, reported_at + FAILURE_REPORT_INTERVAL_SECONDS)
    return (
        *log_actions,
        actions.SetTimer(report_at, events.TimerFired(FAILURE_REPORT_TIMER)),
    )


@decide.register(events.TimerFired)
def _send_failure_report(
    event: events.TimerFired, board: Board, now: float, random: Random
) -> Actions:
    if (
        event.name != FAILURE_REPORT_TIMER
        or not board.unreported_failures_by_upstream_id
    ):
        return ()
    failures = tuple(
        messages.UpstreamFailures(upstream_id, count)
        for upstream_id, count in board.unreported_failures_by_upstream_id.items()
    )
    board.unreported_failures_by_upstream_id.clear()
    board.failures_reported_at_by_node_id[board.node_id] = now
    message = messages.FailuresSeen(board.node_id, failures)
    return send_observation(board, message, random)


@decide.register(messages.FailuresSeen)
def _apply_reported_failures(
    event: messages.FailuresSeen, board: Board, now: float, random: Random
) -> Actions:
    decided: list[actions.Action] = []
    for seen in event.failures:
        decided += add_upstream_failures(
            board, seen.upstream_id, seen.failure_count, now
        )
    return decided


@decide.register(events.AnswerReceived)
@decide.register(events.UpstreamCallFailed)
def _record_failed_call(
    event: events.AnswerReceived | events.UpstreamCallFailed,
    board: Board,
    now: float,
    random: Random,
) -> Actions:
    row = board.requests_by_id.get(event.request_id)
    if row is None or row.attempt != event.attempt or not is_failure(event):
        return ()
    if row.resume_count or is_stopping_for_move(board, row):
        # Failed resumes of a call are not counted again, and the stream of a
        # generation that moves to another engine is ended on purpose.
        return ()
    return _record_own_failure(board, row, now)


@singledispatch
def is_failure(event: Any) -> bool:
    """Return whether the outcome of a call counts as a failure of its upstream."""
    raise TypeError(f"unsupported outcome of a call: {event!r}")


@is_failure.register
def _is_failed_answer(event: events.AnswerReceived) -> bool:
    return event.status >= FAILURE_STATUS


@is_failure.register
def _is_failed_call(event: events.UpstreamCallFailed) -> bool:
    # Refused calls and failed connections indicate load, not a faulty upstream.
    return event.sent and event.kind != "refused"


@decide.register(events.AnswerOverdue)
def _record_overdue_answer(
    event: events.AnswerOverdue, board: Board, now: float, random: Random
) -> Actions:
    row = board.requests_by_id.get(event.request_id)
    if row is None or row.phase != "opening" or row.response_started:
        return ()
    return _record_own_failure(board, row, now)


@decide.register(events.UpstreamsChanged)
def _delete_health_of_removed_upstreams(
    event: events.UpstreamsChanged, board: Board, now: float, random: Random
) -> Actions:
    for upstream_id in board.health_by_upstream_id.keys() - board.upstreams_by_id:
        del board.health_by_upstream_id[upstream_id]
    return ()
