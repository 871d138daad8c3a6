"""Prefix caches of engines, estimated from their events and from own grants."""

from __future__ import annotations

from collections.abc import Sequence

from carawayhitch.board import Board
from carawayhitch.controllers._controller import Actions
from carawayhitch.core import actions, events, result_codes, rows

# An estimate larger than an engine's cache only costs misses; the bound keeps a
# scheduler of 12 upstreams within a few megabytes.
CACHED_BLOCK_LIMIT = 4096


def last_cache_sequence(board: Board, upstream_id: str) -> int:
    """Return the sequence of the last cache event that was used."""
    return board.caches_by_upstream_id.get(upstream_id, rows.CacheRow()).sequence


def apply_cache_event(event: events.CacheChanged, board: Board) -> Actions:
    """Update the estimate of what an engine holds.

    Events that arrive twice are ignored. A gap is counted and nothing more: a block
    that was evicted in the gap costs a miss and drops out by age.
    """
    known = last_cache_sequence(board, event.upstream_id)
    if event.sequence <= known:
        return ()
    board.caches_by_upstream_id[event.upstream_id] = rows.CacheRow(event.sequence)
    record_cached_blocks(board, event.upstream_id, event.stored_blocks)
    blocks = board.blocks_by_upstream_id[event.upstream_id]
    for block in event.evicted_blocks:
        blocks.pop(block, None)
    if known and event.sequence > known + 1:
        return (actions.Count(result_codes.CACHE_EVENT_GAP),)
    return ()


def record_cached_blocks(board: Board, upstream_id: str, stored: Sequence[str]) -> None:
    """Note blocks that an engine holds or will hold, the newest last."""
    blocks = board.blocks_by_upstream_id.setdefault(upstream_id, {})
    for block in stored:
        blocks.pop(block, None)
        blocks[block] = None
    while len(blocks) > CACHED_BLOCK_LIMIT:
        del blocks[next(iter(blocks))]


def delete_cache_estimate(board: Board, upstream_id: str) -> None:
    """Forget the cache of an engine that restarted or left."""
    board.blocks_by_upstream_id.pop(upstream_id, None)
    board.caches_by_upstream_id.pop(upstream_id, None)


def cached_prefix_length(board: Board, upstream_id: str, prefix: Sequence[str]) -> int:
    """Return how many leading blocks an engine is thought to hold."""
    blocks = board.blocks_by_upstream_id.get(upstream_id)
    if not blocks:
        return 0
    for index, block in enumerate(prefix):
        if block not in blocks:
            return index
    return len(prefix)
