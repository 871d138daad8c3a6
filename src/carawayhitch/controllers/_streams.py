"""Calls to upstreams: relay of streams, sequence checks, resume, whole answers."""

from __future__ import annotations

from random import Random

from carawayhitch.board import Board
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.controllers._placement import end_request
from carawayhitch.controllers._targets import is_idempotent, may_move
from carawayhitch.core import actions, events, result_codes, rows

RESUME_LIMIT = 5
RESUME_CODES = {
    "stalled": result_codes.RESUME_STALLED,
    "link_lost": result_codes.RESUME_LINK_LOST,
    "truncated": result_codes.RESUME_LINK_LOST,
    "connect": result_codes.RESUME_LINK_LOST,
}

decide = new_controller()


def _row(board: Board, request_id: str, attempt: int) -> rows.RequestRow | None:
    row = board.requests_by_id.get(request_id)
    if row is None or row.attempt != attempt:
        return None
    return row


@decide.register(events.ClaimGranted)
def _open(
    event: events.ClaimGranted, board: Board, now: float, random: Random
) -> Actions:
    row = board.requests_by_id.get(event.request_id)
    if row is None or row.phase != "claiming":
        return ()
    board.requests_by_id[row.request_id] = row._replace(phase="opening")
    return (
        actions.OpenUpstream(
            request_id=row.request_id,
            attempt=row.attempt,
            upstream_id=row.upstream_id,
            address=row.address,
            priority=row.priority,
            fresh_connection=not is_idempotent(row.target),
        ),
    )


@decide.register(events.UpstreamOpened)
def _start(
    event: events.UpstreamOpened, board: Board, now: float, random: Random
) -> Actions:
    row = _row(board, event.request_id, event.attempt)
    if row is None:
        return (actions.CloseUpstream(event.request_id, cancel_generation=True),)
    if row.generation_id and event.generation_id != row.generation_id:
        return (
            actions.CloseUpstream(row.request_id, cancel_generation=True),
            *end_request(row, result_codes.STREAM_LOST),
        )
    board.requests_by_id[row.request_id] = row._replace(
        phase="relaying",
        generation_id=event.generation_id,
        last_chunk_at=now,
        response_started=True,
    )
    check = events.StallCheck(row.request_id, row.attempt)
    deadline = now + board.settings.streams.stall_timeout_seconds
    timer = actions.SetTimer(deadline, check)
    if row.response_started:
        return ()
    started = actions.StartStream(
        request_id=row.request_id,
        upstream_id=row.upstream_id,
        address=row.address,
        generation_id=event.generation_id,
        account=row.account,
        group=row.group,
        content_type=event.content_type,
    )
    return (started, timer)


@decide.register(events.ChunkReceived)
def _relay(
    event: events.ChunkReceived, board: Board, now: float, random: Random
) -> Actions:
    row = _row(board, event.request_id, event.attempt)
    if row is None:
        return ()
    if event.first_sequence != row.last_sequence + 1:
        return _resume(board, row, result_codes.RESUME_LINK_LOST, now)
    board.requests_by_id[row.request_id] = row._replace(
        last_sequence=event.last_sequence,
        token_count=event.last_sequence,
        first_token_at=row.first_token_at or now,
        last_chunk_at=now,
    )
    return (actions.ForwardChunk(row.request_id, event.data),)


@decide.register(events.StreamEnded)
def _finish(
    event: events.StreamEnded, board: Board, now: float, random: Random
) -> Actions:
    row = _row(board, event.request_id, event.attempt)
    if row is None:
        return ()
    return (
        actions.FinishStream(row.request_id),
        actions.Emit(events.RequestEnded(row.request_id, True, None)),
    )


@decide.register(events.AnswerReceived)
def _answer(
    event: events.AnswerReceived, board: Board, now: float, random: Random
) -> Actions:
    row = _row(board, event.request_id, event.attempt)
    if row is None:
        return ()
    board.requests_by_id[row.request_id] = row._replace(token_count=event.token_count)
    return (
        actions.SendAnswer(
            row.request_id,
            event.status,
            event.content_type,
            event.body,
            event.headers,
        ),
        actions.Emit(events.RequestEnded(row.request_id, True, None)),
    )


@decide.register(events.StallCheck)
def _check_stall(
    event: events.StallCheck, board: Board, now: float, random: Random
) -> Actions:
    row = _row(board, event.request_id, event.attempt)
    if row is None or row.phase != "relaying":
        return ()
    stall_deadline = row.last_chunk_at + board.settings.streams.stall_timeout_seconds
    if now < stall_deadline:
        return (actions.SetTimer(stall_deadline, event),)
    deadline = now + board.settings.streams.stall_timeout_seconds
    resumed = _resume(board, row, result_codes.RESUME_STALLED, now)
    return (*resumed, actions.SetTimer(deadline, event))


def _resume(
    board: Board, row: rows.RequestRow, code: result_codes.ResultCode, now: float
) -> Actions:
    if row.resume_count >= RESUME_LIMIT or not row.generation_id:
        return (
            actions.CloseUpstream(row.request_id, cancel_generation=True),
            *end_request(row, result_codes.STREAM_LOST),
        )
    board.requests_by_id[row.request_id] = row._replace(
        resume_count=row.resume_count + 1, last_chunk_at=now
    )
    return (
        actions.Count(code, row.rank),
        actions.CloseUpstream(row.request_id, cancel_generation=False),
        actions.ResumeUpstream(
            request_id=row.request_id,
            attempt=row.attempt,
            address=row.address,
            generation_id=row.generation_id,
            last_sequence=row.last_sequence,
        ),
    )


@decide.register(events.UpstreamCallFailed)
def _fail(
    event: events.UpstreamCallFailed, board: Board, now: float, random: Random
) -> Actions:
    row = _row(board, event.request_id, event.attempt)
    if row is None:
        return ()
    if row.generation_id and event.kind in RESUME_CODES:
        return _resume(board, row, RESUME_CODES[event.kind], now)
    if row.last_sequence or event.kind == "generation_gone":
        return end_request(row, result_codes.STREAM_LOST)
    if not may_move(row.target) or (event.sent and not is_idempotent(row.target)):
        return end_request(row, result_codes.OUTCOME_UNKNOWN)
    if row.caller_gone:
        return end_request(row, result_codes.CALLER_GONE)
    code, final_code = _retry_codes(event)
    retry = events.RetryRequested(row.request_id, code, final_code)
    return (actions.Emit(retry),)


def _retry_codes(
    event: events.UpstreamCallFailed,
) -> tuple[result_codes.ResultCode, result_codes.ResultCode]:
    if event.kind == "refused":
        return result_codes.RETRY_REFUSED, result_codes.UPSTREAM_REFUSED
    if not event.sent:
        return result_codes.RETRY_CONNECT, result_codes.NO_UPSTREAM
    return result_codes.RETRY_BEFORE_FIRST_TOKEN, result_codes.UPSTREAM_FAILED


@decide.register(events.CallerGone)
def _cancel(
    event: events.CallerGone, board: Board, now: float, random: Random
) -> Actions:
    row = board.requests_by_id.get(event.request_id)
    if row is None:
        return ()
    if row.phase == "opening" and not is_idempotent(row.target):
        # The call runs once in any case; its answer is kept for a duplicate.
        board.requests_by_id[row.request_id] = row._replace(caller_gone=True)
        return ()
    ended = events.RequestEnded(row.request_id, False, result_codes.CALLER_GONE)
    return (
        actions.CloseUpstream(row.request_id, cancel_generation=True),
        actions.Emit(ended),
    )
