"""What leaving the zone costs a call, in seconds of wait."""

from __future__ import annotations

from itertools import pairwise

from carawayhitch.board import Board
from carawayhitch.controllers import _affinity, _lengths, _prefill
from carawayhitch.core import rows


def expected_answer_tokens(board: Board, binding: str, maximum_tokens: int) -> float:
    """Return the mean length of the answers of a binding, in tokens."""
    shares = _lengths.survival_shares(board, binding, 0, maximum_tokens)
    points = list(zip(_lengths.HORIZONS, shares, strict=True))
    return sum(
        (end - start) * (share + end_share) / 2
        for (start, share), (end, end_share) in pairwise(points)
    )


def leaving_seconds(board: Board, ask: rows.AskRow, is_engine: bool) -> float:
    """Return the additional wait that is worth as much as staying in the zone."""
    locality = board.settings.locality
    byte_count = locality.call_bytes
    if is_engine:
        answer_tokens = expected_answer_tokens(board, ask.binding, ask.maximum_tokens)
        byte_count = (
            ask.prompt_tokens * locality.prompt_token_bytes
            + answer_tokens * locality.answer_token_bytes
        )
    return (
        locality.round_trip_seconds
        + byte_count / 1_000_000 * locality.seconds_per_megabyte
    )


def cached_prefix_seconds(board: Board, ask: rows.AskRow, upstream_id: str) -> float:
    """Return the prefill time that an engine's cached part of a prompt saves."""
    if not ask.prefix_blocks:
        return 0.0
    cached = _affinity.cached_prefix_length(board, upstream_id, ask.prefix_blocks)
    tokens = cached * board.settings.locality.prefix_block_tokens
    return _prefill.prefill_seconds(board, min(ask.prompt_tokens, int(tokens)))
