"""Capacity of a cell in engines, and the work of asks in seconds of one engine."""

from __future__ import annotations

from math import exp

from carawayhitch.board import Board
from carawayhitch.controllers import _memory, _prefill, cold_start
from carawayhitch.controllers._backoffs import is_backing_off
from carawayhitch.controllers._cells import entry_scheduled_groups
from carawayhitch.controllers._health import is_ejected
from carawayhitch.controllers._upstream_choice import is_usable
from carawayhitch.core import rows

# Bursts last for seconds. A longer window would show them when they are over.
ARRIVAL_WINDOW_SECONDS = 3.0
ENGINE_TIME_WEIGHT = 0.1
# Below this rate, a row has no effect on a wait and is deleted.
NEGLIGIBLE_ENGINES = 0.001


def applies(board: Board, cell_id: str) -> bool:
    """Return whether waits in a cell are estimated from its capacity.

    They are not where each entry chooses upstreams by itself: it knows neither the
    calls of the others nor its share of the capacity.
    """
    if not board.settings.overload.enabled:
        return False
    cell = board.cells_by_id.get(cell_id)
    return cell is not None and cell.group not in entry_scheduled_groups(board)


def usable_engine_count(
    board: Board, cell: rows.CellRow, entry_id: str, now: float
) -> int:
    """Return the number of upstreams of a cell that accept work of an entry."""
    return sum(
        is_usable(board, upstream, now)
        and not is_ejected(board, upstream_id, now)
        and not is_backing_off(board, entry_id, upstream_id, now)
        and cold_start.has_room(board, upstream_id, now)
        for upstream_id in cell.upstream_ids
        if (upstream := board.upstreams_by_id.get(upstream_id)) is not None
    )


def work_seconds(board: Board, ask: rows.AskRow) -> float:
    """Return the time for which an ask alone would use up one engine.

    This is the prefill time of its prompt, or the expected time of its answer times
    its share of the engine's slots or memory, whichever is longest.
    """
    prefill = _prefill.prefill_seconds(board, ask.prompt_tokens)
    engine_time = board.engine_times_by_binding.get(ask.binding)
    if engine_time is None:
        return prefill
    cell = board.cells_by_id[ask.cell_id]
    upstream = next(
        (
            row
            for upstream_id in cell.upstream_ids
            if (row := board.upstreams_by_id.get(upstream_id)) is not None
        ),
        None,
    )
    if upstream is None:
        return prefill
    share = 1.0 / max(1, upstream.running_limit)
    if upstream.memory_capacity:
        memory = _memory.predict_memory(
            board, ask.binding, ask.prompt_tokens, 0, ask.maximum_tokens
        )
        usable = upstream.memory_capacity * board.settings.scheduling.memory_target
        share = max(share, max(memory.means) / usable)
    return max(prefill, engine_time.mean_seconds * min(1.0, share))


def record_engine_time(board: Board, grant: rows.GrantRow, now: float) -> None:
    """Add the time of a complete answer to the mean of its binding."""
    seconds = now - grant.granted_at
    current = board.engine_times_by_binding.get(grant.binding)
    if current is not None:
        difference = seconds - current.mean_seconds
        seconds = current.mean_seconds + ENGINE_TIME_WEIGHT * difference
    board.engine_times_by_binding[grant.binding] = rows.EngineTimeRow(seconds)


def arriving_engines(board: Board, cell_id: str, rank: str, now: float) -> float:
    """Return how many engines the arriving work of a rank would keep busy."""
    current = board.arriving_work_by_rank.get((cell_id, rank))
    if current is None:
        return 0.0
    return current.engines * exp(-(now - current.updated_at) / ARRIVAL_WINDOW_SECONDS)


def record_arrival(board: Board, ask: rows.AskRow, now: float) -> None:
    """Count the work of an ask that arrives.

    Callers leave out asks that wait already, later attempts, and those that came back.
    An ask that is repeated because its refusal was lost has a place, unless a limit of
    places was reached: then it counts twice.
    """
    engines = arriving_engines(board, ask.cell_id, ask.rank, now)
    engines += ask.work_seconds / ARRIVAL_WINDOW_SECONDS
    board.arriving_work_by_rank[ask.cell_id, ask.rank] = rows.ArrivingWorkRow(
        engines, now
    )


def delete_idle_arrivals(board: Board, now: float) -> None:
    """Delete the rows of ranks in which no work arrives any more."""
    for cell_id, rank in list(board.arriving_work_by_rank):
        if arriving_engines(board, cell_id, rank, now) < NEGLIGIBLE_ENGINES:
            del board.arriving_work_by_rank[cell_id, rank]
