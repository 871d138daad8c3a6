"""Journal objects: claims of this process are compared with the store and written.

At most one store call runs for each shard. A write that may still take effect is
remembered, so that an absent record is not taken for a free key.
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
# Pause before a failed store call is repeated, so that an outage costs few calls.
RETRY_SECONDS = 0.1

decide = new_controller()


@decide.register(events.JournalFlush)
def _flush(
    event: events.JournalFlush, board: Board, now: float, random: Random
) -> Actions:
    shard = find_shard(board, event.shard)
    if shard.operation_id or not shard.flush_at:
        return ()
    if now < shard.flush_at:
        # Event loops round timers to milliseconds and may fire early.
        return (actions.SetTimer(shard.flush_at, event),)
    shard = shard._replace(flush_at=0.0)
    put_shard(board, shard)
    if shard.version < 0 or shard.contended:
        return _start_read(board, shard, random)
    return _settle(board, shard.name, False, now, random)


def _operation_id(shard: rows.ShardRow, random: Random) -> str:
    return f"{JOURNAL_OPERATION_PREFIX}/{shard.name}/{new_nonce(random)}"


def _start_read(board: Board, shard: rows.ShardRow, random: Random) -> Actions:
    operation_id = _operation_id(shard, random)
    put_shard(board, shard._replace(operation_id=operation_id, flush_at=0.0))
    return (actions.ReadJournal(operation_id, shard.name),)


def _find_operation(board: Board, operation_id: str) -> rows.ShardRow | None:
    prefix, _, rest = operation_id.partition("/")
    if prefix != JOURNAL_OPERATION_PREFIX:
        return None
    shard = board.shards_by_name.get(rest.partition("/")[0])
    return shard if shard is not None and shard.operation_id == operation_id else None


@decide.register(events.JournalRead)
def _take_journal(
    event: events.JournalRead, board: Board, now: float, random: Random
) -> Actions:
    shard = _find_operation(board, event.operation_id)
    if shard is None:
        return ()
    shard = shard._replace(
        operation_id="",
        version=event.version,
        contended=shard.contended and event.version != shard.version,
        records_by_key={record.key: record for record in event.records},
    )
    if shard.unresolved_version != event.version:
        shard = shard._replace(unresolved_version=-1)
    put_shard(board, shard)
    return _settle(board, shard.name, True, now, random)


def _settle(
    board: Board, name: str, fresh: bool, now: float, random: Random
) -> Actions:
    """Compare the pending claims with the journal and start what they need."""
    decided = list(_resolve(board, name, fresh, now))
    shard = find_shard(board, name)
    verdicts = _verdicts(board, shard, fresh, now)
    if "read" in verdicts.values():
        return (*decided, *_start_read(board, shard, random))
    if not verdicts:
        return (*decided, actions.Emit(events.JournalSettled(name)))
    if now < shard.write_not_before:
        return (*decided, *schedule_shard_flush(board, shard, shard.write_not_before))
    decided.extend(_start_write(board, shard, verdicts, now, random))
    return decided


def _verdicts(
    board: Board, shard: rows.ShardRow, fresh: bool, now: float
) -> dict[str, str]:
    unresolved = shard.unresolved_version >= 0
    return {
        key: compare_claim_with_record(
            board.claims_by_key[key],
            find_unexpired_record(shard, key, now),
            fresh,
            unresolved,
        )
        for key in shard.pending_keys
        if key in board.claims_by_key
    }


def _resolve(board: Board, name: str, fresh: bool, now: float) -> Actions:
    """Act on the claims that the journal decides; the others stay pending."""
    shard = find_shard(board, name)
    verdicts = _verdicts(board, shard, fresh, now)
    decided_keys = {
        key for key, found in verdicts.items() if found in ("won", "duplicate", "done")
    }
    put_shard(
        board,
        shard._replace(
            pending_keys=tuple(key for key in verdicts if key not in decided_keys)
        ),
    )
    decided: list[actions.Action] = []
    for key in decided_keys:
        claim = board.claims_by_key[key]
        if verdicts[key] == "won":
            decided.extend(send_call_of_won_claim(board, claim, now))
        elif verdicts[key] == "duplicate":
            decided.extend(
                answer_calls_of_lost_claim(board, claim, shard.records_by_key[key])
            )
        elif claim.state in ("finished", "abandoned"):
            del board.claims_by_key[key]
    return decided


def _start_write(
    board: Board,
    shard: rows.ShardRow,
    verdicts: dict[str, str],
    now: float,
    random: Random,
) -> Actions:
    found: dict[str, dict[str, rows.JournalRecord]] = {"insert": {}, "replace": {}}
    removed = []
    for key, verdict in verdicts.items():
        if verdict == "remove":
            removed.append(key)
        elif verdict in found:
            record = build_journal_record(
                board.claims_by_key[key], *own_identity(board)
            )
            found[verdict][key] = record
    settings = board.settings.idempotency
    plan = plan_journal_write(
        (record for record in shard.records_by_key.values() if now < record.expires_at),
        removed,
        found["replace"],
        found["insert"],
        settings.journal_bytes,
    )
    decided: list[actions.Action] = []
    for key in plan.refused_keys:
        row = board.requests_by_id[board.claims_by_key[key].request_id]
        decided.extend(end_call_with_error(row, result_codes.JOURNAL_FULL))
    if len(plan.refused_keys) == len(verdicts):
        return decided
    operation_id = _operation_id(shard, random)
    written = shard._replace(
        operation_id=operation_id,
        written_by_key=plan.records_by_key,
        write_not_before=now + settings.batch_interval_seconds,
        flush_at=0.0,
    )
    put_shard(board, written)
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
def _take_written(
    event: events.ObjectWritten, board: Board, now: float, random: Random
) -> Actions:
    shard = _find_operation(board, event.operation_id)
    if shard is None:
        return ()
    # A write that arrived, accepted or not, ends every earlier one for this version.
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
    resolved = _resolve(board, shard.name, False, now)
    shard = find_shard(board, shard.name)
    if not shard.pending_keys:
        return (*resolved, actions.Emit(events.JournalSettled(shard.name)))
    return (*resolved, *schedule_shard_flush(board, shard, now))


@decide.register(events.StoreCallFailed)
def _read_back(
    event: events.StoreCallFailed, board: Board, now: float, random: Random
) -> Actions:
    shard = _find_operation(board, event.operation_id)
    if shard is None:
        return ()
    if shard.written_by_key is not None:
        shard = shard._replace(unresolved_version=shard.version)
    shard = shard._replace(operation_id="", version=-1, written_by_key=None)
    put_shard(board, shard)
    pause = RETRY_SECONDS * random.uniform(0.5, 1.5)
    return (
        actions.Count(result_codes.STORE_CALL_FAILED),
        *schedule_shard_flush(board, shard, now + pause),
    )
