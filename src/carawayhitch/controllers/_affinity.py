"""Prefix cache contents of engines, estimated from cache events and grants."""

from __future__ import annotations

from collections.abc import Sequence

from carawayhitch.board import Board
from carawayhitch.controllers._controller import Actions
from carawayhitch.core import actions, events, result_codes, rows

# An estimate larger than the cache of the engine only causes cache misses. The limit
# keeps a scheduler of 12 upstreams within a few megabytes.
CACHED_BLOCK_LIMIT = 4096


def last_cache_sequence(board: Board, upstream_id: str) -> int:
    """Return the sequence number of the last applied cache event."""
    return board.cache_cursors_by_upstream_id.get(
        upstream_id, rows.CacheCursorRow()
    ).sequence


def apply_cache_event(event: events.CacheChanged, board: Board) -> Actions:
    """Update the estimated cache contents of an engine.

    Duplicate events are ignored. A gap in the sequence is only counted in metrics: a
    block whose eviction was missed causes a cache miss and is dropped by age.
    """
    last_sequence = last_cache_sequence(board, event.upstream_id)
    if event.sequence <= last_sequence:
        return ()
    board.cache_cursors_by_upstream_id[event.upstream_id] = rows.CacheCursorRow(
        event.sequence
    )
    record_cached_blocks(board, event.upstream_id, event.stored_blocks)
    blocks = board.cached_blocks_by_upstream_id[event.upstream_id]
    for block in event.evicted_blocks:
        blocks.pop(block, None)
    if last_sequence and event.sequence > last_sequence + 1:
        return (actions.Count(result_codes.CACHE_EVENT_GAP),)
    return ()


def record_cached_blocks(
    board: Board, upstream_id: str, stored_blocks: Sequence[str]
) -> None:
    """Record blocks that an engine caches or is about to cache, newest last."""
    blocks = board.cached_blocks_by_upstream_id.setdefault(upstream_id, {})
    for block in stored_blocks:
        blocks.pop(block, None)
        blocks[block] = None
    while len(blocks) > CACHED_BLOCK_LIMIT:
        del blocks[next(iter(blocks))]


def delete_cache_estimate(board: Board, upstream_id: str) -> None:
    """Delete the estimated cache contents of an engine that restarted or left."""
    board.cached_blocks_by_upstream_id.pop(upstream_id, None)
    board.cache_cursors_by_upstream_id.pop(upstream_id, None)


def cached_prefix_length(board: Board, upstream_id: str, prefix: Sequence[str]) -> int:
    """Return the estimated number of leading blocks that an engine has cached."""
    blocks = board.cached_blocks_by_upstream_id.get(upstream_id)
    if not blocks:
        return 0
    for index, block in enumerate(prefix):
        if block not in blocks:
            return index
    return len(prefix)
