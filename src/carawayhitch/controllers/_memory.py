"""KV cache memory of engines: predicted peak of grants, correction of load reports."""

from __future__ import annotations

from math import sqrt
from operator import add, sub

from carawayhitch.board import Board
from carawayhitch.controllers import _lengths
from carawayhitch.controllers._lengths import HORIZONS
from carawayhitch.core import rows

# Each preemption lowers the memory target by 2%, down to half of it at most, and it
# recovers by 1% per second. Steps of 10% per preemption reduced throughput by 3%.
BACKOFF_PER_PREEMPTION = 0.02
BACKOFF_MINIMUM = 0.5
BACKOFF_RECOVERY_PER_SECOND = 0.01
RECENT_FINISH_LIMIT = 512
NO_MEMORY = rows.MemoryForecastRow((0.0,) * len(HORIZONS), (0.0,) * len(HORIZONS))


def predict_memory(
    board: Board,
    binding: str,
    held_tokens: float,
    produced_tokens: int,
    maximum_tokens: int,
) -> rows.MemoryForecastRow:
    """Return the predicted memory of a request after each of `HORIZONS` more tokens.

    A request that continues has grown by these tokens; one that has ended holds no
    memory.

    Parameters
    ----------
    held_tokens : float
        Memory that the request holds now, in tokens.
    """
    shares = _lengths.survival_shares(board, binding, produced_tokens, maximum_tokens)
    means: list[float] = []
    variances: list[float] = []
    for share, horizon in zip(shares, HORIZONS, strict=True):
        size = held_tokens + horizon
        means.append(size * share)
        variances.append(size * size * share * (1.0 - share))
    return rows.MemoryForecastRow(tuple(means), tuple(variances))


def add_memory(board: Board, upstream_id: str, memory: rows.MemoryForecastRow) -> None:
    """Add the prediction of a request to the total of its upstream."""
    current = board.memory_forecasts_by_upstream_id.get(upstream_id, NO_MEMORY)
    _store_with_peak(board, upstream_id, _add_predictions(current, memory))


def subtract_memory(
    board: Board, upstream_id: str, memory: rows.MemoryForecastRow
) -> None:
    """Subtract the prediction of a request from the total of its upstream."""
    if upstream_id not in board.grant_ids_by_upstream_id:
        # Resetting to zero keeps rounding errors from accumulating.
        board.memory_forecasts_by_upstream_id.pop(upstream_id, None)
        return
    current = board.memory_forecasts_by_upstream_id[upstream_id]
    remaining = rows.MemoryForecastRow(
        tuple(map(sub, current.means, memory.means)),
        tuple(map(sub, current.variances, memory.variances)),
    )
    _store_with_peak(board, upstream_id, remaining)


def _store_with_peak(
    board: Board, upstream_id: str, memory: rows.MemoryForecastRow
) -> None:
    # Each placement reads the peaks of all upstreams, so they are computed on change.
    board.memory_forecasts_by_upstream_id[upstream_id] = memory._replace(
        peak=memory_peak(board, memory)
    )


def _add_predictions(
    first: rows.MemoryForecastRow, second: rows.MemoryForecastRow
) -> rows.MemoryForecastRow:
    return rows.MemoryForecastRow(
        tuple(map(add, first.means, second.means)),
        tuple(map(add, first.variances, second.variances)),
    )


def memory_peak(board: Board, memory: rows.MemoryForecastRow) -> float:
    """Return the highest predicted memory, with a margin for its variance."""
    margin = board.settings.scheduling.memory_margin_deviations
    return max(
        mean + margin * sqrt(max(0.0, variance))
        for mean, variance in zip(memory.means, memory.variances, strict=True)
    )


def predicted_peak(board: Board, upstream_id: str) -> float:
    """Return the predicted peak memory of the grants of an upstream."""
    return board.memory_forecasts_by_upstream_id.get(upstream_id, NO_MEMORY).peak


def peak_with(board: Board, upstream_id: str, memory: rows.MemoryForecastRow) -> float:
    """Return the predicted peak memory of an upstream with one more request."""
    return memory_peak(
        board,
        _add_predictions(
            board.memory_forecasts_by_upstream_id.get(upstream_id, NO_MEMORY), memory
        ),
    )


def ledger(board: Board, upstream_id: str) -> rows.LoadReconciliationRow:
    """Return the ledger of an upstream; an empty one if it has none."""
    return (
        board.load_reconciliations_by_upstream_id.get(upstream_id)
        or rows.LoadReconciliationRow()
    )


def _estimated_tokens_at(grant: rows.GrantRow, time: float) -> int:
    """Return the memory of a grant at a time, extrapolated from its average rate."""
    elapsed_seconds = grant.renewed_at - grant.granted_at
    tokens_per_second = (
        grant.token_count / elapsed_seconds if elapsed_seconds > 0 else 0.0
    )
    produced_tokens = grant.token_count + tokens_per_second * (time - grant.renewed_at)
    return grant.prompt_tokens + max(0, int(produced_tokens))


def apply_load_report(board: Board, upstream: rows.UpstreamRow, now: float) -> None:
    """Compare a load report with the grants that were open when it was taken.

    Memory and requests beyond those of the grants belong to work that this scheduler
    does not know of. They count as used until the next report.
    """
    current = ledger(board, upstream.upstream_id)
    reported_at = upstream.reported_at
    held_tokens = request_count = 0
    for request_id in board.grant_ids_by_upstream_id.get(upstream.upstream_id, ()):
        grant = board.grants_by_request_id[request_id]
        if grant.granted_at <= reported_at:
            held_tokens += _estimated_tokens_at(grant, reported_at)
            request_count += 1
    recent_finished_grants = tuple(
        row for row in current.recent_finished_grants if row.finished_at > reported_at
    )
    for row in recent_finished_grants:
        if row.granted_at <= reported_at:
            held_tokens += row.memory
            request_count += 1
    board.load_reconciliations_by_upstream_id[upstream.upstream_id] = _back_off(
        current._replace(
            unattributed_tokens=max(0, upstream.memory_used - held_tokens),
            unattributed_request_count=max(
                0, upstream.running_count + upstream.waiting_count - request_count
            ),
            recent_finished_grants=recent_finished_grants,
        ),
        upstream.preemption_count,
        now,
    )


def _back_off(
    current: rows.LoadReconciliationRow, preemption_count: int, now: float
) -> rows.LoadReconciliationRow:
    recovered = BACKOFF_RECOVERY_PER_SECOND * max(0.0, now - current.backoff_at)
    backoff = min(1.0, current.backoff + recovered)
    if 0 <= current.preemption_count < preemption_count:
        reduction = BACKOFF_PER_PREEMPTION * (
            preemption_count - current.preemption_count
        )
        backoff = max(BACKOFF_MINIMUM, backoff - reduction)
    return current._replace(
        preemption_count=preemption_count, backoff=backoff, backoff_at=now
    )


def record_finish(board: Board, grant: rows.GrantRow, now: float) -> None:
    """Record the memory of a finished grant, for reports taken before it finished."""
    current = ledger(board, grant.upstream_id)
    finish = rows.FinishedGrantRow(
        grant.granted_at, now, grant.prompt_tokens + grant.token_count
    )
    recent_finished_grants = (*current.recent_finished_grants, finish)[
        -RECENT_FINISH_LIMIT:
    ]
    board.load_reconciliations_by_upstream_id[grant.upstream_id] = current._replace(
        recent_finished_grants=recent_finished_grants
    )


def memory_limit(board: Board, upstream: rows.UpstreamRow, now: float) -> float:
    """Return the memory limit of an engine in tokens; infinite if not known."""
    if not upstream.memory_capacity:
        return float("inf")
    current = ledger(board, upstream.upstream_id)
    recovered = BACKOFF_RECOVERY_PER_SECOND * max(0.0, now - current.backoff_at)
    backoff = min(1.0, current.backoff + recovered)
    target = board.settings.scheduling.memory_target
    return upstream.memory_capacity * target * backoff
