"""Output lengths of a binding: how many requests go on after n tokens."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Sequence
from typing import NamedTuple

from carawayhitch.board import Board
from carawayhitch.controllers._cells import engine_capacity
from carawayhitch.core import rows

BUCKET_EDGES = (0, *sorted({round(4 * 2 ** (step / 2)) for step in range(31)}))
# Numbers of further tokens at which memory is predicted. Outputs are short at first,
# so the points are closer there; the last one covers tens of thousands of tokens.
HORIZONS = (0, 32, 64, 128, 256, 512, 1024, 2048, 4096, 8192, 16384)
# Without data, the share of requests longer than n is (1 + n / 256) ** -2: a heavy
# tail with a mean of 256 tokens. It weighs as much as four requests, so it also
# stands in for a tail that few requests have reached.
COLD_START_TOKENS = 256.0
COLD_START_REQUESTS = 4.0
# Older lengths count half after this many requests, so that a change of the
# workload shows within a few thousand requests.
LENGTH_SAMPLE_LIMIT = 2000.0
# The table of shares is computed again when the data has grown by this share.
SURVIVAL_REFRESH_SHARE = 1 / 32


class LengthPoint(NamedTuple):
    """A length at which the share of longer requests is needed.

    Parameters
    ----------
    bucket : int
        Bucket of the length.
    passed : float
        Part of the bucket that is shorter than the length.
    cold_start : float
        Weight of longer requests by the default without data.
    """

    bucket: int
    passed: float
    cold_start: float


def _point(length: float) -> LengthPoint:
    bucket = bisect_right(BUCKET_EDGES, length) - 1
    passed = 0.0
    if bucket + 1 < len(BUCKET_EDGES):
        low, high = BUCKET_EDGES[bucket], BUCKET_EDGES[bucket + 1]
        passed = (length - low) / (high - low)
    share = (1.0 + length / COLD_START_TOKENS) ** -2
    return LengthPoint(bucket, passed, COLD_START_REQUESTS * float(share))


# The lengths do not depend on the data, so only the counts are looked up each time.
LENGTH_POINTS = tuple(
    tuple(_point(edge + horizon) for horizon in HORIZONS) for edge in BUCKET_EDGES
)


def _longer(counts: Sequence[float]) -> list[float]:
    """Return the number of requests at least as long as each edge."""
    found = [0.0]
    for count in reversed(counts):
        found.append(found[-1] + count)
    found.reverse()
    return found


def survival(counts: Sequence[float]) -> tuple[tuple[float, ...], ...]:
    """Return the shares of requests that go on, given what they have produced.

    Returns
    -------
    tuple of tuple of float
        For each bucket edge, the share of the requests at this length that produce
        each of `HORIZONS` further tokens.
    """
    longer = _longer(counts)
    table = []
    for points in LENGTH_POINTS:
        weights = [
            longer[bucket] - (longer[bucket] - longer[bucket + 1]) * passed + cold_start
            for bucket, passed, cold_start in points
        ]
        table.append(tuple([weight / weights[0] for weight in weights]))
    return tuple(table)


NO_LENGTHS = rows.LengthsRow(
    (0.0,) * len(BUCKET_EDGES), survival((0.0,) * len(BUCKET_EDGES)), 0.0
)


def tokens_per_event(board: Board, group: str) -> int:
    """Return the tokens that one event of a stream of a serving group holds."""
    capacity = engine_capacity(board, group)
    return capacity.tokens_per_event if capacity else 1


def record_output_length(board: Board, binding: str, length: int) -> None:
    """Add the length of a complete answer to the lengths of its binding."""
    known = board.lengths_by_binding.get(binding, NO_LENGTHS)
    counts = list(known.counts)
    counts[bisect_right(BUCKET_EDGES, length) - 1] += 1.0
    total = sum(counts)
    updated = rows.LengthsRow(tuple(counts), known.survival, known.survival_total)
    if total - known.survival_total >= SURVIVAL_REFRESH_SHARE * total:
        if total >= LENGTH_SAMPLE_LIMIT:
            counts = [count / 2 for count in counts]
            total /= 2
        updated = rows.LengthsRow(tuple(counts), survival(counts), total)
    board.lengths_by_binding[binding] = updated


def survival_shares(
    board: Board, binding: str, produced: int, maximum_tokens: int
) -> tuple[float, ...]:
    """Return the shares of requests that go on for each of `HORIZONS`.

    Parameters
    ----------
    produced : int
        Tokens produced so far.
    maximum_tokens : int
        Bound that the caller set; 0 for none.
    """
    known = board.lengths_by_binding.get(binding, NO_LENGTHS)
    shares = known.survival[bisect_right(BUCKET_EDGES, produced) - 1]
    if not maximum_tokens:
        return shares
    left = max(0, maximum_tokens - produced)
    return tuple(
        share if horizon <= left else 0.0
        for share, horizon in zip(shares, HORIZONS, strict=True)
    )
