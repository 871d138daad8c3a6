"""Output length distribution of a binding: survival after n tokens."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Sequence
from typing import NamedTuple

from carawayhitch.board import Board
from carawayhitch.controllers._cells import engine_capacity
from carawayhitch.core import rows

BUCKET_EDGES = (0, *sorted({round(4 * 2 ** (step / 2)) for step in range(31)}))
# Numbers of further tokens for which memory is predicted. Most outputs are short, so
# the spacing is finer at the start; the last one covers tens of thousands of tokens.
HORIZONS = (0, 32, 64, 128, 256, 512, 1024, 2048, 4096, 8192, 16384)
# Prior for the share of requests longer than n tokens: (1 + n / 256) ** -2, a heavy
# tail with a mean of 256 tokens. It has the weight of four requests, so that it also
# fills in the tail of distributions that few requests have reached.
COLD_START_TOKENS = 256.0
COLD_START_REQUESTS = 4.0
# Recorded lengths are halved in weight after this many requests, so that a change of
# the workload takes effect within a few thousand requests.
LENGTH_SAMPLE_LIMIT = 2000.0
# The survival table is recomputed when the number of samples grew by this share.
SURVIVAL_REFRESH_SHARE = 1 / 32


class LengthPoint(NamedTuple):
    """Length at which the survival share is evaluated.

    Parameters
    ----------
    bucket : int
        Index of the bucket that contains the length.
    bucket_fraction : float
        Position of the length within its bucket, from 0 to 1.
    cold_start : float
        Weight that the prior gives to longer requests.
    """

    bucket: int
    bucket_fraction: float
    cold_start: float


def _length_point(length: float) -> LengthPoint:
    bucket = bisect_right(BUCKET_EDGES, length) - 1
    bucket_fraction = 0.0
    if bucket + 1 < len(BUCKET_EDGES):
        low, high = BUCKET_EDGES[bucket], BUCKET_EDGES[bucket + 1]
        bucket_fraction = (length - low) / (high - low)
    share = (1.0 + length / COLD_START_TOKENS) ** -2
    return LengthPoint(bucket, bucket_fraction, COLD_START_REQUESTS * float(share))


# Precomputed, because the lengths do not depend on the recorded data.
LENGTH_POINTS = tuple(
    tuple(_length_point(edge + horizon) for horizon in HORIZONS)
    for edge in BUCKET_EDGES
)


def _counts_at_least(counts: Sequence[float]) -> list[float]:
    """Return the number of requests at least as long as each bucket edge."""
    cumulative = [0.0]
    for count in reversed(counts):
        cumulative.append(cumulative[-1] + count)
    cumulative.reverse()
    return cumulative


def survival_table(counts: Sequence[float]) -> tuple[tuple[float, ...], ...]:
    """Return the conditional survival shares by produced and further tokens.

    Returns
    -------
    tuple of tuple of float
        For each bucket edge, the shares of the requests that reach this length and
        then produce each of `HORIZONS` further tokens.
    """
    at_least = _counts_at_least(counts)
    table_rows = []
    for points in LENGTH_POINTS:
        weights = [
            at_least[bucket]
            - (at_least[bucket] - at_least[bucket + 1]) * bucket_fraction
            + cold_start
            for bucket, bucket_fraction, cold_start in points
        ]
        table_rows.append(tuple([weight / weights[0] for weight in weights]))
    return tuple(table_rows)


NO_LENGTHS = rows.OutputLengthsRow(
    (0.0,) * len(BUCKET_EDGES), survival_table((0.0,) * len(BUCKET_EDGES)), 0.0
)


def tokens_per_event(board: Board, group: str) -> int:
    """Return the number of tokens per stream event of a serving group."""
    capacity = engine_capacity(board, group)
    return capacity.tokens_per_event if capacity else 1


def record_output_length(board: Board, binding: str, length: int) -> None:
    """Add the length of a complete output to the distribution of its binding."""
    current = board.output_lengths_by_binding.get(binding, NO_LENGTHS)
    counts = list(current.counts)
    counts[bisect_right(BUCKET_EDGES, length) - 1] += 1.0
    total = sum(counts)
    updated = rows.OutputLengthsRow(
        tuple(counts), current.survival, current.survival_total
    )
    if total - current.survival_total >= SURVIVAL_REFRESH_SHARE * total:
        if total >= LENGTH_SAMPLE_LIMIT:
            counts = [count / 2 for count in counts]
            total /= 2
        updated = rows.OutputLengthsRow(tuple(counts), survival_table(counts), total)
    board.output_lengths_by_binding[binding] = updated


def survival_shares(
    board: Board, binding: str, produced: int, maximum_tokens: int
) -> tuple[float, ...]:
    """Return the shares of requests that produce each of `HORIZONS` more tokens.

    Parameters
    ----------
    produced : int
        Tokens produced so far.
    maximum_tokens : int
        Output limit set by the caller; 0 for none.
    """
    current = board.output_lengths_by_binding.get(binding, NO_LENGTHS)
    shares = current.survival[bisect_right(BUCKET_EDGES, produced) - 1]
    if not maximum_tokens:
        return shares
    remaining = max(0, maximum_tokens - produced)
    return tuple(
        share if horizon <= remaining else 0.0
        for share, horizon in zip(shares, HORIZONS, strict=True)
    )
