"""Access to the rows of claims and journal shards, and scheduling of flushes."""

from __future__ import annotations

from carawayhitch.board import Board
from carawayhitch.controllers._controller import Actions
from carawayhitch.core import actions, events, rows


def shard_name(key: str, shard_count: int) -> str:
    """Return the name of the shard, one journal object, that holds a key."""
    return f"{int(key[:8], 16) % shard_count:04d}"


def find_shard(board: Board, name: str) -> rows.JournalShardRow:
    """Return the row of a shard, or an empty row if the shard was not used yet."""
    return board.journal_shards_by_name.get(name, rows.JournalShardRow(name))


def put_shard(board: Board, shard: rows.JournalShardRow) -> None:
    """Store the row of a shard."""
    board.journal_shards_by_name[shard.name] = shard


def put_claim(board: Board, claim: rows.ClaimRow) -> None:
    """Store the row of a claim."""
    board.claims_by_key[claim.key] = claim


def own_identity(board: Board) -> tuple[str, int]:
    """Return the node id and incarnation that this process writes to its records."""
    return board.node_id, board.lifecycle.incarnation


def schedule_claim_flush(
    board: Board, claim: rows.ClaimRow, flush_at: float
) -> Actions:
    """Mark a claim as pending in its shard and schedule a flush of the shard.

    Claims in memory only, which have no shard, need no flush.
    """
    if not claim.shard:
        return ()
    shard = find_shard(board, claim.shard)
    if claim.key not in shard.pending_keys:
        shard = shard._replace(pending_keys=(*shard.pending_keys, claim.key))
    put_shard(board, shard)
    return schedule_shard_flush(board, shard, flush_at)


def schedule_shard_flush(
    board: Board, shard: rows.JournalShardRow, flush_at: float
) -> Actions:
    """Set the timer of the next flush, at the earliest when a write is allowed again.

    No timer is set while a store call of the shard runs, or if a flush is already
    scheduled for that time or an earlier one.
    """
    flush_at = max(flush_at, shard.write_not_before)
    if shard.operation_id or 0.0 < shard.flush_at <= flush_at:
        return ()
    put_shard(board, shard._replace(flush_at=flush_at))
    return (actions.SetTimer(flush_at, events.JournalFlush(shard.name)),)
