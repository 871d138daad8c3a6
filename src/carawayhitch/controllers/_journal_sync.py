"""Synchronization of the claims of this process with the journal objects of the store.

At most one store call runs for each shard. A failed write that may still take effect
is kept as unresolved: until its outcome is known, a missing record does not prove that
the key is unclaimed.
"""

from __future__ import annotations

from random import Random

from carawayhitch.board import Board
from carawayhitch.controllers._claim_tables import (
    find_shard,
    own_identity,
    put_shard,
    schedule_shard_flush,
)
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.controllers._idempotency import (
    answer_calls_of_lost_claim,
    end_call_with_error,
    new_nonce,
    send_call_of_won_claim,
)
from carawayhitch.controllers._journal import (
    build_journal_record,
    compare_claim_with_record,
    find_unexpired_record,
    plan_journal_write,
)
from carawayhitch.core import actions, events, result_codes, rows

JOURNAL_OPERATION_PREFIX = "journal"
# Mean pause before a failed store call is repeated, which keeps the number of calls
# low during an outage of the store.
STORE_RETRY_PAUSE_SECONDS = 0.1

decide = new_controller()


@decide.register(events.JournalFlush)
def _flush_shard(
    event: events.JournalFlush, board: Board, now: float, random: Random
) -> Actions:
    shard = find_shard(board, event.shard)
    if shard.operation_id or not shard.flush_at:
        return ()
    if now < shard.flush_at:
        # Event loops round timers to milliseconds, so this one may fire early.
        return (actions.SetTimer(shard.flush_at, event),)
    shard = shard._replace(flush_at=0.0)
    put_shard(board, shard)
    if shard.version < 0 or shard.contended:
        return _start_read(board, shard, random)
    return _advance_pending_claims(board, shard.name, False, now, random)


def _new_operation_id(shard: rows.JournalShardRow, random: Random) -> str:
    return f"{JOURNAL_OPERATION_PREFIX}/{shard.name}/{new_nonce(random)}"


def _start_read(board: Board, shard: rows.JournalShardRow, random: Random) -> Actions:
    operation_id = _new_operation_id(shard, random)
    put_shard(board, shard._replace(operation_id=operation_id, flush_at=0.0))
    return (actions.ReadJournal(operation_id, shard.name),)


def _find_shard_of_operation(
    board: Board, operation_id: str
) -> rows.JournalShardRow | None:
    prefix, _, rest = operation_id.partition("/")
    if prefix != JOURNAL_OPERATION_PREFIX:
        return None
    shard = board.journal_shards_by_name.get(rest.partition("/")[0])
    return shard if shard is not None and shard.operation_id == operation_id else None


@decide.register(events.JournalRead)
def _apply_journal_read(
    event: events.JournalRead, board: Board, now: float, random: Random
) -> Actions:
    shard = _find_shard_of_operation(board, event.operation_id)
    if shard is None:
        return ()
    # An unchanged version shows that no other process has written the shard since.
    shard = shard._replace(
        operation_id="",
        version=event.version,
        contended=shard.contended and event.version != shard.version,
        records_by_key={record.key: record for record in event.records},
    )
    if shard.unresolved_version != event.version:
        shard = shard._replace(unresolved_version=-1)
    put_shard(board, shard)
    return _advance_pending_claims(board, shard.name, True, now, random)


def _advance_pending_claims(
    board: Board, name: str, is_fresh: bool, now: float, random: Random
) -> Actions:
    """Compare the pending claims with the journal and start a read or write.

    ``is_fresh`` tells whether the shard has just been read from the store.
    """
    decided = list(_apply_final_comparisons(board, name, is_fresh, now))
    shard = find_shard(board, name)
    comparison_by_key = _compare_pending_claims(board, shard, is_fresh, now)
    if "read" in comparison_by_key.values():
        return (*decided, *_start_read(board, shard, random))
    if not comparison_by_key:
        return (*decided, actions.Emit(events.JournalSettled(name)))
    if now < shard.write_not_before:
        return (*decided, *schedule_shard_flush(board, shard, shard.write_not_before))
    decided.extend(_start_write(board, shard, comparison_by_key, now, random))
    return decided


def _compare_pending_claims(
    board: Board, shard: rows.JournalShardRow, is_fresh: bool, now: float
) -> dict[str, str]:
    has_unresolved_write = shard.unresolved_version >= 0
    return {
        key: compare_claim_with_record(
            board.claims_by_key[key],
            find_unexpired_record(shard, key, now),
            is_fresh,
            has_unresolved_write,
        )
        for key in shard.pending_keys
        if key in board.claims_by_key
    }


def _apply_final_comparisons(
    board: Board, name: str, is_fresh: bool, now: float
) -> Actions:
    """Apply the results that are final; claims that need a store call stay pending."""
    shard = find_shard(board, name)
    comparison_by_key = _compare_pending_claims(board, shard, is_fresh, now)
    final_keys = {
        key
        for key, comparison in comparison_by_key.items()
        if comparison in ("won", "duplicate", "done")
    }
    put_shard(
        board,
        shard._replace(
            pending_keys=tuple(
                key for key in comparison_by_key if key not in final_keys
            )
        ),
    )
    decided: list[actions.Action] = []
    for key in final_keys:
        claim = board.claims_by_key[key]
        if comparison_by_key[key] == "won":
            decided.extend(send_call_of_won_claim(board, claim, now))
        elif comparison_by_key[key] == "duplicate":
            decided.extend(
                answer_calls_of_lost_claim(board, claim, shard.records_by_key[key])
            )
        elif claim.state in ("finished", "abandoned"):
            del board.claims_by_key[key]
    return decided


def _start_write(
    board: Board,
    shard: rows.JournalShardRow,
    comparison_by_key: dict[str, str],
    now: float,
    random: Random,
) -> Actions:
    records_by_step: dict[str, dict[str, rows.JournalRecord]] = {
        "insert": {},
        "replace": {},
    }
    removed_keys = []
    # A claim to confirm changes no record; the write only has to change the version.
    for key, comparison in comparison_by_key.items():
        if comparison == "remove":
            removed_keys.append(key)
        elif comparison in records_by_step:
            record = build_journal_record(
                board.claims_by_key[key], *own_identity(board)
            )
            records_by_step[comparison][key] = record
    settings = board.settings.idempotency
    plan = plan_journal_write(
        (record for record in shard.records_by_key.values() if now < record.expires_at),
        removed_keys,
        records_by_step["replace"],
        records_by_step["insert"],
        settings.journal_bytes,
    )
    decided: list[actions.Action] = []
    for key in plan.refused_keys:
        row = board.requests_by_id[board.claims_by_key[key].request_id]
        decided.extend(end_call_with_error(row, result_codes.JOURNAL_FULL))
    if len(plan.refused_keys) == len(comparison_by_key):
        return decided
    operation_id = _new_operation_id(shard, random)
    written_shard = shard._replace(
        operation_id=operation_id,
        written_by_key=plan.records_by_key,
        write_not_before=now + settings.batch_interval_seconds,
        flush_at=0.0,
    )
    put_shard(board, written_shard)
    return (
        *decided,
        actions.WriteJournal(
            operation_id,
            shard.name,
            tuple(plan.records_by_key.values()),
            shard.version,
        ),
    )


@decide.register(events.ObjectWritten)
def _apply_write_result(
    event: events.ObjectWritten, board: Board, now: float, random: Random
) -> Actions:
    shard = _find_shard_of_operation(board, event.operation_id)
    if shard is None:
        return ()
    # The store has processed this write. Whether it was accepted or the version had
    # changed before, earlier writes for the same version can no longer succeed.
    shard = shard._replace(operation_id="", unresolved_version=-1)
    if not event.accepted:
        shard = shard._replace(written_by_key=None, contended=True)
        put_shard(board, shard)
        return (
            actions.Count(result_codes.RETRY_CLAIM_CONFLICT),
            *_start_read(board, shard, random),
        )
    assert shard.written_by_key is not None
    put_shard(
        board,
        shard._replace(
            version=event.version,
            records_by_key=shard.written_by_key,
            written_by_key=None,
        ),
    )
    resulting_actions = _apply_final_comparisons(board, shard.name, False, now)
    shard = find_shard(board, shard.name)
    if not shard.pending_keys:
        return (*resulting_actions, actions.Emit(events.JournalSettled(shard.name)))
    return (*resulting_actions, *schedule_shard_flush(board, shard, now))


@decide.register(events.StoreCallFailed)
def _schedule_read_after_failure(
    event: events.StoreCallFailed, board: Board, now: float, random: Random
) -> Actions:
    shard = _find_shard_of_operation(board, event.operation_id)
    if shard is None:
        return ()
    if shard.written_by_key is not None:
        shard = shard._replace(unresolved_version=shard.version)
    shard = shard._replace(operation_id="", version=-1, written_by_key=None)
    put_shard(board, shard)
    pause_seconds = STORE_RETRY_PAUSE_SECONDS * random.uniform(0.5, 1.5)
    return (
        actions.Count(result_codes.STORE_CALL_FAILED),
        *schedule_shard_flush(board, shard, now + pause_seconds),
    )
