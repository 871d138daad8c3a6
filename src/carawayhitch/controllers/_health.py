"""Health of upstreams by their results: those that fail more than others are ejected.

A failing upstream answers fast and looks idle, and its own health check may say that it
is well. Entries report failures to each other, because each of them sees too few.
"""

from __future__ import annotations

import math
from functools import singledispatch
from random import Random
from typing import Any

from carawayhitch.board import Board
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.controllers._moves import is_stopping_for_move
from carawayhitch.core import actions, events, messages, rows

# Answers with this status or a higher one say that the upstream failed.
FAILURE_STATUS = 500
# Failures fade with this time constant: shorter than the faults of the users' sheets
# (4 to 7 s), long enough for entries that see a call a second.
FADE_SECONDS = 1.5
# An upstream is ejected when its recent failures exceed this many, which three in a
# fifth of a second do, and this multiple of the mean of its siblings, which fail as
# often if the calls are to blame.
FAILURE_MINIMUM = 2.8
SIBLING_FACTOR = 3.0
# The first ejection; each further one that begins at once lasts twice as long.
EJECTION_SECONDS = 2.0
LONGEST_EJECTION_SECONDS = 8.0
# After an ejection one failure beyond the mean of the siblings is enough for the next
# one, unless this time has passed.
TRIAL_SECONDS = 2.0
# Failures are reported at once, then at most this often, to at most so many entries.
REPORT_SECONDS = 0.1
REPORT_COUNT = 128
REPORT_TIMER = "failures"
# States of entries that choose upstreams.
CHOOSING_STATES = frozenset({"alive", "suspect", "leaving"})

decide = new_controller()


def is_ejected(board: Board, upstream_id: str, now: float) -> bool:
    """Return whether an upstream gets no work because it fails more than others."""
    known = board.health_by_upstream_id.get(upstream_id)
    return known is not None and now < known.ejected_until


def _faded(known: rows.HealthRow, now: float) -> float:
    """Return the recent failures as of now."""
    return known.failures * math.exp((known.updated_at - now) / FADE_SECONDS)


def _failures(board: Board, upstream_id: str, now: float) -> float:
    known = board.health_by_upstream_id.get(upstream_id)
    return _faded(known, now) if known is not None else 0.0


def _siblings(board: Board, upstream_id: str) -> list[str]:
    return [
        other
        for cell in board.cells_by_id.values()
        if upstream_id in cell.upstream_ids
        for other in cell.upstream_ids
        if other != upstream_id
    ]


def note_failures(board: Board, upstream_id: str, count: int, now: float) -> Actions:
    """Add failures of an upstream, and eject it if they are too many."""
    upstream = board.upstreams_by_id.get(upstream_id)
    if upstream is None or upstream.leaving:
        board.health_by_upstream_id.pop(upstream_id, None)
        return ()
    known = board.health_by_upstream_id.get(upstream_id, rows.HealthRow(upstream_id))
    failures = _faded(known, now) + count
    known = known._replace(failures=failures, updated_at=now)
    board.health_by_upstream_id[upstream_id] = known
    siblings = _siblings(board, upstream_id)
    if not siblings or now < known.ejected_until:
        return ()
    usual = sum(_failures(board, other, now) for other in siblings) / len(siblings)
    on_trial = known.ejected_until and now < known.ejected_until + TRIAL_SECONDS
    limit = FAILURE_MINIMUM + SIBLING_FACTOR * usual
    if on_trial:
        limit = 1.0 + usual
    if failures < limit:
        return ()
    seconds = EJECTION_SECONDS
    if on_trial:
        seconds = min(LONGEST_EJECTION_SECONDS, 2 * known.ejection_seconds)
    board.health_by_upstream_id[upstream_id] = known._replace(
        failures=0.0, ejected_until=now + seconds, ejection_seconds=seconds
    )
    fields = {
        "upstream": upstream_id,
        "address": upstream.address,
        "reason": "fails more than others",
        "failures": round(failures, 2),
        "usual": round(usual, 2),
        "seconds": seconds,
    }
    return (actions.Log("warning", "upstream avoided", fields),)


def _note_own(board: Board, row: rows.RequestRow, now: float) -> Actions:
    """Note a failure that this entry saw, and report it to the others."""
    noted = note_failures(board, row.upstream_id, 1, now)
    if row.upstream_id not in board.health_by_upstream_id:
        return noted
    unreported = board.unreported_failures_by_upstream_id
    due = not unreported
    unreported[row.upstream_id] = unreported.get(row.upstream_id, 0) + 1
    if not due:
        return noted
    reported_at = board.failures_reported_at_by_node_id.get(board.node_id, 0.0)
    at = max(now, reported_at + REPORT_SECONDS)
    return (*noted, actions.SetTimer(at, events.TimerFired(REPORT_TIMER)))


@decide.register(events.TimerFired)
def _report(
    event: events.TimerFired, board: Board, now: float, random: Random
) -> Actions:
    if event.name != REPORT_TIMER or not board.unreported_failures_by_upstream_id:
        return ()
    failures = tuple(
        messages.UpstreamFailures(upstream_id, count)
        for upstream_id, count in board.unreported_failures_by_upstream_id.items()
    )
    board.unreported_failures_by_upstream_id.clear()
    board.failures_reported_at_by_node_id[board.node_id] = now
    message = messages.FailuresSeen(board.node_id, failures)
    others = [
        member.node_id
        for member in board.members_by_id.values()
        if member.state in CHOOSING_STATES and member.node_id != board.node_id
    ]
    receivers = random.sample(others, min(REPORT_COUNT, len(others)))
    return tuple(actions.Send(node_id, message) for node_id in receivers)


@decide.register(messages.FailuresSeen)
def _take(
    event: messages.FailuresSeen, board: Board, now: float, random: Random
) -> Actions:
    decided: list[actions.Action] = []
    for seen in event.failures:
        decided += note_failures(board, seen.upstream_id, seen.failure_count, now)
    return decided


@decide.register(events.AnswerReceived)
@decide.register(events.UpstreamCallFailed)
def _judge(
    event: events.AnswerReceived | events.UpstreamCallFailed,
    board: Board,
    now: float,
    random: Random,
) -> Actions:
    row = board.requests_by_id.get(event.request_id)
    if row is None or row.attempt != event.attempt or not is_failure(event):
        return ()
    if row.resume_count or is_stopping_for_move(board, row):
        # Resumes of one call are one failure, and the stream of a generation that
        # moves ends as ordered.
        return ()
    return _note_own(board, row, now)


@singledispatch
def is_failure(event: Any) -> bool:
    """Return whether the end of a call speaks against its upstream."""
    raise TypeError(f"unknown end of a call {event!r}")


@is_failure.register
def _failed_answer(event: events.AnswerReceived) -> bool:
    return event.status >= FAILURE_STATUS


@is_failure.register
def _failed_call(event: events.UpstreamCallFailed) -> bool:
    # What an upstream refuses or cannot be reached for is a matter of its load.
    return event.sent and event.kind != "refused"


@decide.register(events.AnswerOverdue)
def _judge_silence(
    event: events.AnswerOverdue, board: Board, now: float, random: Random
) -> Actions:
    row = board.requests_by_id.get(event.request_id)
    if row is None or row.phase != "opening" or row.response_started:
        return ()
    return _note_own(board, row, now)


@decide.register(events.UpstreamsChanged)
def _forget(
    event: events.UpstreamsChanged, board: Board, now: float, random: Random
) -> Actions:
    for upstream_id in board.health_by_upstream_id.keys() - board.upstreams_by_id:
        del board.health_by_upstream_id[upstream_id]
    return ()
