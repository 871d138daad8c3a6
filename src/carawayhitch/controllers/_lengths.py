"""Expected remaining output of a request whose length is not known in advance."""

from __future__ import annotations

from bisect import bisect_right

from carawayhitch.board import Board
from carawayhitch.core import rows

BUCKET_EDGES = (0, *sorted({round(4 * 2 ** (step / 2)) for step in range(32)}))
# With no data the remaining output is taken as 256 tokens plus what was produced,
# the mean residual life of a Pareto tail with exponent 2.
COLD_START_TOKENS = 256.0
COLD_START_REQUESTS = 4.0
# Older lengths count half after this many requests, so that a change of the
# workload shows within a few thousand requests.
REQUEST_LIMIT = 2000.0

EMPTY = rows.LengthsRow(
    (0.0,) * len(BUCKET_EDGES),
    (0.0,) * len(BUCKET_EDGES),
    tuple(COLD_START_TOKENS + edge for edge in BUCKET_EDGES),
)


def note_length(board: Board, binding: str, length: int) -> None:
    """Add the length of a complete answer to the lengths of its binding."""
    known = board.lengths_by_binding.get(binding, EMPTY)
    scale = 0.5 if sum(known.counts) >= REQUEST_LIMIT else 1.0
    counts = [count * scale for count in known.counts]
    sums = [total * scale for total in known.sums]
    index = bisect_right(BUCKET_EDGES, length) - 1
    counts[index] += 1.0
    sums[index] += length
    board.lengths_by_binding[binding] = rows.LengthsRow(
        tuple(counts), tuple(sums), residuals(counts, sums)
    )


def residuals(counts: list[float], sums: list[float]) -> tuple[float, ...]:
    """Return the mean residual life at each bucket edge.

    The cold start default weighs as much as a few requests, so it also stands in
    for a tail that few requests have reached.
    """
    found: list[float] = []
    count = total = 0.0
    for index in range(len(BUCKET_EDGES) - 1, -1, -1):
        edge = BUCKET_EDGES[index]
        count += counts[index]
        total += sums[index]
        default = COLD_START_REQUESTS * (COLD_START_TOKENS + edge)
        found.append((total - edge * count + default) / (count + COLD_START_REQUESTS))
    return tuple(reversed(found))


def expected_remaining(
    lengths: rows.LengthsRow, produced: int, maximum_tokens: int
) -> float:
    """Return the expected number of tokens still to come.

    Parameters
    ----------
    lengths : LengthsRow
        Lengths of the binding; `EMPTY` if none finished yet.
    produced : int
        Tokens produced so far.
    maximum_tokens : int
        Bound that the caller set; 0 for none.
    """
    remaining = lengths.residuals[bisect_right(BUCKET_EDGES, produced) - 1]
    if maximum_tokens:
        return min(remaining, max(0.0, float(maximum_tokens - produced)))
    return remaining


def expected_output(
    board: Board, binding: str, produced: int, maximum_tokens: int
) -> float:
    """Return the expected remaining tokens of a request of a binding."""
    lengths = board.lengths_by_binding.get(binding, EMPTY)
    return expected_remaining(lengths, produced, maximum_tokens)
