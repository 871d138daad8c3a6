"""Idempotency keys: a non-idempotent call is sent upstream at most once.

Before such a call is sent, its key is claimed: a key chosen by the caller in a journal
object of the store, a key issued by this process in the memory of the process. A call
is sent only for a claim in state ``granted``, and the state becomes ``running`` before
the call is sent. The call of an ``abandoned`` claim is never sent.
"""

from __future__ import annotations

from random import Random

from carawayhitch.board import Board
from carawayhitch.controllers import zones
from carawayhitch.controllers._call_logs import build_retry_log
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
from carawayhitch.controllers._placement import (
    end_request,
    finished_message,
    without_drained_upstreams,
)
from carawayhitch.controllers._targets import needs_claim, service_name
from carawayhitch.core import actions, events, result_codes, rows

NONCE_BITS = 96
UNRESOLVED_CLAIM_STATES = frozenset({"writing", "granted", "running"})
UNSENT_CLAIM_STATES = frozenset({"writing", "granted"})

decide = new_controller()


def claim_key(row: rows.RequestRow) -> str:
    """Return the key under which the claim of a call is stored."""
    if row.issued_key is not None:
        return issued_key_hash(row.issued_key)
    return claim_key_hash(row.account, service_name(row.target), row.idempotency_key)


def request_hash(row: rows.RequestRow) -> str:
    """Return the hash of the request; a key is valid for one request hash only."""
    return row.body_sha256[:REQUEST_HASH_HEX_DIGITS]


# Duplicate calls


@decide.register(events.KeyPresented)
def _check_presented_key(
    event: events.KeyPresented, board: Board, now: float, random: Random
) -> Actions:
    row = board.requests_by_id.get(event.request_id)
    if row is None:
        return ()
    duplicate_actions = _answer_duplicate(board, row, now)
    if duplicate_actions is not None:
        return duplicate_actions
    return (actions.Emit(events.RequestAdmitted(row.request_id)),)


def _answer_duplicate(board: Board, row: rows.RequestRow, now: float) -> Actions | None:
    """Return the actions for a duplicate or an expired key; None if a claim is needed.

    Only the claims and journal records that this process holds in memory are checked.
    """
    key = claim_key(row)
    claim = board.claims_by_key.get(key)
    if claim is not None and claim.request_id == row.request_id:
        return None
    if claim is not None and claim.state != "abandoned":
        return _answer_or_queue_duplicate(board, claim, row)
    record = _find_record_of_key(board, key, now)
    if record is not None and not _is_record_of_abandoned_claim(record, claim):
        is_own_record = (record.node_id, record.incarnation) == own_identity(board)
        if is_own_record or record.status or record.request_sha256 != request_hash(row):
            return _answer_from_record(row, record)
    if _is_key_expired(board, row, now):
        return end_call_with_error(row, result_codes.KEY_EXPIRED)
    return None


def _find_record_of_key(
    board: Board, key: str, now: float
) -> rows.JournalRecord | None:
    layout = board.journal_layout
    if layout is None:
        return None
    return find_unexpired_record(
        find_shard(board, shard_name(key, layout.shard_count)), key, now
    )


def _is_record_of_abandoned_claim(
    record: rows.JournalRecord, claim: rows.ClaimRow | None
) -> bool:
    return claim is not None and record.nonce in (claim.nonce, *claim.abandoned_nonces)


def _is_key_expired(board: Board, row: rows.RequestRow, now: float) -> bool:
    if row.issued_key is not None:
        return now >= row.issued_key.deadline
    if row.key_created_at is None or board.journal_layout is None:
        return False
    return now >= row.key_created_at + board.journal_layout.retention_seconds


def _answer_or_queue_duplicate(
    board: Board, claim: rows.ClaimRow, row: rows.RequestRow
) -> Actions:
    """Answer a duplicate of a claim of this process, or let it wait for the outcome."""
    if claim.request_sha256 != request_hash(row):
        return end_call_with_error(row, result_codes.KEY_REUSED)
    if claim.state not in UNRESOLVED_CLAIM_STATES:
        return _answer_from_record(
            row, build_journal_record(claim, *own_identity(board))
        )
    release_actions = _release_grant(board, row)
    put_claim(
        board,
        claim._replace(
            waiting_request_ids=(*claim.waiting_request_ids, row.request_id)
        ),
    )
    return release_actions


def _release_grant(board: Board, row: rows.RequestRow) -> Actions:
    """Return the grant of a request to its scheduler; the request stays open."""
    board.requests_by_id[row.request_id] = row._replace(
        phase="claiming", scheduler_id="", grant_deadline=0.0
    )
    if not row.scheduler_id:
        return ()
    message = finished_message(board, row, complete=False, upstream_failed=False)
    return (actions.Send(row.scheduler_id, message),)


def _answer_from_record(row: rows.RequestRow, record: rows.JournalRecord) -> Actions:
    """Answer a duplicate from a record that this process will not change again."""
    if record.request_sha256 != request_hash(row):
        return end_call_with_error(row, result_codes.KEY_REUSED)
    if not record.status:
        return end_call_with_error(row, result_codes.OUTCOME_UNKNOWN)
    if record.body is None:
        return end_call_with_error(row, result_codes.RESULT_NOT_KEPT)
    return _send_answer_and_end(row, record.status, record.content_type, record.body)


def _send_answer_and_end(
    row: rows.RequestRow, status: int, content_type: str, body: bytes
) -> Actions:
    return (
        actions.SendAnswer(row.request_id, status, content_type, body),
        actions.Emit(events.RequestEnded(row.request_id, True, None)),
    )


def end_call_with_error(row: rows.RequestRow, code: result_codes.ResultCode) -> Actions:
    """Return the actions that answer a call with an error and end it."""
    retry_after = 1.0 if code.http_status == 503 else 0.0
    return end_request(row, code, retry_after)


# Claiming of keys


@decide.register(events.UpstreamGranted)
def _claim_key(
    event: events.UpstreamGranted, board: Board, now: float, random: Random
) -> Actions:
    row = board.requests_by_id.get(event.request_id)
    if row is None:
        return ()
    if not needs_claim(row.target):
        return (actions.Emit(events.ClaimGranted(row.request_id)),)
    duplicate_actions = _answer_duplicate(board, row, now)
    if duplicate_actions is not None:
        return duplicate_actions
    claim = board.claims_by_key.get(claim_key(row))
    if claim is not None and claim.request_id == row.request_id:
        if claim.state == "granted":
            return _send_claimed_call(board, claim, row, now)
        return end_call_with_error(row, result_codes.OUTCOME_UNKNOWN)
    if row.issued_key is not None:
        return _claim_in_memory(board, row, row.issued_key, now, random)
    return _claim_in_journal(board, row, claim, now, random)


def _claim_in_memory(
    board: Board,
    row: rows.RequestRow,
    issued_key: rows.IssuedKey,
    now: float,
    random: Random,
) -> Actions:
    claim = rows.ClaimRow(
        key=claim_key(row),
        request_sha256=request_hash(row),
        nonce=new_nonce(random),
        state="granted",
        deadline=issued_key.deadline,
        expires_at=issued_key.deadline,
        request_id=row.request_id,
    )
    put_claim(board, claim)
    return (
        actions.SetTimer(issued_key.deadline, events.IssuedKeyExpired(claim.key)),
        *_send_claimed_call(board, claim, row, now),
    )


def _claim_in_journal(
    board: Board,
    row: rows.RequestRow,
    earlier_claim: rows.ClaimRow | None,
    now: float,
    random: Random,
) -> Actions:
    layout = board.journal_layout
    if layout is None:
        return end_call_with_error(row, result_codes.STORE_UNAVAILABLE)
    settings = board.settings.idempotency
    key = claim_key(row)
    claim_lifetime_seconds = layout.retention_seconds + settings.clock_tolerance_seconds
    abandoned_nonces = (
        (earlier_claim.nonce, *earlier_claim.abandoned_nonces) if earlier_claim else ()
    )
    claim = rows.ClaimRow(
        key=key,
        request_sha256=request_hash(row),
        nonce=new_nonce(random),
        state="writing",
        deadline=min(now + settings.claim_timeout_seconds, row.deadline),
        expires_at=max(now, row.key_created_at or now) + claim_lifetime_seconds,
        request_id=row.request_id,
        shard=shard_name(key, layout.shard_count),
        abandoned_nonces=abandoned_nonces,
    )
    put_claim(board, claim)
    return (
        actions.SetTimer(claim.deadline, events.ClaimTimedOut(key, claim.nonce)),
        *schedule_claim_flush(board, claim, now + settings.batch_interval_seconds),
    )


def new_nonce(random: Random) -> str:
    """Return a random identifier, unique among claims and store operations."""
    return f"{random.getrandbits(NONCE_BITS):024x}"


def _send_claimed_call(
    board: Board, claim: rows.ClaimRow, row: rows.RequestRow, now: float
) -> Actions:
    """Send the call of a granted claim, or request a new grant if it may not be used.

    The claim may have taken seconds since the grant.
    """
    is_drained = zones.is_drained(board, row.upstream_id)
    if is_drained or now >= row.grant_deadline:
        code = result_codes.RETRY_GRANT_EXPIRED
        put_claim(board, claim._replace(state="granted"))
        release_actions = _release_grant(board, row)
        requeued_row = board.requests_by_id[row.request_id]._replace(
            phase="asking", attempt=row.attempt + 1
        )
        if is_drained:
            code = result_codes.RETRY_ZONE_DRAINED
            requeued_row = without_drained_upstreams(board, requeued_row, row.cell_id)
        board.requests_by_id[row.request_id] = requeued_row
        return (
            *release_actions,
            actions.Count(code, row.rank),
            build_retry_log(row, code),
            actions.Emit(events.RequestAdmitted(row.request_id)),
        )
    put_claim(board, claim._replace(state="running"))
    overdue_event = events.CallOverdue(row.request_id, row.attempt)
    deadline = now + board.settings.idempotency.answer_timeout_seconds
    return (
        actions.Emit(events.ClaimGranted(row.request_id)),
        actions.SetTimer(deadline, overdue_event),
    )


@decide.register(events.ClaimTimedOut)
def _end_call_of_timed_out_claim(
    event: events.ClaimTimedOut, board: Board, now: float, random: Random
) -> Actions:
    claim = board.claims_by_key.get(event.key)
    if claim is None or claim.nonce != event.nonce or claim.state != "writing":
        return ()
    row = board.requests_by_id[claim.request_id]
    return end_call_with_error(row, result_codes.STORE_UNAVAILABLE)


@decide.register(events.IssuedKeyExpired)
def _remove_claim_of_expired_key(
    event: events.IssuedKeyExpired, board: Board, now: float, random: Random
) -> Actions:
    claim = board.claims_by_key.get(event.key)
    if claim is None:
        return ()
    if now < claim.expires_at:
        # Event loops round timers, so this one may fire early. The claim must stay
        # until its key has expired, or the key could run a second time.
        return (actions.SetTimer(claim.expires_at, event),)
    if claim.state in UNRESOLVED_CLAIM_STATES:
        recheck_at = now + board.settings.idempotency.answer_timeout_seconds
        return (actions.SetTimer(recheck_at, event),)
    del board.claims_by_key[event.key]
    return ()


# Outcomes of claimed calls


def _find_own_claim(board: Board, row: rows.RequestRow) -> rows.ClaimRow | None:
    """Return the claim that this request made, or None."""
    if not needs_claim(row.target):
        return None
    claim = board.claims_by_key.get(claim_key(row))
    return claim if claim is not None and claim.request_id == row.request_id else None


@decide.register(events.UpstreamCallFailed)
def _restore_unsent_claim(
    event: events.UpstreamCallFailed, board: Board, now: float, random: Random
) -> Actions:
    row = board.requests_by_id.get(event.request_id)
    if row is None or row.attempt != event.attempt or event.sent:
        return ()
    claim = _find_own_claim(board, row)
    if claim is not None and claim.state == "running":
        put_claim(board, claim._replace(state="granted"))
    return ()


@decide.register(events.AnswerReceived)
def _store_answer_in_claim(
    event: events.AnswerReceived, board: Board, now: float, random: Random
) -> Actions:
    row = board.requests_by_id.get(event.request_id)
    if row is None or row.attempt != event.attempt:
        return ()
    claim = _find_own_claim(board, row)
    if claim is None or claim.state != "running":
        return ()
    settings = board.settings.idempotency
    stored_body = (
        event.body if len(event.body) <= settings.stored_answer_bytes else None
    )
    finished_claim = claim._replace(
        state="finished",
        status=event.status,
        content_type=event.content_type,
        body=stored_body,
        waiting_request_ids=(),
    )
    put_claim(board, finished_claim)
    decided: list[actions.Action] = []
    for request_id in claim.waiting_request_ids:
        waiting_row = board.requests_by_id[request_id]
        decided.extend(
            _send_answer_and_end(
                waiting_row, event.status, event.content_type, event.body
            )
        )
    flush_at = now + settings.completion_interval_seconds
    return (*decided, *schedule_claim_flush(board, finished_claim, flush_at))


@decide.register(events.CallOverdue)
def _end_overdue_call(
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
def _end_waiting_duplicate(
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
def _update_claim_of_ended_request(
    event: events.RequestEnded, board: Board, now: float, random: Random
) -> Actions:
    row = board.requests_by_id.get(event.request_id)
    if row is None or not needs_claim(row.target):
        return ()
    claim = board.claims_by_key.get(claim_key(row))
    if claim is None:
        return ()
    if claim.request_id != row.request_id:
        remaining_ids = tuple(
            other_id
            for other_id in claim.waiting_request_ids
            if other_id != row.request_id
        )
        put_claim(board, claim._replace(waiting_request_ids=remaining_ids))
        return ()
    if claim.state in UNSENT_CLAIM_STATES:
        return _abandon_claim(board, claim, event, now)
    if claim.state == "running":
        return _mark_outcome_unknown(board, claim)
    return ()


def _abandon_claim(
    board: Board, claim: rows.ClaimRow, event: events.RequestEnded, now: float
) -> Actions:
    """Abandon a claim whose call was not sent; a later flush removes its record."""
    abandoned_claim = claim._replace(state="abandoned", waiting_request_ids=())
    if claim.shard:
        put_claim(board, abandoned_claim)
    else:
        del board.claims_by_key[claim.key]
    interval = board.settings.idempotency.completion_interval_seconds
    flush_actions = schedule_claim_flush(board, abandoned_claim, now + interval)
    decided: list[actions.Action] = []
    for request_id in claim.waiting_request_ids:
        waiting_row = board.requests_by_id[request_id]
        if event.code is not None and event.code.ran == "no":
            decided.extend(end_call_with_error(waiting_row, event.code))
        else:
            # The request ended before its call was sent, for example because the
            # caller disconnected, so a waiting duplicate makes a claim of its own.
            decided.append(actions.Emit(events.UpstreamGranted(request_id)))
    return (*flush_actions, *decided)


def _mark_outcome_unknown(board: Board, claim: rows.ClaimRow) -> Actions:
    unknown_claim = claim._replace(state="unknown", waiting_request_ids=())
    put_claim(board, unknown_claim)
    if claim.shard:
        # The journal record has no answer, which also means an unknown outcome.
        del board.claims_by_key[claim.key]
    decided: list[actions.Action] = []
    for request_id in claim.waiting_request_ids:
        waiting_row = board.requests_by_id[request_id]
        decided.extend(end_call_with_error(waiting_row, result_codes.OUTCOME_UNKNOWN))
    return decided


def send_call_of_won_claim(board: Board, claim: rows.ClaimRow, now: float) -> Actions:
    """Send the call of a claim that is recorded in the journal.

    After the deadline of the claim, the call ends with an error instead.
    """
    row = board.requests_by_id[claim.request_id]
    if now >= claim.deadline:
        return end_call_with_error(row, result_codes.STORE_UNAVAILABLE)
    return _send_claimed_call(board, claim, row, now)


def answer_calls_of_lost_claim(
    board: Board, claim: rows.ClaimRow, record: rows.JournalRecord
) -> Actions:
    """Answer all calls of a claim whose key another process claimed first."""
    del board.claims_by_key[claim.key]
    decided: list[actions.Action] = []
    for request_id in (claim.request_id, *claim.waiting_request_ids):
        decided.extend(_answer_from_record(board.requests_by_id[request_id], record))
    return decided
