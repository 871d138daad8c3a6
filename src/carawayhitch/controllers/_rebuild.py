"""Grants and their indexes, and their reconstruction from progress messages."""

from __future__ import annotations

from carawayhitch.board import Board
from carawayhitch.controllers import (
    _fairness,
    _lengths,
    _memory,
    _prefill,
    _queue,
    service_shares,
)
from carawayhitch.core import messages, rows

# After a request finished, identical requests may run on several upstreams for this
# long.
CLEARED_FINGERPRINT_SECONDS = 300.0
CLEARED_FINGERPRINT_LIMIT = 10_000


def add_grant(board: Board, grant: rows.GrantRow) -> None:
    """Store a grant and index it by upstream, account and fingerprint."""
    board.grants_by_request_id[grant.request_id] = grant
    request_ids = board.grant_ids_by_upstream_id.setdefault(grant.upstream_id, {})
    request_ids[grant.request_id] = None
    in_flight = board.granted_upstreams_by_fingerprint.setdefault(grant.fingerprint, {})
    in_flight[grant.request_id] = grant.upstream_id
    _fairness.increment_open_count(board, grant.cell_id, grant.rank, grant.account)
    _memory.add_memory(board, grant.upstream_id, grant.memory)


def remove_grant(board: Board, grant: rows.GrantRow, now: float) -> None:
    """Remove a grant from the board and from all indexes."""
    del board.grants_by_request_id[grant.request_id]
    request_ids = board.grant_ids_by_upstream_id[grant.upstream_id]
    del request_ids[grant.request_id]
    if not request_ids:
        del board.grant_ids_by_upstream_id[grant.upstream_id]
    in_flight = board.granted_upstreams_by_fingerprint[grant.fingerprint]
    del in_flight[grant.request_id]
    if not in_flight:
        del board.granted_upstreams_by_fingerprint[grant.fingerprint]
    _fairness.decrement_open_count(board, grant.cell_id, grant.rank, grant.account)
    _memory.record_finish(board, grant, now)
    _memory.subtract_memory(board, grant.upstream_id, grant.memory)


def record_produced_tokens(
    board: Board, grant: rows.GrantRow, token_count: int, now: float
) -> rows.GrantRow:
    """Charge the tokens produced since the last progress and renew the grant."""
    produced = max(0, token_count - grant.token_count)
    renewed_grant = grant._replace(renewed_at=now)
    if produced and not grant.token_count:
        _prefill.record_first_token(board, grant, now)
    if produced:
        _fairness.charge_tokens(board, grant, produced, now)
        renewed_grant = renewed_grant._replace(
            token_count=token_count,
            charged_tokens=grant.charged_tokens + produced,
            memory=_memory.predict_memory(
                board,
                grant.binding,
                grant.prompt_tokens + token_count,
                token_count,
                grant.maximum_tokens,
            ),
        )
        _memory.subtract_memory(board, grant.upstream_id, grant.memory)
        _memory.add_memory(board, grant.upstream_id, renewed_grant.memory)
    board.grants_by_request_id[grant.request_id] = renewed_grant
    return renewed_grant


def refund_grant(board: Board, grant: rows.GrantRow, now: float) -> None:
    """Refund the tokens charged for a grant that produced no output for its caller."""
    prompt = service_shares.charged_size(board, grant) if grant.prompt_charged else 0
    _fairness.charge_tokens(board, grant, -(prompt + grant.charged_tokens), now)


def finish_grant(
    board: Board, grant: rows.GrantRow, event: messages.Finished, now: float
) -> None:
    """Charge or refund a finished grant, record its output length and remove it."""
    if event.token_count == 0 and not event.complete:
        refund_grant(board, grant, now)
    else:
        grant = record_produced_tokens(board, grant, event.token_count, now)
    if event.complete:
        if event.token_count:
            _lengths.record_output_length(board, grant.binding, event.token_count)
        board.cleared_until_by_fingerprint[grant.fingerprint] = (
            now + CLEARED_FINGERPRINT_SECONDS
        )
        while len(board.cleared_until_by_fingerprint) > CLEARED_FINGERPRINT_LIMIT:
            del board.cleared_until_by_fingerprint[
                next(iter(board.cleared_until_by_fingerprint))
            ]
    remove_grant(board, grant, now)


def record_request_end(board: Board, event: messages.Finished, now: float) -> None:
    """Record the end of an attempt while delayed progress for it may still arrive."""
    lifetime = board.settings.scheduling.progress_lifetime_seconds
    # Removed and inserted again, so that rows stay in order of their deadlines.
    earlier_end = board.ended_requests_by_id.pop(event.request_id, None)
    attempt = max(event.attempt, earlier_end.attempt if earlier_end else 0)
    ended = rows.EndedRequestRow(attempt, now + lifetime)
    board.ended_requests_by_id[event.request_id] = ended


def delete_expired_ends(board: Board, now: float) -> None:
    """Delete the recorded ends whose deadline has passed."""
    for request_id, ended in list(board.ended_requests_by_id.items()):
        if now < ended.deadline:
            break
        del board.ended_requests_by_id[request_id]


def _attempt_has_ended(board: Board, request_id: str, attempt: int) -> bool:
    ended = board.ended_requests_by_id.get(request_id)
    return ended is not None and attempt <= ended.attempt


def apply_running_count(
    board: Board, event: messages.Progress, running: messages.RunningCount, now: float
) -> bool:
    """Renew the grant of a running request; return False if the full row is needed."""
    if _attempt_has_ended(board, running.request_id, running.attempt):
        return True
    known_grant = board.grants_by_request_id.get(running.request_id)
    if (
        known_grant is None
        or known_grant.attempt < running.attempt
        or known_grant.entry_id != event.sender_id
        or known_grant.cell_id != event.cell_id
    ):
        return False
    if known_grant.attempt == running.attempt:
        record_produced_tokens(board, known_grant, running.token_count, now)
    return True


def apply_running_request(
    board: Board, event: messages.Progress, running: messages.RunningRequest, now: float
) -> bool:
    """Renew or rebuild the grant of a running request.

    A rebuilt grant is charged only for tokens produced from now on. The previous
    scheduler charged the earlier ones.

    Returns
    -------
    bool
        Whether this scheduler now holds the grant as reported.
    """
    if _attempt_has_ended(board, running.request_id, running.attempt):
        return False
    ask = board.asks_by_request_id.get(running.request_id)
    if ask is not None and ask.attempt <= running.attempt:
        _queue.remove_ask(board, running.request_id)
    known_grant = board.grants_by_request_id.get(running.request_id)
    if known_grant is not None:
        # If two schedulers granted the request, the entry may use the other grant.
        if (known_grant.attempt, known_grant.upstream_id) == (
            running.attempt,
            running.upstream_id,
        ):
            record_produced_tokens(board, known_grant, running.token_count, now)
            return True
        if known_grant.attempt > running.attempt:
            return False
        remove_grant(board, known_grant, now)
    lifetime = board.settings.scheduling.grant_lifetime_seconds
    add_grant(
        board,
        rows.GrantRow(
            request_id=running.request_id,
            attempt=running.attempt,
            entry_id=event.sender_id,
            cell_id=event.cell_id,
            group=running.group,
            account=running.account,
            rank=running.rank,
            binding=running.binding,
            fingerprint=running.fingerprint,
            upstream_id=running.upstream_id,
            prompt_tokens=running.prompt_tokens,
            maximum_tokens=running.maximum_tokens,
            token_count=running.token_count,
            granted_at=now,
            deadline=now + lifetime,
            renewed_at=now,
            memory=_memory.predict_memory(
                board,
                running.binding,
                running.prompt_tokens + running.token_count,
                running.token_count,
                running.maximum_tokens,
            ),
            prompt_charged=False,
            prefix_blocks=running.prefix_blocks,
        ),
    )
    return True


def expire_grants(board: Board, now: float) -> None:
    """Remove grants for which their entry sends no progress any more."""
    lifetime = board.settings.scheduling.progress_lifetime_seconds
    for grant in list(board.grants_by_request_id.values()):
        if now < max(grant.renewed_at, grant.granted_at) + lifetime:
            continue
        if grant.token_count == 0:
            refund_grant(board, grant, now)
        remove_grant(board, grant, now)
