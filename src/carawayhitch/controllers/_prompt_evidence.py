"""Evidence on which block of a prompt crashes the engines that answer it.

Such a block crashes an engine as it begins to answer, whatever else the request holds.
A block of any request that has produced a token is therefore no cause, and of the
requests on a crashed engine only those without a token are suspect.
"""

from __future__ import annotations

from collections.abc import Iterable

from carawayhitch.board import Board
from carawayhitch.controllers._crash_records import (
    add_crash,
    clear_record,
    crash_id,
    has_convicted_block,
    prefix_block_key,
    uncleared_crash_count,
)
from carawayhitch.core import messages, rows

# Blocks of a prompt that can be suspect, from its start; asks from other entries carry
# no more. It bounds the records of a crash and the messages that spread them.
SUSPECT_BLOCK_LIMIT = 32
# Entries report the requests that they lost at one engine within this time.
EVIDENCE_SECONDS = 0.2
BLOCK_CONVICTING_CRASH_COUNT = 3
# Several engines can crash before a sound request with the same block produces a token.
# A block that has been answered lately is therefore convicted later.
ANSWERED_BLOCK_CONVICTING_CRASH_COUNT = 5
ANSWERED_BLOCK_SECONDS = 300.0
ANSWERED_BLOCK_LIMIT = 10_000


def unanswered_requests(
    grants: Iterable[rows.GrantRow],
) -> tuple[rows.UnansweredRequestRow, ...]:
    """Return the granted requests that have produced no token and have blocks."""
    return tuple(
        rows.UnansweredRequestRow(grant.request_id, grant.prefix_blocks)
        for grant in grants
        if grant.prefix_blocks and not grant.token_count
    )


def record_lost_request(
    board: Board, grant: rows.GrantRow, event: messages.Finished
) -> None:
    """Store whether an engine had begun to answer a request that was lost there."""
    failure = board.last_failures_by_upstream_id.get(grant.upstream_id)
    if not isinstance(failure, rows.EngineFailureRow) or not event.began:
        return
    board.last_failures_by_upstream_id[grant.upstream_id] = failure._replace(
        unanswered=tuple(
            request._replace(began=True)
            if request.request_id == event.request_id
            else request
            for request in failure.unanswered
        )
    )


def record_answered_blocks(
    board: Board, prefix_blocks: Iterable[str], now: float
) -> tuple[rows.CrashRow, ...]:
    """Clear the blocks of a request that has produced tokens.

    Returns
    -------
    tuple of CrashRow
        Crash records that changed.
    """
    cleared: list[rows.CrashRow] = []
    answered = board.answered_until_by_prefix_block
    for block in prefix_blocks:
        # Inserted again, so that the oldest blocks come first.
        answered.pop(block, None)
        answered[block] = now + ANSWERED_BLOCK_SECONDS
        record = clear_record(board, prefix_block_key(block), now)
        if record is not None:
            cleared.append(record)
    while len(answered) > ANSWERED_BLOCK_LIMIT:
        del answered[next(iter(answered))]
    return tuple(cleared)


def remove_answered_request(board: Board, grant: rows.GrantRow) -> None:
    """Drop a request from the evidence, because it had produced tokens."""
    failure = board.last_failures_by_upstream_id.get(grant.upstream_id)
    if not isinstance(failure, rows.EngineFailureRow):
        return
    board.last_failures_by_upstream_id[grant.upstream_id] = failure._replace(
        unanswered=tuple(
            request
            for request in failure.unanswered
            if request.request_id != grant.request_id
        )
    )


def block_records_after_crash(
    board: Board, failure: rows.EngineFailureRow, now: float
) -> tuple[rows.CrashRow, ...]:
    """Return the crash records of the blocks that may have caused a crash.

    The requests that the engine had begun to answer are suspect, or all without a token
    if no entry reported such a one. At most one block of a request is convicted: the
    last one, since requests share their first blocks with many others. A request with
    a convicted block explains the crash.
    """
    suspects = [
        request for request in failure.unanswered if request.began
    ] or failure.unanswered
    if any(has_convicted_block(board, row.prefix_blocks, now) for row in suspects):
        return ()
    crash = crash_id(failure.upstream_id, failure.started_at)
    records: dict[str, rows.CrashRow] = {}
    for request in suspects:
        convictable: list[str] = []
        for block in request.prefix_blocks:
            key = prefix_block_key(block)
            if key not in records:
                records[key] = add_crash(board, key, crash, False, now)
            if uncleared_crash_count(records[key]) >= _convicting_count(
                board, block, now
            ):
                convictable.append(key)
        for key in convictable[-1:]:
            records[key] = records[key]._replace(convicted=True)
    return tuple(records.values())


def _convicting_count(board: Board, block: str, now: float) -> int:
    """Return the number of crashes that convicts a block."""
    if now < board.answered_until_by_prefix_block.get(block, 0.0):
        return ANSWERED_BLOCK_CONVICTING_CRASH_COUNT
    return BLOCK_CONVICTING_CRASH_COUNT
