"""Claims of idempotency keys: a non-idempotent call is sent upstream at most once.

A key chosen by the caller is claimed in a journal object of the store. A key issued
by this process is claimed in its own memory. Only a claim in state ``granted`` leads
to a call, and the state changes to ``running`` before the call is sent; a claim in
state ``abandoned`` is never sent.
"""

from __future__ import annotations

from random import Random

from carawayhitch.board import Board
from carawayhitch.controllers._call_logs import retry_logged
from carawayhitch.controllers._claim_tables import (
    find_shard,
    own_identity,
    put_claim,
    schedule_claim_flush,
    shard_name,
)
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.controllers._issued_keys import claim_key_hash, issued_key_hash
from carawayhitch.controllers._journal import (
    REQUEST_HASH_HEX_DIGITS,
    build_journal_record,
    find_unexpired_record,
)
from carawayhitch.controllers._placement import end_request, finished_message
from carawayhitch.controllers._targets import needs_claim, service_name
from carawayhitch.core import actions, events, result_codes, rows

NONCE_BITS = 96
UNRESOLVED_CLAIM_STATES = frozenset({"writing", "granted", "running"})
UNSENT_CLAIM_STATES = frozenset({"writing", "granted"})

decide = new_controller()


def claim_key(row: rows.RequestRow) -> str:
    """Return the name of the claim of a call."""
    if row.issued_key is not None:
        return issued_key_hash(row.issued_key)
    return claim_key_hash(row.account, service_name(row.target), row.idempotency_key)


def request_hash(row: rows.RequestRow) -> str:
    """Return the hash to which a claim binds its key."""
    return row.body_sha256[:REQUEST_HASH_HEX_DIGITS]


# Duplicates


@decide.register(events.KeyPresented)
def _check_key(
    event: events.KeyPresented, board: Board, now: float, random: Random
) -> Actions:
    row = board.requests_by_id.get(event.request_id)
    if row is None:
        return ()
    answered = _answer_duplicate(board, row, now)
    if answered is not None:
        return answered
    return (actions.Emit(events.RequestAdmitted(row.request_id)),)


def _answer_duplicate(board: Board, row: rows.RequestRow, now: float) -> Actions | None:
    """Return the answer to a call whose key is known here, or None if it is not."""
    key = claim_key(row)
    claim = board.claims_by_key.get(key)
    if claim is not None and claim.request_id == row.request_id:
        return None
    if claim is not None and claim.state != "abandoned":
        return _join(board, claim, row)
    record = _known_record(board, key, now)
    if record is not None and not _is_abandoned(record, claim):
        own = (record.node_id, record.incarnation) == own_identity(board)
        if own or record.status or record.request_sha256 != request_hash(row):
            return _replay(row, record)
    if _key_expired(board, row, now):
        return end_call_with_error(row, result_codes.KEY_EXPIRED)
    return None


def _known_record(board: Board, key: str, now: float) -> rows.JournalRecord | None:
    layout = board.journal_layout
    if layout is None:
        return None
    return find_unexpired_record(
        find_shard(board, shard_name(key, layout.shard_count)), key, now
    )


def _is_abandoned(record: rows.JournalRecord, claim: rows.ClaimRow | None) -> bool:
    return claim is not None and record.nonce in (claim.nonce, *claim.abandoned_nonces)


def _key_expired(board: Board, row: rows.RequestRow, now: float) -> bool:
    if row.issued_key is not None:
        return now >= row.issued_key.deadline
    if row.key_created_at is None or board.journal_layout is None:
        return False
    return now >= row.key_created_at + board.journal_layout.retention_seconds


def _join(board: Board, claim: rows.ClaimRow, row: rows.RequestRow) -> Actions:
    """Return the outcome of a claim of this process to a duplicate, or let it wait."""
    if claim.request_sha256 != request_hash(row):
        return end_call_with_error(row, result_codes.KEY_REUSED)
    if claim.state not in UNRESOLVED_CLAIM_STATES:
        return _replay(row, build_journal_record(claim, *own_identity(board)))
    released = _release_grant(board, row)
    put_claim(
        board,
        claim._replace(
            waiting_request_ids=(*claim.waiting_request_ids, row.request_id)
        ),
    )
    return released


def _release_grant(board: Board, row: rows.RequestRow) -> Actions:
    """Give a grant back; the request goes on without an upstream."""
    board.requests_by_id[row.request_id] = row._replace(
        phase="claiming", scheduler_id="", grant_deadline=0.0
    )
    if not row.scheduler_id:
        return ()
    finished = finished_message(board, row, complete=False, upstream_failed=False)
    return (actions.Send(row.scheduler_id, finished),)


def _replay(row: rows.RequestRow, record: rows.JournalRecord) -> Actions:
    """Answer a duplicate from a record that will not change here any more."""
    if record.request_sha256 != request_hash(row):
        return end_call_with_error(row, result_codes.KEY_REUSED)
    if not record.status:
        return end_call_with_error(row, result_codes.OUTCOME_UNKNOWN)
    if record.body is None:
        return end_call_with_error(row, result_codes.RESULT_NOT_KEPT)
    return _send_answer(row, record.status, record.content_type, record.body)


def _send_answer(
    row: rows.RequestRow, status: int, content_type: str, body: bytes
) -> Actions:
    return (
        actions.SendAnswer(row.request_id, status, content_type, body),
        actions.Emit(events.RequestEnded(row.request_id, True, None)),
    )


def end_call_with_error(row: rows.RequestRow, code: result_codes.ResultCode) -> Actions:
    """Return the actions that end a call with an error answer."""
    retry_after = 1.0 if code.http_status == 503 else 0.0
    return end_request(row, code, retry_after)


# Claims


@decide.register(events.UpstreamGranted)
def _claim(
    event: events.UpstreamGranted, board: Board, now: float, random: Random
) -> Actions:
    row = board.requests_by_id.get(event.request_id)
    if row is None:
        return ()
    if not needs_claim(row.target):
        return (actions.Emit(events.ClaimGranted(row.request_id)),)
    answered = _answer_duplicate(board, row, now)
    if answered is not None:
        return answered
    claim = board.claims_by_key.get(claim_key(row))
    if claim is not None and claim.request_id == row.request_id:
        if claim.state == "granted":
            return _send_once(board, claim, row, now)
        return end_call_with_error(row, result_codes.OUTCOME_UNKNOWN)
    if row.issued_key is not None:
        return _claim_in_memory(board, row, row.issued_key, now, random)
    return _claim_in_journal(board, row, claim, now, random)


def _claim_in_memory(
    board: Board,
    row: rows.RequestRow,
    issued: rows.IssuedKey,
    now: float,
    random: Random,
) -> Actions:
    claim = rows.ClaimRow(
        key=claim_key(row),
        request_sha256=request_hash(row),
        nonce=new_nonce(random),
        state="granted",
        deadline=issued.deadline,
        expires_at=issued.deadline,
        request_id=row.request_id,
    )
    put_claim(board, claim)
    return (
        actions.SetTimer(issued.deadline, events.IssuedKeyExpired(claim.key)),
        *_send_once(board, claim, row, now),
    )


def _claim_in_journal(
    board: Board,
    row: rows.RequestRow,
    earlier: rows.ClaimRow | None,
    now: float,
    random: Random,
) -> Actions:
    layout = board.journal_layout
    if layout is None:
        return end_call_with_error(row, result_codes.STORE_UNAVAILABLE)
    settings = board.settings.idempotency
    key = claim_key(row)
    lifetime = layout.retention_seconds + settings.clock_tolerance_seconds
    abandoned = (earlier.nonce, *earlier.abandoned_nonces) if earlier else ()
    claim = rows.ClaimRow(
        key=key,
        request_sha256=request_hash(row),
        nonce=new_nonce(random),
        state="writing",
        deadline=min(now + settings.claim_timeout_seconds, row.deadline),
        expires_at=max(now, row.key_created_at or now) + lifetime,
        request_id=row.request_id,
        shard=shard_name(key, layout.shard_count),
        abandoned_nonces=abandoned,
    )
    put_claim(board, claim)
    return (
        actions.SetTimer(claim.deadline, events.ClaimTimedOut(key, claim.nonce)),
        *schedule_claim_flush(board, claim, now + settings.batch_interval_seconds),
    )


def new_nonce(random: Random) -> str:
    """Return a name that no other claim or operation has."""
    return f"{random.getrandbits(NONCE_BITS):024x}"


def _send_once(
    board: Board, claim: rows.ClaimRow, row: rows.RequestRow, now: float
) -> Actions:
    """Send the call of a granted claim, or ask for another upstream first."""
    if now >= row.grant_deadline:
        put_claim(board, claim._replace(state="granted"))
        released = _release_grant(board, row)
        again = board.requests_by_id[row.request_id]._replace(
            phase="asking", attempt=row.attempt + 1
        )
        board.requests_by_id[row.request_id] = again
        return (
            *released,
            actions.Count(result_codes.RETRY_GRANT_EXPIRED, row.rank),
            retry_logged(row, result_codes.RETRY_GRANT_EXPIRED),
            actions.Emit(events.RequestAdmitted(row.request_id)),
        )
    put_claim(board, claim._replace(state="running"))
    overdue = events.CallOverdue(row.request_id, row.attempt)
    deadline = now + board.settings.idempotency.answer_timeout_seconds
    return (
        actions.Emit(events.ClaimGranted(row.request_id)),
        actions.SetTimer(deadline, overdue),
    )


@decide.register(events.ClaimTimedOut)
def _give_up_claim(
    event: events.ClaimTimedOut, board: Board, now: float, random: Random
) -> Actions:
    claim = board.claims_by_key.get(event.key)
    if claim is None or claim.nonce != event.nonce or claim.state != "writing":
        return ()
    row = board.requests_by_id[claim.request_id]
    return end_call_with_error(row, result_codes.STORE_UNAVAILABLE)


@decide.register(events.IssuedKeyExpired)
def _forget_issued_key(
    event: events.IssuedKeyExpired, board: Board, now: float, random: Random
) -> Actions:
    claim = board.claims_by_key.get(event.key)
    if claim is None:
        return ()
    if now < claim.expires_at:
        # Event loops round timers; until this time the key must not run again.
        return (actions.SetTimer(claim.expires_at, event),)
    if claim.state in UNRESOLVED_CLAIM_STATES:
        later = now + board.settings.idempotency.answer_timeout_seconds
        return (actions.SetTimer(later, event),)
    del board.claims_by_key[event.key]
    return ()


# Outcomes


def _own_claim(board: Board, row: rows.RequestRow) -> rows.ClaimRow | None:
    """Return the claim with which this request runs, if it has one."""
    if not needs_claim(row.target):
        return None
    claim = board.claims_by_key.get(claim_key(row))
    return claim if claim is not None and claim.request_id == row.request_id else None


@decide.register(events.UpstreamCallFailed)
def _keep_claim(
    event: events.UpstreamCallFailed, board: Board, now: float, random: Random
) -> Actions:
    row = board.requests_by_id.get(event.request_id)
    if row is None or row.attempt != event.attempt or event.sent:
        return ()
    claim = _own_claim(board, row)
    if claim is not None and claim.state == "running":
        put_claim(board, claim._replace(state="granted"))
    return ()


@decide.register(events.AnswerReceived)
def _keep_answer(
    event: events.AnswerReceived, board: Board, now: float, random: Random
) -> Actions:
    row = board.requests_by_id.get(event.request_id)
    if row is None or row.attempt != event.attempt:
        return ()
    claim = _own_claim(board, row)
    if claim is None or claim.state != "running":
        return ()
    settings = board.settings.idempotency
    kept = event.body if len(event.body) <= settings.stored_answer_bytes else None
    finished = claim._replace(
        state="finished",
        status=event.status,
        content_type=event.content_type,
        body=kept,
        waiting_request_ids=(),
    )
    put_claim(board, finished)
    decided: list[actions.Action] = []
    for request_id in claim.waiting_request_ids:
        waiting = board.requests_by_id[request_id]
        decided.extend(
            _send_answer(waiting, event.status, event.content_type, event.body)
        )
    flush_at = now + settings.completion_interval_seconds
    return (*decided, *schedule_claim_flush(board, finished, flush_at))


@decide.register(events.CallOverdue)
def _give_up_answer(
    event: events.CallOverdue, board: Board, now: float, random: Random
) -> Actions:
    row = board.requests_by_id.get(event.request_id)
    if row is None or row.attempt != event.attempt or row.phase != "opening":
        return ()
    return (
        actions.CloseUpstream(row.request_id, cancel_generation=False),
        *end_call_with_error(row, result_codes.OUTCOME_UNKNOWN),
    )


@decide.register(events.WaitExpired)
def _give_up_waiting(
    event: events.WaitExpired, board: Board, now: float, random: Random
) -> Actions:
    row = board.requests_by_id.get(event.request_id)
    if row is None or not needs_claim(row.target):
        return ()
    claim = board.claims_by_key.get(claim_key(row))
    if claim is None or row.request_id not in claim.waiting_request_ids:
        return ()
    return end_call_with_error(row, result_codes.OUTCOME_UNKNOWN)


@decide.register(events.RequestEnded)
def _close_claim(
    event: events.RequestEnded, board: Board, now: float, random: Random
) -> Actions:
    row = board.requests_by_id.get(event.request_id)
    if row is None or not needs_claim(row.target):
        return ()
    claim = board.claims_by_key.get(claim_key(row))
    if claim is None:
        return ()
    if claim.request_id != row.request_id:
        waiting = tuple(
            other for other in claim.waiting_request_ids if other != row.request_id
        )
        put_claim(board, claim._replace(waiting_request_ids=waiting))
        return ()
    if claim.state in UNSENT_CLAIM_STATES:
        return _abandon(board, claim, event, now)
    if claim.state == "running":
        return _mark_unknown(board, claim)
    return ()


def _abandon(
    board: Board, claim: rows.ClaimRow, event: events.RequestEnded, now: float
) -> Actions:
    """Give up a claim that never sent its call; its record is removed later."""
    abandoned = claim._replace(state="abandoned", waiting_request_ids=())
    if claim.shard:
        put_claim(board, abandoned)
    else:
        del board.claims_by_key[claim.key]
    interval = board.settings.idempotency.completion_interval_seconds
    planned = schedule_claim_flush(board, abandoned, now + interval)
    decided: list[actions.Action] = []
    for request_id in claim.waiting_request_ids:
        waiting = board.requests_by_id[request_id]
        if event.code is not None and event.code.ran == "no":
            decided.extend(end_call_with_error(waiting, event.code))
        else:
            # The caller left before the call was sent; its duplicates take over.
            decided.append(actions.Emit(events.UpstreamGranted(request_id)))
    return (*planned, *decided)


def _mark_unknown(board: Board, claim: rows.ClaimRow) -> Actions:
    unknown = claim._replace(state="unknown", waiting_request_ids=())
    put_claim(board, unknown)
    if claim.shard:
        # The record of the journal now says the same.
        del board.claims_by_key[claim.key]
    decided: list[actions.Action] = []
    for request_id in claim.waiting_request_ids:
        waiting = board.requests_by_id[request_id]
        decided.extend(end_call_with_error(waiting, result_codes.OUTCOME_UNKNOWN))
    return decided


def send_call_of_won_claim(board: Board, claim: rows.ClaimRow, now: float) -> Actions:
    """Send the call of a claim that the journal holds."""
    row = board.requests_by_id[claim.request_id]
    if now >= claim.deadline:
        return end_call_with_error(row, result_codes.STORE_UNAVAILABLE)
    return _send_once(board, claim, row, now)


def answer_calls_of_lost_claim(
    board: Board, claim: rows.ClaimRow, record: rows.JournalRecord
) -> Actions:
    """Answer all calls of a claim that another process made first."""
    del board.claims_by_key[claim.key]
    decided: list[actions.Action] = []
    for request_id in (claim.request_id, *claim.waiting_request_ids):
        decided.extend(_replay(board.requests_by_id[request_id], record))
    return decided
