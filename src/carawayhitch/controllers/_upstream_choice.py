"""Choice of an upstream for an ask by limits, memory, prefix cache and load."""

from __future__ import annotations

from typing import Any, Literal, NamedTuple

from carawayhitch.board import Board
from carawayhitch.controllers import (
    _affinity,
    _memory,
    _prefill,
    _suspects,
    cold_start,
    locality,
    zones,
)
from carawayhitch.controllers._backoffs import is_backing_off
from carawayhitch.controllers._cells import rendezvous_score
from carawayhitch.controllers._health import is_ejected
from carawayhitch.controllers._ranks import (
    first_rank_is_active,
    floor_deficit,
    highest_priority,
    rank_class,
)
from carawayhitch.core import rows

# Load added to an upstream that runs a request with a crash record. With fewer other
# requests there, its next crash has a clear cause. The value is small enough that no
# request has to queue because of it.
SUSPECT_PENALTY = 0.25

Blocked = Literal["", "ask", "cell"]


class PlacementRequirement(NamedTuple):
    """Resources that an ask requires of an upstream.

    Parameters
    ----------
    ask : AskRow
        The ask to place.
    memory : MemoryForecastRow
        Predicted memory of the request.
    share : float
        Share of slots and memory up to which the ask may fill an upstream.
    settling : bool
        Whether the cell may run requests that this scheduler does not know of.
    """

    ask: rows.AskRow
    memory: rows.MemoryForecastRow
    share: float
    settling: bool


class Choice(NamedTuple):
    """Chosen upstream, or the reason why none was chosen.

    Parameters
    ----------
    blocked : {"", "ask", "cell"}
        ``ask`` if only constraints of this ask rule out every upstream, so that
        other asks may overtake it; ``cell`` if the cell has no capacity left.
    """

    upstream_id: str = ""
    blocked: Blocked = "cell"


def is_usable(board: Board, upstream: rows.UpstreamRow, now: float) -> bool:
    """Return whether an upstream accepts new work, regardless of its load."""
    if not upstream.accepts_new_requests(now):
        return False
    if not zones.accepts_work(board, upstream):
        return False
    return _suspects.may_receive_work(board, upstream)


def is_settling(board: Board, cell_id: str, now: float) -> bool:
    """Return whether the cell may run requests that this scheduler does not know of."""
    return now < board.settle_deadlines_by_cell_id.get(cell_id, 0.0)


def upstream_load(board: Board, upstream: rows.UpstreamRow) -> float:
    """Return the larger of the used shares of slots and of memory."""
    ledger_row = _memory.ledger(board, upstream.upstream_id)
    count = len(board.grant_ids_by_upstream_id.get(upstream.upstream_id, ()))
    load = (count + ledger_row.unattributed_request_count) / max(
        1, upstream.running_limit
    )
    if not upstream.memory_capacity:
        return load
    peak = _memory.predicted_peak(board, upstream.upstream_id)
    return max(load, (peak + ledger_row.unattributed_tokens) / upstream.memory_capacity)


def _usable_share(board: Board, ask: rows.AskRow, now: float) -> float:
    """Return the share of slots and memory up to which an ask may fill an upstream.

    A rank below its floor may also use the reserve. Otherwise its floor could not be
    kept while the first rank fills the remaining capacity.
    """
    if (
        rank_class(board, ask.rank).priority <= highest_priority(board)
        or not first_rank_is_active(board, ask.cell_id, now)
        or floor_deficit(board, ask.cell_id, ask.rank, now) > 0
    ):
        return 1.0
    return 1.0 - board.settings.scheduling.first_rank_reserve


def _placement_requirement(
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
    """Return whether a slot is free; an idle upstream always has a free slot."""
    occupied = _occupied_slots(board, upstream)
    return not occupied or occupied + 1 <= upstream.running_limit * share


def _occupied_slots(board: Board, upstream: rows.UpstreamRow) -> int:
    count = len(board.grant_ids_by_upstream_id.get(upstream.upstream_id, ()))
    return (
        count + _memory.ledger(board, upstream.upstream_id).unattributed_request_count
    )


def has_room(
    board: Board,
    upstream: rows.UpstreamRow,
    requirement: PlacementRequirement,
    now: float,
) -> bool:
    """Return whether slots and predicted memory allow one more request."""
    if not has_slot(board, upstream, requirement.share):
        return False
    if not cold_start.has_room(board, upstream.upstream_id, now):
        return False
    if upstream.kind != "engine":
        return True
    if requirement.settling and (not upstream.reported_at or upstream.waiting_count):
        return False
    if not _prefill.has_prefill_room(board, upstream.upstream_id, now):
        return False
    # A request larger than the limit has to run alone, or it would never run.
    if not _occupied_slots(board, upstream):
        return True
    limit = requirement.share * _memory.memory_limit(board, upstream, now)
    ledger_row = _memory.ledger(board, upstream.upstream_id)
    limit -= _foreign_memory(board, ledger_row, requirement.ask)
    return _memory.peak_with(board, upstream.upstream_id, requirement.memory) <= limit


def _foreign_memory(
    board: Board, ledger_row: rows.LoadReconciliationRow, ask: rows.AskRow
) -> float:
    """Return the predicted peak memory of work that this scheduler did not grant.

    Its output so far is not known, so it is treated as if it had just started.
    """
    if not ledger_row.unattributed_request_count:
        return ledger_row.unattributed_tokens
    mean_tokens = ledger_row.unattributed_tokens / ledger_row.unattributed_request_count
    predicted = _memory.predict_memory(board, ask.binding, mean_tokens, 0, 0)
    return ledger_row.unattributed_request_count * max(predicted.means)


def choose_upstream(
    board: Board, cell: rows.CellRow, ask: rows.AskRow, now: float
) -> Choice:
    """Choose the upstream for an ask."""
    usable = [
        upstream
        for upstream_id in cell.upstream_ids
        if (upstream := board.upstreams_by_id.get(upstream_id)) is not None
        and is_usable(board, upstream, now)
    ]
    healthy = [row for row in usable if not is_ejected(board, row.upstream_id, now)]
    # If most upstreams are ejected, the others would be overloaded.
    if len(healthy) * 2 >= len(usable):
        usable = healthy
    suspects = _suspects.suspects_by_upstream(board, now)
    allowed = _allowed_upstreams(board, cell, usable, ask, suspects, now)
    if usable and not allowed:
        return Choice(blocked="ask")
    share = _usable_share(board, ask, now)
    # The cell is usually full, so free slots are checked before loads are compared.
    if any(has_slot(board, upstream, share) for upstream in allowed):
        requirement = _placement_requirement(board, ask, share, now)
        for upstream in _sorted_by_preference(board, allowed, ask, suspects, now):
            if has_room(board, upstream, requirement, now):
                return Choice(upstream.upstream_id, "")
    return Choice(blocked="cell" if len(allowed) == len(usable) else "ask")


def _allowed_upstreams(
    board: Board,
    cell: rows.CellRow,
    usable: list[rows.UpstreamRow],
    ask: rows.AskRow,
    suspects: dict[str, set[str]],
    now: float,
) -> list[rows.UpstreamRow]:
    excluded = set(ask.excluded_upstream_ids)
    # A retry may reuse an upstream only after it has tried all upstreams of the cell
    # whose zones are in use.
    if excluded.issuperset(zones.upstream_ids_in_use(board, cell)):
        excluded.clear()
    candidates = [
        row
        for row in usable
        if row.upstream_id not in excluded
        and not is_backing_off(board, ask.entry_id, row.upstream_id, now)
    ]
    if not candidates:
        return []
    if candidates[0].kind != "engine":
        waits = _suspects.awaits_check(board, ask.fingerprint, now)
        return [] if waits else candidates
    upstream_ids = [row.upstream_id for row in candidates]
    upstream_ids = _suspects.allowed_upstreams(
        board, ask.fingerprint, upstream_ids, suspects, now
    )
    return [board.upstreams_by_id[name] for name in upstream_ids]


def _sorted_by_preference(
    board: Board,
    allowed: list[rows.UpstreamRow],
    ask: rows.AskRow,
    suspects: dict[str, set[str]],
    now: float,
) -> list[rows.UpstreamRow]:
    first_token_seconds = rank_class(board, ask.rank).first_token_target_seconds
    loads = {
        upstream.upstream_id: upstream_load(board, upstream)
        + SUSPECT_PENALTY * (upstream.upstream_id in suspects)
        + _prefill.prefill_backlog_seconds(board, upstream.upstream_id, now)
        / first_token_seconds
        for upstream in allowed
    }
    if board.settings.locality.enabled:
        suspect_seconds = {
            upstream_id: SUSPECT_PENALTY * first_token_seconds
            for upstream_id in suspects
        }
        return locality.order_upstreams(
            board, allowed, ask, loads, suspect_seconds, now
        )
    own_zone = board.settings.node.zone
    bound = min(loads.values(), default=0.0) + board.settings.scheduling.affinity_bound

    def order(upstream: rows.UpstreamRow) -> tuple[int, float, bool, Any]:
        upstream_id = upstream.upstream_id
        load = loads[upstream_id]
        cached_blocks = 0
        if load <= bound and ask.prefix_blocks:
            cached_blocks = _affinity.cached_prefix_length(
                board, upstream_id, ask.prefix_blocks
            )
        if upstream.kind != "engine":
            # Entries choose services independently and must not all pick the same one.
            in_other_zone = upstream.zone != own_zone
            return (
                -cached_blocks,
                load,
                in_other_zone,
                rendezvous_score(ask.request_id, upstream_id),
            )
        return (-cached_blocks, load, False, upstream_id)

    return sorted(allowed, key=order)
