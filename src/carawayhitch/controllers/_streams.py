"""Calls to upstreams: relay and resume of streams, sequence checks, whole answers."""

from __future__ import annotations

from random import Random

from carawayhitch.board import Board
from carawayhitch.controllers._call_logs import (
    build_failure_log,
    build_retry_log,
    build_stage_observation,
)
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.controllers._drain_waits import WAITING_PHASES
from carawayhitch.controllers._health import FAILURE_STATUS
from carawayhitch.controllers._lengths import tokens_per_event
from carawayhitch.controllers._moves import is_stopping_for_move, open_upstream
from carawayhitch.controllers._placement import (
    end_request,
    send_upstream_answer,
)
from carawayhitch.controllers._retries import may_retry
from carawayhitch.controllers._targets import (
    caller_patience,
    can_continue,
    can_retry_error_answer,
    final_code,
    first_byte_timeout,
    has_silence_timeout,
    is_streamed,
    needs_claim,
    returns_generation_id,
)
from carawayhitch.core import actions, events, result_codes, rows

# Resumes without progress follow after 0, 0.1, 0.2, 0.4 and 0.8 s: long enough for a
# link to recover, short enough to report a dead engine to the caller in time.
RESUME_LIMIT = 5
RESUME_DELAY_BASE_SECONDS = 0.1
RESUME_CODES = {
    "stalled": result_codes.RESUME_STALLED,
    "link_lost": result_codes.RESUME_LINK_LOST,
    "truncated": result_codes.RESUME_LINK_LOST,
    "connect": result_codes.RESUME_LINK_LOST,
}
# Final code for each kind of failure after the request was sent.
CODES_AFTER_SENDING = {
    "truncated": result_codes.ANSWER_TRUNCATED,
    "foreign": result_codes.ANSWER_FOREIGN,
    "stalled": result_codes.STALLED,
    "oversized": result_codes.ANSWER_TOO_LARGE,
}
# A running engine returns the id of a new generation within this time, so the
# connection stays open that long in order to cancel the generation by its id.
CANCEL_LINGER_SECONDS = 5.0

decide = new_controller()


def _request_of_attempt(
    board: Board, request_id: str, attempt: int
) -> rows.RequestRow | None:
    row = board.requests_by_id.get(request_id)
    if row is None or row.attempt != attempt:
        return None
    return row


@decide.register(events.ClaimGranted)
def _open_granted_upstream(
    event: events.ClaimGranted, board: Board, now: float, random: Random
) -> Actions:
    row = board.requests_by_id.get(event.request_id)
    if row is None or row.phase != "claiming":
        return ()
    row = row._replace(
        phase="opening", last_chunk_at=now, opened_at=row.opened_at or now
    )
    board.requests_by_id[row.request_id] = row
    deadline = now + _silence_limit(board, row, now)
    return (
        open_upstream(row, upstream_deadline(row)),
        actions.SetTimer(deadline, events.StallCheck(row.request_id, row.attempt)),
    )


def upstream_deadline(row: rows.RequestRow) -> float:
    """Return the time until which an upstream may work on a call, or 0 for no limit.

    The time-out of a route does not apply after the first event of a stream, so
    streams get the caller's deadline.
    """
    if is_streamed(row.target):
        return row.caller_deadline
    return row.answer_deadline


@decide.register(events.ResumeAdmitted)
def _resume_admitted_stream(
    event: events.ResumeAdmitted, board: Board, now: float, random: Random
) -> Actions:
    row = board.requests_by_id.get(event.request_id)
    if row is None:
        return ()
    row = row._replace(last_chunk_at=now)
    board.requests_by_id[row.request_id] = row
    check = events.StallCheck(row.request_id, row.attempt)
    deadline = now + _silence_limit(board, row, now)
    return (_resume_action(row), actions.SetTimer(deadline, check))


def _resume_action(row: rows.RequestRow) -> actions.ResumeUpstream:
    return actions.ResumeUpstream(
        request_id=row.request_id,
        attempt=row.attempt,
        address=row.address,
        generation_id=row.generation_id,
        last_sequence=row.last_sequence,
    )


@decide.register(events.UpstreamOpened)
def _record_generation(
    event: events.UpstreamOpened, board: Board, now: float, random: Random
) -> Actions:
    row = _request_of_attempt(board, event.request_id, event.attempt)
    if row is None:
        # The call ended before the engine returned the generation id.
        return (actions.CancelGeneration(event.address, event.generation_id),)
    if row.generation_id and event.generation_id != row.generation_id:
        return _abandon_attempt(board, row, "foreign", sent=True)
    board.requests_by_id[row.request_id] = row._replace(
        phase="relaying",
        generation_id=event.generation_id,
        answer_headers=row.answer_headers or event.headers,
    )
    return ()


@decide.register(events.ChunkReceived)
def _forward_chunk(
    event: events.ChunkReceived, board: Board, now: float, random: Random
) -> Actions:
    row = _request_of_attempt(board, event.request_id, event.attempt)
    if row is None:
        return ()
    if event.first_sequence != row.last_sequence + 1:
        return _resume_upstream(board, row, result_codes.RESUME_LINK_LOST, now)
    board.requests_by_id[row.request_id] = row._replace(
        phase="relaying",
        last_sequence=event.last_sequence,
        token_count=(event.last_sequence - event.is_final)
        * tokens_per_event(board, row.group),
        first_token_at=row.first_token_at or now,
        last_chunk_at=now,
        resume_count=0,
        response_started=True,
    )
    forwarded = actions.ForwardChunk(row.request_id, event.data)
    if row.response_started:
        return (forwarded,)
    # The response headers contain the generation id, so they are sent with the first
    # token: until then a retry may replace the generation.
    # The check of the first event comes too late for a stall after it.
    check = events.StallCheck(row.request_id, row.attempt)
    silence_limit = _silence_limit(board, board.requests_by_id[row.request_id], now)
    return (
        _start_stream(row),
        forwarded,
        actions.SetTimer(now + silence_limit, check),
        build_stage_observation(row, "first", now),
        actions.Emit(events.StreamStarted(row.request_id)),
    )


def _start_stream(row: rows.RequestRow) -> actions.StartStream:
    return actions.StartStream(
        request_id=row.request_id,
        upstream_id=row.upstream_id,
        address=row.address,
        generation_id=row.generation_id,
        account=row.account,
        group=row.group,
        content_type="text/event-stream",
        headers=row.answer_headers,
    )


@decide.register(events.CallerPaused)
def _mark_caller_paused(
    event: events.CallerPaused, board: Board, now: float, random: Random
) -> Actions:
    row = board.requests_by_id.get(event.request_id)
    if row is not None:
        board.requests_by_id[row.request_id] = row._replace(paused_at=now)
    return ()


@decide.register(events.CallerResumed)
def _mark_caller_resumed(
    event: events.CallerResumed, board: Board, now: float, random: Random
) -> Actions:
    row = board.requests_by_id.get(event.request_id)
    if row is not None:
        board.requests_by_id[row.request_id] = row._replace(
            paused_at=0.0, last_chunk_at=now
        )
    return ()


@decide.register(events.StreamEnded)
def _finish_stream(
    event: events.StreamEnded, board: Board, now: float, random: Random
) -> Actions:
    row = _request_of_attempt(board, event.request_id, event.attempt)
    if row is None:
        return ()
    if not event.is_delimited and is_stopping_for_move(board, row):
        # The source also closes the connection when it stops a generation. The result
        # of the final copy shows whether the generation had ended before.
        return ()
    if not event.is_delimited and not row.last_sequence:
        # A generation has at least one event, so its engine broke off before it.
        detail = "connection closed before the first event"
        failure = events.UpstreamCallFailed(
            row.request_id, row.attempt, "truncated", True, detail
        )
        return (actions.Emit(failure),)
    # A stream without events is complete as well, and the caller needs its headers.
    started = () if row.response_started else (_start_stream(row),)
    return (
        *started,
        actions.FinishStream(row.request_id),
        actions.Emit(events.RequestEnded(row.request_id, True, None)),
    )


@decide.register(events.AnswerReceived)
def _forward_or_retry_answer(
    event: events.AnswerReceived, board: Board, now: float, random: Random
) -> Actions:
    row = _request_of_attempt(board, event.request_id, event.attempt)
    if row is None:
        return ()
    if row.response_started:
        # The caller has a part of a stream, which no other kind of answer continues.
        return _abandon_attempt(board, row, "foreign", sent=True)
    if event.status >= FAILURE_STATUS and can_retry_error_answer(row.target):
        row = row._replace(may_have_run=True, run_count=row.run_count + 1)
        board.requests_by_id[row.request_id] = row
        code = result_codes.RETRY_FAILED_ANSWER
        failed = result_codes.UPSTREAM_FAILED
        retry = events.RetryRequested(row.request_id, code, failed, event)
        return (_close_upstream(row), actions.Emit(retry))
    row = row._replace(token_count=event.token_count)
    return (
        build_stage_observation(row, "first", now),
        *send_upstream_answer(board, row, event),
    )


def _silence_limit(board: Board, row: rows.RequestRow, now: float) -> float:
    """Return the limit on the silence of an upstream at this point, in seconds.

    Silence means no complete event; other bytes do not count. If the stream could not
    go on elsewhere, the limit is the caller's patience, because a sound generation can
    pause for seconds.
    """
    if not row.last_sequence:
        return first_byte_timeout(row.target, board.settings)
    stall_timeout = board.settings.streams.stall_timeout_seconds
    if can_continue(row.target) and may_retry(board, row, now):
        return stall_timeout
    return max(stall_timeout, caller_patience(row.target))


@decide.register(events.AnswerOverdue)
def _end_overdue_call(
    event: events.AnswerOverdue, board: Board, now: float, random: Random
) -> Actions:
    """End a call with an error when the deadline of its route or caller has passed."""
    row = board.requests_by_id.get(event.request_id)
    if row is None or row.response_started:
        return ()
    if row.phase in WAITING_PHASES and not row.may_have_run:
        return end_request(row, result_codes.WAIT_EXPIRED, retry_after=1.0)
    return (_close_upstream(row), *end_request(row, result_codes.STALLED))


@decide.register(events.StallCheck)
def _check_stall(
    event: events.StallCheck, board: Board, now: float, random: Random
) -> Actions:
    row = _request_of_attempt(board, event.request_id, event.attempt)
    if row is None or row.phase not in ("opening", "relaying"):
        return ()
    if not has_silence_timeout(row.target):
        return ()
    limit = _silence_limit(board, row, now)
    if row.paused_at:
        # The entry stops reading from the upstream while the caller is slow, so silence
        # does not indicate a lost link. The pause is limited, because the engine holds
        # memory for the generation.
        pause_limit = board.settings.streams.resume_lifetime_seconds
        if now - row.paused_at >= pause_limit:
            return (_close_upstream(row), *end_request(row, result_codes.CALLER_GONE))
        return (actions.SetTimer(now + min(limit, pause_limit), event),)
    if now < row.last_chunk_at + limit:
        return (actions.SetTimer(row.last_chunk_at + limit, event),)
    if not row.last_sequence:
        return _abandon_attempt(board, row, "stalled", sent=True)
    resume_actions = _resume_upstream(board, row, result_codes.RESUME_STALLED, now)
    return (*resume_actions, actions.SetTimer(now + limit, event))


def _resume_upstream(
    board: Board, row: rows.RequestRow, code: result_codes.ResultCode, now: float
) -> Actions:
    if row.resume_count >= RESUME_LIMIT or not row.generation_id:
        return _abandon_attempt(board, row, "link_lost", sent=True)
    row = row._replace(resume_count=row.resume_count + 1, last_chunk_at=now)
    board.requests_by_id[row.request_id] = row
    closed = (
        actions.Count(code, row.rank),
        build_retry_log(row, code),
        actions.CloseUpstream(row.request_id, cancel_generation=False),
    )
    if row.resume_count == 1:
        return (*closed, _resume_action(row))
    due = events.ResumeDue(row.request_id, row.attempt, row.resume_count)
    delay = RESUME_DELAY_BASE_SECONDS * 2 ** (row.resume_count - 2)
    return (*closed, actions.SetTimer(now + delay, due))


@decide.register(events.ResumeDue)
def _resume_after_delay(
    event: events.ResumeDue, board: Board, now: float, random: Random
) -> Actions:
    row = _request_of_attempt(board, event.request_id, event.attempt)
    if row is None or row.resume_count != event.resume_count:
        return ()
    return (_resume_action(row),)


@decide.register(events.UpstreamCallFailed)
def _resume_or_abandon_attempt(
    event: events.UpstreamCallFailed, board: Board, now: float, random: Random
) -> Actions:
    row = _request_of_attempt(board, event.request_id, event.attempt)
    if row is None or is_stopping_for_move(board, row):
        # The source ends the stream of a moved generation before the target continues
        # it.
        return ()
    log = build_failure_log(row, event, now)
    if _may_resume(row, event.kind):
        return (log, *_resume_upstream(board, row, RESUME_CODES[event.kind], now))
    return (log, *_abandon_attempt(board, row, event.kind, event.sent))


def _close_upstream(row: rows.RequestRow) -> actions.CloseUpstream:
    without_id = row.phase == "opening" and not row.generation_id
    linger = (
        CANCEL_LINGER_SECONDS
        if without_id and returns_generation_id(row.target)
        else 0.0
    )
    return actions.CloseUpstream(row.request_id, True, linger)


def _may_resume(row: rows.RequestRow, kind: events.FailureKind) -> bool:
    if not row.generation_id or kind not in RESUME_CODES:
        return False
    # Before the first token, a retry at another engine is faster than a second resume.
    can_restart = not row.last_sequence and final_code(row.target, True) is None
    return not (can_restart and row.resume_count)


def _abandon_attempt(
    board: Board, row: rows.RequestRow, kind: events.FailureKind, sent: bool
) -> Actions:
    """Return the actions that end an attempt and request a retry if one is allowed."""
    row = row._replace(
        may_have_run=row.may_have_run or sent, run_count=row.run_count + sent
    )
    board.requests_by_id[row.request_id] = row
    closed = _close_upstream(row)
    code = final_code(row.target, sent)
    if row.response_started:
        code = None if can_continue(row.target) else result_codes.STREAM_LOST
    elif code is result_codes.UPSTREAM_FAILED and sent:
        code = CODES_AFTER_SENDING.get(kind, code)
    if code is None and row.caller_gone:
        code = result_codes.CALLER_GONE
    if code is not None:
        return (closed, *end_request(row, code))
    retry_code, last_code = _retry_codes(kind, sent)
    if row.response_started:
        retry_code, last_code = result_codes.RETRY_CONTINUED, result_codes.STREAM_LOST
    retry = events.RetryRequested(row.request_id, retry_code, last_code)
    return (closed, actions.Emit(retry))


def _retry_codes(
    kind: events.FailureKind, sent: bool
) -> tuple[result_codes.ResultCode, result_codes.ResultCode]:
    """Return the code of a retry and the code that ends the call without one."""
    if kind == "refused":
        return result_codes.RETRY_REFUSED, result_codes.UPSTREAM_REFUSED
    if not sent:
        return result_codes.RETRY_CONNECT, result_codes.NO_UPSTREAM
    last_code = CODES_AFTER_SENDING.get(kind, result_codes.UPSTREAM_FAILED)
    return result_codes.RETRY_BEFORE_FIRST_TOKEN, last_code


@decide.register(events.CallerGone)
def _cancel_abandoned_call(
    event: events.CallerGone, board: Board, now: float, random: Random
) -> Actions:
    row = board.requests_by_id.get(event.request_id)
    if row is None:
        return ()
    if row.phase == "opening" and needs_claim(row.target):
        # The call runs once in any case, so it is not cancelled; its answer is stored
        # for a duplicate of the request.
        board.requests_by_id[row.request_id] = row._replace(caller_gone=True)
        return ()
    ended = events.RequestEnded(row.request_id, False, result_codes.CALLER_GONE)
    return (
        _close_upstream(row),
        actions.Emit(ended),
    )
