"""Waits of requests during a drain, which end while an answer can still be sent.

A stopping entry keeps a request waiting for an upstream only as long as its answer is
likely to be complete before the process exits. Other entries can serve it, so it is
refused as not run instead.
"""

from __future__ import annotations

from random import Random

from carawayhitch.board import Board
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.core import actions, events, rows

# Timer of the end of a drain, at which everything that is still open is answered.
DRAIN_LIMIT_TIMER = "drain_limit"
# Requests in these phases have no upstream; nothing of them has been sent since their
# last attempt.
WAITING_PHASES = frozenset({"asking"})
DRAINING_STATES = frozenset({"draining", "refusing"})
# Weights of a new answer time in the smoothed mean and deviation, and the number of
# deviations above the mean, as in the retransmission timer of TCP (RFC 6298).
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATION_COUNT = 4.0
# Time in which the last answers reach their callers.
LAST_ANSWERS_SECONDS = 0.2
# Another entry can take the request at once: the fleet need not be overloaded.
DRAIN_RETRY_AFTER_SECONDS = 0.1

decide = new_controller()


def wait_deadline(board: Board, row: rows.RequestRow) -> float:
    """Return the time until which a request may wait for an upstream.

    Parameters
    ----------
    row : RequestRow
        A request without an upstream, waiting for its first or a further attempt.

    Returns
    -------
    float
        Seconds of the node clock; during a drain, at most the latest time from which
        the answer is expected to be complete before the process exits.
    """
    if board.lifecycle.state not in DRAINING_STATES:
        return row.deadline
    # The rest of a stream that has begun takes an unknown part of the usual time.
    seconds = 0.0 if row.response_started else _expected_seconds(board, row.binding)
    reserved = max(seconds, LAST_ANSWERS_SECONDS)
    return min(row.deadline, board.lifecycle.deadline - reserved)


def _expected_seconds(board: Board, binding: str) -> float:
    """Return the time in which nearly all answers of a binding end; 0 if unknown."""
    times = board.answer_times_by_binding.get(binding)
    if times is None:
        return 0.0
    return times.mean_seconds + DEVIATION_COUNT * times.deviation_seconds


@decide.register(events.RequestEnded)
def _record_answer_time(
    event: events.RequestEnded, board: Board, now: float, random: Random
) -> Actions:
    row = board.requests_by_id.get(event.request_id)
    if row is None or not event.complete or not row.opened_at:
        return ()
    seconds = now - row.opened_at
    times = board.answer_times_by_binding.get(row.binding)
    if times is None:
        updated = rows.AnswerTimesRow(seconds, seconds / 2)
    else:
        error = seconds - times.mean_seconds
        updated = rows.AnswerTimesRow(
            times.mean_seconds + MEAN_WEIGHT * error,
            times.deviation_seconds
            + DEVIATION_WEIGHT * (abs(error) - times.deviation_seconds),
        )
    board.answer_times_by_binding[row.binding] = updated
    return ()


@decide.register(events.LifecycleChanged)
def _limit_waits(
    event: events.LifecycleChanged, board: Board, now: float, random: Random
) -> Actions:
    """Set the end of the waits of all requests when a drain begins."""
    return [
        timer
        for row in board.requests_by_id.values()
        if row.phase in WAITING_PHASES
        for timer in _wait_timers(board, row)
    ]


@decide.register(events.RequestAdmitted)
def _limit_wait(
    event: events.RequestAdmitted, board: Board, now: float, random: Random
) -> Actions:
    row = board.requests_by_id.get(event.request_id)
    return _wait_timers(board, row) if row is not None else ()


def _wait_timers(board: Board, row: rows.RequestRow) -> Actions:
    """Return the timer that ends a wait before the request's own deadline, if any."""
    deadline = wait_deadline(board, row)
    if deadline >= row.deadline:
        return ()
    return (actions.SetTimer(deadline, events.WaitExpired(row.request_id)),)
