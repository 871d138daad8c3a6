"""Memory of engines: predicted peak of own grants, correction of late reports."""

from __future__ import annotations

from math import sqrt
from operator import add, sub

from carawayhitch.board import Board
from carawayhitch.controllers import _lengths
from carawayhitch.controllers._lengths import HORIZONS
from carawayhitch.core import rows

# Every preemption lowers the memory target by 2%, at most to half; it recovers by 1% a
# second. Lowering it by a tenth for a single preemption cost 3% of the throughput.
BACKOFF_PER_PREEMPTION = 0.02
BACKOFF_MINIMUM = 0.5
BACKOFF_RECOVERY_PER_SECOND = 0.01
RECENT_FINISH_LIMIT = 512
NO_MEMORY = rows.MemoryRow((0.0,) * len(HORIZONS), (0.0,) * len(HORIZONS))


def predict_memory(
    board: Board, binding: str, held: float, produced: int, maximum_tokens: int
) -> rows.MemoryRow:
    """Return the memory of a request after each of `HORIZONS` further tokens.

    A request that goes on has grown by these tokens; one that ended holds nothing.

    Parameters
    ----------
    held : float
        Memory held now, in tokens.
    """
    shares = _lengths.survival_shares(board, binding, produced, maximum_tokens)
    means: list[float] = []
    variances: list[float] = []
    for share, horizon in zip(shares, HORIZONS, strict=True):
        size = held + horizon
        means.append(size * share)
        variances.append(size * size * share * (1.0 - share))
    return rows.MemoryRow(tuple(means), tuple(variances))


def add_memory(board: Board, upstream_id: str, memory: rows.MemoryRow) -> None:
    """Add the prediction for a request to that for its upstream."""
    known = board.memory_by_upstream_id.get(upstream_id, NO_MEMORY)
    _store(board, upstream_id, _sum(known, memory))


def subtract_memory(board: Board, upstream_id: str, memory: rows.MemoryRow) -> None:
    """Take the prediction for a request out of that for its upstream."""
    if upstream_id not in board.grant_ids_by_upstream_id:
        # Starting again from zero keeps rounding errors from adding up.
        board.memory_by_upstream_id.pop(upstream_id, None)
        return
    known = board.memory_by_upstream_id[upstream_id]
    left = rows.MemoryRow(
        tuple(map(sub, known.means, memory.means)),
        tuple(map(sub, known.variances, memory.variances)),
    )
    _store(board, upstream_id, left)


def _store(board: Board, upstream_id: str, memory: rows.MemoryRow) -> None:
    # Every choice reads the peak of every upstream, so it is computed once a change.
    board.memory_by_upstream_id[upstream_id] = memory._replace(peak=peak(board, memory))


def _sum(first: rows.MemoryRow, second: rows.MemoryRow) -> rows.MemoryRow:
    return rows.MemoryRow(
        tuple(map(add, first.means, second.means)),
        tuple(map(add, first.variances, second.variances)),
    )


def peak(board: Board, memory: rows.MemoryRow) -> float:
    """Return the highest predicted memory, with a margin for chance."""
    margin = board.settings.scheduling.memory_margin_deviations
    return max(
        mean + margin * sqrt(max(0.0, variance))
        for mean, variance in zip(memory.means, memory.variances, strict=True)
    )


def predicted_peak(board: Board, upstream_id: str) -> float:
    """Return the predicted peak of the grants of an upstream."""
    return board.memory_by_upstream_id.get(upstream_id, NO_MEMORY).peak


def peak_with(board: Board, upstream_id: str, memory: rows.MemoryRow) -> float:
    """Return the predicted peak if one more request were granted."""
    return peak(
        board, _sum(board.memory_by_upstream_id.get(upstream_id, NO_MEMORY), memory)
    )


def ledger(board: Board, upstream_id: str) -> rows.LedgerRow:
    """Return the ledger of an upstream."""
    return board.ledgers_by_upstream_id.get(upstream_id) or rows.LedgerRow()


def _held_at(grant: rows.GrantRow, time: float) -> int:
    """Return the memory of a grant at a time, by its rate so far."""
    elapsed = grant.renewed_at - grant.granted_at
    rate = grant.token_count / elapsed if elapsed > 0 else 0.0
    produced = grant.token_count + rate * (time - grant.renewed_at)
    return grant.prompt_tokens + max(0, int(produced))


def apply_load_report(board: Board, upstream: rows.UpstreamRow, now: float) -> None:
    """Compare a load report with the grants that were open when it was taken.

    What the report holds beyond them belongs to work that this scheduler does not
    know and counts as used until the next report.
    """
    known = ledger(board, upstream.upstream_id)
    reported_at = upstream.reported_at
    held = count = 0
    for request_id in board.grant_ids_by_upstream_id.get(upstream.upstream_id, ()):
        grant = board.grants_by_request_id[request_id]
        if grant.granted_at <= reported_at:
            held += _held_at(grant, reported_at)
            count += 1
    finishes = tuple(row for row in known.finishes if row.finished_at > reported_at)
    for row in finishes:
        if row.granted_at <= reported_at:
            held += row.memory
            count += 1
    board.ledgers_by_upstream_id[upstream.upstream_id] = _back_off(
        known._replace(
            foreign_tokens=max(0, upstream.memory_used - held),
            foreign_count=max(
                0, upstream.running_count + upstream.waiting_count - count
            ),
            finishes=finishes,
        ),
        upstream.preemption_count,
        now,
    )


def _back_off(
    known: rows.LedgerRow, preemption_count: int, now: float
) -> rows.LedgerRow:
    recovered = BACKOFF_RECOVERY_PER_SECOND * max(0.0, now - known.backoff_at)
    backoff = min(1.0, known.backoff + recovered)
    if 0 <= known.preemption_count < preemption_count:
        lost = BACKOFF_PER_PREEMPTION * (preemption_count - known.preemption_count)
        backoff = max(BACKOFF_MINIMUM, backoff - lost)
    return known._replace(
        preemption_count=preemption_count, backoff=backoff, backoff_at=now
    )


def record_finish(board: Board, grant: rows.GrantRow, now: float) -> None:
    """Keep what a finished grant held, for reports taken before it finished."""
    known = ledger(board, grant.upstream_id)
    finish = rows.FinishRow(
        grant.granted_at, now, grant.prompt_tokens + grant.token_count
    )
    finishes = (*known.finishes, finish)[-RECENT_FINISH_LIMIT:]
    board.ledgers_by_upstream_id[grant.upstream_id] = known._replace(finishes=finishes)


def memory_limit(board: Board, upstream: rows.UpstreamRow, now: float) -> float:
    """Return the tokens that grants may reach on an engine; infinite if unknown."""
    if not upstream.memory_capacity:
        return float("inf")
    known = ledger(board, upstream.upstream_id)
    recovered = BACKOFF_RECOVERY_PER_SECOND * max(0.0, now - known.backoff_at)
    backoff = min(1.0, known.backoff + recovered)
    target = board.settings.scheduling.memory_target
    return upstream.memory_capacity * target * backoff
