"""Order in which upstreams are tried for an ask, with their availability zones."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from carawayhitch.board import Board
from carawayhitch.controllers import _prefill
from carawayhitch.controllers._cells import entry_scheduled_groups, rendezvous_score
from carawayhitch.controllers._ranks import rank_class
from carawayhitch.controllers.locality._costs import (
    cached_prefix_seconds,
    leaving_seconds,
)
from carawayhitch.controllers.locality._entry_shares import own_zone_shares
from carawayhitch.controllers.locality._reasons import find_entry_zone
from carawayhitch.controllers.locality._shares import expected_wait_seconds
from carawayhitch.core import rows

SCORE_RANGE = float(2**64)
# Utilisation of a full upstream, for which the expected wait is not defined.
OCCUPIED_LIMIT = 0.99
# A call that is open for longer than this multiple of the usual answer time may show
# that its server is slow or silent, long before answer times do. One call in eight
# takes so long at a sound server, but few others arrive in the rest of its time.
OVERDUE_FACTOR = 1.5


def order_upstreams(
    board: Board,
    allowed: Sequence[rows.UpstreamRow],
    ask: rows.AskRow,
    loads_by_id: Mapping[str, float],
    suspect_seconds_by_id: Mapping[str, float],
    now: float,
) -> list[rows.UpstreamRow]:
    """Return the upstreams in the order in which an ask should use them.

    Parameters
    ----------
    loads_by_id : dict of str to float
        Loads by upstream id: occupied share of slots or memory, plus prefill backlog
        and the next parameter as parts of the rank's first-token target.
    suspect_seconds_by_id : dict of str to float
        Wait that is accepted to keep a call away from an upstream that runs a request
        with a crash record.
    """
    if ask.group in entry_scheduled_groups(board):
        return _order_by_share(board, allowed, ask, loads_by_id, now)
    return _order_by_cost(board, allowed, ask, loads_by_id, suspect_seconds_by_id, now)


def _order_by_cost(
    board: Board,
    allowed: Sequence[rows.UpstreamRow],
    ask: rows.AskRow,
    loads_by_id: Mapping[str, float],
    suspect_seconds_by_id: Mapping[str, float],
    now: float,
) -> list[rows.UpstreamRow]:
    """Order by the sum of expected wait, leaving the zone and cached prefix.

    The scheduler of a cell knows the loads of all its upstreams. Calls therefore leave
    a zone one by one once the wait there is longer by the price of leaving, and the
    waits stay that far apart.
    """
    entry_zone = find_entry_zone(board, ask.entry_id)
    target_seconds = rank_class(board, ask.rank).first_token_target_seconds
    is_engine = bool(allowed) and allowed[0].kind == "engine"
    price_seconds = leaving_seconds(board, ask, is_engine)
    # A cached prefix does not outweigh a load that is further above the lowest one, so
    # that calls with the same prefix do not all go to one engine.
    load_bound = min(loads_by_id.values(), default=0.0)
    load_bound += board.settings.scheduling.affinity_bound

    def order(upstream: rows.UpstreamRow) -> tuple[Any, ...]:
        upstream_id = upstream.upstream_id
        load = loads_by_id[upstream_id]
        delay = _prefill.prefill_backlog_seconds(board, upstream_id, now)
        delay += suspect_seconds_by_id.get(upstream_id, 0.0)
        occupied = min(OCCUPIED_LIMIT, max(0.0, load - delay / target_seconds))
        seconds = delay + expected_wait_seconds(
            occupied, upstream.running_limit, target_seconds
        )
        in_other_zone = bool(entry_zone) and upstream.zone != entry_zone
        if in_other_zone:
            seconds += price_seconds
        if load <= load_bound:
            seconds -= cached_prefix_seconds(board, ask, upstream_id)
        return (seconds, in_other_zone, upstream_id)

    return sorted(allowed, key=order)


def _order_by_share(
    board: Board,
    allowed: Sequence[rows.UpstreamRow],
    ask: rows.AskRow,
    loads_by_id: Mapping[str, float],
    now: float,
) -> list[rows.UpstreamRow]:
    """Put the servers of the zone first whose share the call falls into.

    The own zone comes next, so that a server that is full of this entry's own calls
    does not send a call further away than needed. Servers with an overdue call of this
    entry come last.
    """
    own_zone = board.settings.node.zone
    zone = _choose_zone(own_zone_shares(board, allowed, ask, now), own_zone, ask)

    demand = board.zone_demands_by_cell_id.get(ask.cell_id, rows.ZoneDemandRow())
    usual_seconds = demand.reference_seconds

    def order(upstream: rows.UpstreamRow) -> tuple[Any, ...]:
        upstream_id = upstream.upstream_id
        return (
            _has_overdue_call(board, upstream_id, usual_seconds, now),
            upstream.zone != zone,
            upstream.zone != own_zone,
            loads_by_id[upstream_id],
            rendezvous_score(ask.request_id, upstream_id),
        )

    return sorted(allowed, key=order)


def _has_overdue_call(
    board: Board, upstream_id: str, usual_seconds: float, now: float
) -> bool:
    """Return whether a call of this entry to a server takes unusually long."""
    return usual_seconds > 0 and any(
        now - board.grants_by_request_id[request_id].granted_at
        > OVERDUE_FACTOR * usual_seconds
        for request_id in board.grant_ids_by_upstream_id.get(upstream_id, ())
    )


def _choose_zone(
    shares_by_zone: Mapping[str, float], own_zone: str, ask: rows.AskRow
) -> str:
    """Return the zone for a call; the calls of all accounts have the same shares."""
    position = rendezvous_score(ask.request_id, ask.cell_id) / SCORE_RANGE
    others = sorted(zone for zone in shares_by_zone if zone != own_zone)
    for zone in (own_zone, *others):
        position -= shares_by_zone.get(zone, 0.0)
        if position < 0:
            return zone
    return own_zone
