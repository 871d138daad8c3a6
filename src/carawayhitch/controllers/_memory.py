"""Memory of engines: predicted peak of own grants, correction of late reports."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Sequence

from carawayhitch.board import Board
from carawayhitch.core import rows

# Each report with new preemptions lowers the memory target by a tenth, at most to
# half; it recovers by 1% a second, slower than it falls, so that it settles.
BACKOFF_FACTOR = 0.9
BACKOFF_MINIMUM = 0.5
BACKOFF_RECOVERY_PER_SECOND = 0.01
FINISH_LIMIT = 512


def predict(profile: Sequence[tuple[float, int]]) -> rows.PredictionRow:
    """Return the memory that requests reach together.

    Requests produce one token a step each, so memory peaks directly before one of
    them finishes: then each longer one has grown by the same number of tokens.

    Parameters
    ----------
    profile : sequence of (float, int)
        Remaining tokens and memory held, the longest remaining first.
    """
    held_sums = [0]
    longer_peaks = [0.0]
    ends: list[float] = []
    held = 0
    peak = 0.0
    for remaining, memory in profile:
        held += memory
        held_sums.append(held)
        end = held + len(held_sums) * remaining - remaining
        ends.append(end + remaining)
        if end > peak:
            peak = end
        longer_peaks.append(peak)
    shorter_peaks = [0.0]
    shorter = 0.0
    for end in reversed(ends):
        if end > shorter:
            shorter = end
        shorter_peaks.append(shorter)
    shorter_peaks.reverse()
    return rows.PredictionRow(
        negative_remaining=tuple([-remaining for remaining, _ in profile]),
        held_sums=tuple(held_sums),
        longer_peaks=tuple(longer_peaks),
        shorter_peaks=tuple(shorter_peaks),
        peak=peak,
    )


def prediction(board: Board, upstream_id: str) -> rows.PredictionRow:
    """Return the prediction for an upstream, computed again after a change."""
    known = board.predictions_by_upstream_id.get(upstream_id)
    if known is not None:
        return known
    grants = board.grants_by_request_id
    profile = sorted(
        [
            (grant.remaining, grant.prompt_tokens + grant.token_count)
            for grant in map(
                grants.__getitem__, board.grant_ids_by_upstream_id.get(upstream_id, ())
            )
        ],
        reverse=True,
    )
    predicted = predict(profile)
    board.predictions_by_upstream_id[upstream_id] = predicted
    return predicted


def peak_with(known: rows.PredictionRow, remaining: float, prompt_tokens: int) -> float:
    """Return the predicted peak if one more request were granted.

    The request holds memory until it ends, so it adds to the ends of shorter ones
    and leaves those of longer ones as they are.
    """
    index = bisect_right(known.negative_remaining, -remaining)
    own_end = known.held_sums[index] + prompt_tokens + (index + 1) * remaining
    shorter = known.shorter_peaks[index]
    return max(
        known.longer_peaks[index], own_end, shorter + prompt_tokens if shorter else 0.0
    )


def forget_prediction(board: Board, upstream_id: str) -> None:
    """Have the prediction computed again when it is next needed."""
    board.predictions_by_upstream_id.pop(upstream_id, None)


def ledger(board: Board, upstream_id: str) -> rows.LedgerRow:
    """Return the ledger of an upstream."""
    return board.ledgers_by_upstream_id.get(upstream_id) or rows.LedgerRow()


def _held_at(grant: rows.GrantRow, time: float) -> int:
    """Return the memory of a grant at a time, by its rate so far."""
    elapsed = grant.renewed_at - grant.granted_at
    rate = grant.token_count / elapsed if elapsed > 0 else 0.0
    produced = grant.token_count + rate * (time - grant.renewed_at)
    return grant.prompt_tokens + max(0, int(produced))


def take_report(board: Board, upstream: rows.UpstreamRow, now: float) -> None:
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
        backoff = max(BACKOFF_MINIMUM, backoff * BACKOFF_FACTOR)
    return known._replace(
        preemption_count=preemption_count, backoff=backoff, backoff_at=now
    )


def note_finish(board: Board, grant: rows.GrantRow, now: float) -> None:
    """Keep what a finished grant held, for reports taken before it finished."""
    known = ledger(board, grant.upstream_id)
    finish = rows.FinishRow(
        grant.granted_at, now, grant.prompt_tokens + grant.token_count
    )
    finishes = (*known.finishes, finish)[-FINISH_LIMIT:]
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
