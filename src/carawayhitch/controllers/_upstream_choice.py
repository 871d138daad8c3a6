"""Choice of an upstream for one ask: limits, memory, prefix cache, load."""

from __future__ import annotations

from typing import Any, Literal, NamedTuple

from carawayhitch.board import Board
from carawayhitch.controllers import _affinity, _memory, _prefill, _suspects
from carawayhitch.controllers._cells import rendezvous_score
from carawayhitch.controllers._health import is_ejected
from carawayhitch.controllers._ranks import (
    first_rank_is_active,
    floor_deficit,
    highest_priority,
    rank_class,
)
from carawayhitch.core import rows

# Keeps new requests away from an upstream that runs one on record, so that its
# next crash leaves no doubt about the cause; not at the price of a queue.
SUSPECT_PENALTY = 0.25

Blocked = Literal["", "ask", "cell"]


class PlacementRequirement(NamedTuple):
    """What an ask needs of an upstream.

    Parameters
    ----------
    ask : AskRow
        The ask.
    memory : MemoryRow
        Predicted memory of the request.
    share : float
        Part of slots and memory that the ask may fill.
    settling : bool
        Whether running requests may be unknown here.
    """

    ask: rows.AskRow
    memory: rows.MemoryRow
    share: float
    settling: bool


class Choice(NamedTuple):
    """Chosen upstream, or what stands in the way of any.

    Parameters
    ----------
    blocked : {"", "ask", "cell"}
        ``ask`` if constraints of this ask alone rule out every upstream, so that
        others may pass it; ``cell`` if the cell has no room.
    """

    upstream_id: str = ""
    blocked: Blocked = "cell"


def is_usable(board: Board, upstream: rows.UpstreamRow, now: float) -> bool:
    """Return whether an upstream may receive new work at all."""
    if not upstream.takes_work(now):
        return False
    return _suspects.may_receive_work(board, upstream)


def is_settling(board: Board, cell_id: str, now: float) -> bool:
    """Return whether running requests of the cell may still be unknown here."""
    return now < board.settle_deadlines_by_cell_id.get(cell_id, 0.0)


def upstream_load(board: Board, upstream: rows.UpstreamRow) -> float:
    """Return the load as a share of slots or predicted memory, the larger one."""
    known = _memory.ledger(board, upstream.upstream_id)
    count = len(board.grant_ids_by_upstream_id.get(upstream.upstream_id, ()))
    load = (count + known.foreign_count) / max(1, upstream.running_limit)
    if not upstream.memory_capacity:
        return load
    peak = _memory.predicted_peak(board, upstream.upstream_id)
    return max(load, (peak + known.foreign_tokens) / upstream.memory_capacity)


def _usable_share(board: Board, ask: rows.AskRow, now: float) -> float:
    """Return the part of slots and memory that an ask may fill.

    A rank below its floor may use the reserve as well, or the floor could not be
    kept while the first rank fills the rest.
    """
    if (
        rank_class(board, ask.rank).priority <= highest_priority(board)
        or not first_rank_is_active(board, ask.cell_id, now)
        or floor_deficit(board, ask.cell_id, ask.rank, now) > 0
    ):
        return 1.0
    return 1.0 - board.settings.scheduling.first_rank_reserve


def _need(
    board: Board, ask: rows.AskRow, share: float, now: float
) -> PlacementRequirement:
    return PlacementRequirement(
        ask=ask,
        memory=_memory.predict_memory(
            board, ask.binding, ask.prompt_tokens, 0, ask.maximum_tokens
        ),
        share=share,
        settling=is_settling(board, ask.cell_id, now),
    )


def has_slot(board: Board, upstream: rows.UpstreamRow, share: float) -> bool:
    """Return whether a slot is free; an idle upstream always has one."""
    occupied = _occupied(board, upstream)
    return not occupied or occupied + 1 <= upstream.running_limit * share


def _occupied(board: Board, upstream: rows.UpstreamRow) -> int:
    count = len(board.grant_ids_by_upstream_id.get(upstream.upstream_id, ()))
    return count + _memory.ledger(board, upstream.upstream_id).foreign_count


def has_room(
    board: Board, upstream: rows.UpstreamRow, need: PlacementRequirement, now: float
) -> bool:
    """Return whether slots and predicted memory allow one more request."""
    if not has_slot(board, upstream, need.share):
        return False
    if upstream.kind != "engine":
        return True
    if need.settling and (not upstream.reported_at or upstream.waiting_count):
        return False
    if not _prefill.has_prefill_room(board, upstream.upstream_id, now):
        return False
    # A request larger than the limit runs alone, or it would never run.
    if not _occupied(board, upstream):
        return True
    limit = need.share * _memory.memory_limit(board, upstream, now)
    known = _memory.ledger(board, upstream.upstream_id)
    limit -= _foreign_memory(board, known, need.ask)
    return _memory.peak_with(board, upstream.upstream_id, need.memory) <= limit


def _foreign_memory(board: Board, known: rows.LedgerRow, ask: rows.AskRow) -> float:
    """Return the memory of work of unknown origin, as if it had just started."""
    if not known.foreign_count:
        return known.foreign_tokens
    held = known.foreign_tokens / known.foreign_count
    predicted = _memory.predict_memory(board, ask.binding, held, 0, 0)
    return known.foreign_count * max(predicted.means)


def choose_upstream(
    board: Board, cell: rows.CellRow, ask: rows.AskRow, now: float
) -> Choice:
    """Return the upstream for an ask."""
    usable = [
        upstream
        for upstream_id in cell.upstream_ids
        if (upstream := board.upstreams_by_id.get(upstream_id)) is not None
        and is_usable(board, upstream, now)
    ]
    healthy = [row for row in usable if not is_ejected(board, row.upstream_id, now)]
    # Where most of them fail, the others would be flooded.
    if len(healthy) * 2 >= len(usable):
        usable = healthy
    suspects = _suspects.suspects_by_upstream(board, now)
    allowed = _allowed(board, cell, usable, ask, suspects, now)
    if usable and not allowed:
        return Choice(blocked="ask")
    share = _usable_share(board, ask, now)
    # Most choices find the cell full, so that is found out before loads are compared.
    if any(has_slot(board, upstream, share) for upstream in allowed):
        need = _need(board, ask, share, now)
        for upstream in _by_preference(board, allowed, ask, suspects, now):
            if has_room(board, upstream, need, now):
                return Choice(upstream.upstream_id, "")
    return Choice(blocked="cell" if len(allowed) == len(usable) else "ask")


def _allowed(
    board: Board,
    cell: rows.CellRow,
    usable: list[rows.UpstreamRow],
    ask: rows.AskRow,
    suspects: dict[str, set[str]],
    now: float,
) -> list[rows.UpstreamRow]:
    excluded = set(ask.excluded_upstream_ids)
    # A retry may return to an upstream only if it has been to all of the cell.
    if excluded.issuperset(cell.upstream_ids):
        excluded.clear()
    wanted = [row for row in usable if row.upstream_id not in excluded]
    if not wanted or wanted[0].kind != "engine":
        return wanted
    names = [row.upstream_id for row in wanted]
    names = _suspects.allowed_upstreams(board, ask.fingerprint, names, suspects, now)
    return [board.upstreams_by_id[name] for name in names]


def _by_preference(
    board: Board,
    allowed: list[rows.UpstreamRow],
    ask: rows.AskRow,
    suspects: dict[str, set[str]],
    now: float,
) -> list[rows.UpstreamRow]:
    goal = rank_class(board, ask.rank).first_token_target_seconds
    loads = {
        upstream.upstream_id: upstream_load(board, upstream)
        + SUSPECT_PENALTY * (upstream.upstream_id in suspects)
        + _prefill.prefill_backlog_seconds(board, upstream.upstream_id, now) / goal
        for upstream in allowed
    }
    own_zone = board.settings.node.zone
    bound = min(loads.values(), default=0.0) + board.settings.scheduling.affinity_bound

    def order(upstream: rows.UpstreamRow) -> tuple[int, float, bool, Any]:
        upstream_id = upstream.upstream_id
        load = loads[upstream_id]
        held = 0
        if load <= bound and ask.prefix_blocks:
            held = _affinity.cached_prefix_length(board, upstream_id, ask.prefix_blocks)
        if upstream.kind != "engine":
            # Entries that choose for themselves must not all take the same one.
            far = upstream.zone != own_zone
            return (-held, load, far, rendezvous_score(ask.request_id, upstream_id))
        return (-held, load, False, upstream_id)

    return sorted(allowed, key=order)
