"""Orders to engines: wanted state is compared with what engines answer.

An order that interrupts generations is given only to an engine that was drained: its
role is set to ``draining``, it reports that, so schedulers place nothing on it, and
what runs there finishes. The state of this work lives in the engines alone, so the
next holder of the lease continues where the last one stopped.
"""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from carawayhitch.board import Board
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.controllers._leases import (
    LEASE_TIMER,
    find_lease_candidate_groups,
    holds_lease,
)
from carawayhitch.controllers._selectors import matches
from carawayhitch.core import actions, declarations, events, result_codes, rows

DRAINING_ROLE = "draining"

decide = new_controller()


class Step(NamedTuple):
    """One order to an engine."""

    kind: str
    subject: str


def find_next_order_step(
    wanted: declarations.EngineOrder,
    state: rows.EngineStateRow,
    may_drain: bool,
    now: float,
) -> Step | None:
    """Return the next order that brings an engine nearer to its wanted state.

    Parameters
    ----------
    may_drain : bool
        Whether one more engine of the group may be taken out of service.
    """
    if set(wanted.models) != set(state.models):
        return _replace_models(wanted, state, may_drain, now)
    if state.role != wanted.role and state.role == DRAINING_ROLE:
        return Step("set_role", wanted.role)
    if state.role != wanted.role:
        return Step("set_role", DRAINING_ROLE) if may_drain else None
    for adapter in wanted.adapters:
        if adapter not in state.adapters:
            return Step("load_adapter", adapter)
    for adapter in state.adapters:
        if adapter not in wanted.adapters and state.busy_count == 0:
            return Step("unload_adapter", adapter)
    return None


def _replace_models(
    wanted: declarations.EngineOrder,
    state: rows.EngineStateRow,
    may_drain: bool,
    now: float,
) -> Step | None:
    if state.role != DRAINING_ROLE:
        return Step("set_role", DRAINING_ROLE) if may_drain else None
    # An engine may be idle for a moment while a scheduler does not yet know of the
    # drain and places work there.
    if state.busy_count or now < state.settle_deadline:
        return None
    for model in state.models:
        if model not in wanted.models:
            return Step("unload_model", model)
    missing = next(model for model in wanted.models if model not in state.models)
    return Step("load_model", missing)


def find_engine_order(board: Board, group: str) -> declarations.EngineOrder | None:
    """Return the wanted state of a group's engines; the first by name if several."""
    configuration = board.configuration
    if configuration is None:
        return None
    found = [
        order for order in configuration.orders_by_name.values() if order.group == group
    ]
    return min(found, key=lambda order: order.name) if found else None


def engines_of_group(board: Board, group: str) -> list[rows.UpstreamRow]:
    """Return the engines that a serving group selects and that stay."""
    configuration = board.configuration
    declared = (
        configuration.serving_groups_by_name.get(group) if configuration else None
    )
    if declared is None:
        return []
    return [
        upstream
        for upstream in board.upstreams_by_id.values()
        if upstream.kind == "engine" and matches(declared.selector, upstream.labels)
    ]


@decide.register(events.TimerFired)
def _read_states(
    event: events.TimerFired, board: Board, now: float, random: Random
) -> Actions:
    if event.name != LEASE_TIMER:
        return ()
    return [
        actions.ReadEngineState(upstream.upstream_id, upstream.address)
        for group in find_lease_candidate_groups(board)
        if holds_lease(board, group, now)
        for upstream in engines_of_group(board, group)
    ]


@decide.register(events.EngineStateRead)
def _give_order(
    event: events.EngineStateRead, board: Board, now: float, random: Random
) -> Actions:
    state = rows.EngineStateRow(
        upstream_id=event.upstream_id,
        models=event.models,
        adapters=event.adapters,
        role=event.role,
        busy_count=event.busy_count,
        read_at=now,
        settle_deadline=_settle_deadline(board, event, now),
    )
    board.engine_states_by_upstream_id[event.upstream_id] = state
    upstream = board.upstreams_by_id.get(event.upstream_id)
    group = _leading_group(board, upstream, now) if upstream else ""
    wanted = find_engine_order(board, group) if group else None
    if upstream is None or wanted is None:
        return ()
    step = find_next_order_step(wanted, state, _may_drain(board, wanted, state), now)
    if step is None:
        return ()
    if step == Step("set_role", DRAINING_ROLE):
        # Counts as out of service at once, so that no second engine is drained before
        # this one has answered.
        board.engine_states_by_upstream_id[event.upstream_id] = state._replace(
            role=DRAINING_ROLE, settle_deadline=0.0
        )
    lease = board.leases_by_group[group]
    return (
        actions.SendOrder(
            upstream.upstream_id,
            upstream.address,
            step.kind,
            step.subject,
            lease.version,
            lease.deadline,
        ),
    )


def _settle_deadline(board: Board, event: events.EngineStateRead, now: float) -> float:
    if event.role != DRAINING_ROLE:
        return 0.0
    known = board.engine_states_by_upstream_id.get(event.upstream_id)
    if known is not None and known.settle_deadline:
        return known.settle_deadline
    return now + board.settings.orders.drain_settle_seconds


def _leading_group(board: Board, upstream: rows.UpstreamRow, now: float) -> str:
    for group in board.leases_by_group:
        if holds_lease(board, group, now) and upstream in engines_of_group(
            board, group
        ):
            return group
    return ""


def _may_drain(
    board: Board, wanted: declarations.EngineOrder, state: rows.EngineStateRow
) -> bool:
    out_of_service = sum(
        1
        for upstream in engines_of_group(board, wanted.group)
        if upstream.upstream_id != state.upstream_id
        and _is_out_of_service(board, upstream.upstream_id)
    )
    return out_of_service < wanted.unavailable_limit


def _is_out_of_service(board: Board, upstream_id: str) -> bool:
    """Return whether an engine is drained, or unknown and so maybe drained."""
    known = board.engine_states_by_upstream_id.get(upstream_id)
    return known is None or known.role == DRAINING_ROLE


@decide.register(events.OrderAnswered)
def _note_answer(
    event: events.OrderAnswered, board: Board, now: float, random: Random
) -> Actions:
    fields = {"upstream": event.upstream_id, "kind": event.kind}
    if event.accepted:
        return (actions.Log("info", "order accepted", fields),)
    return (
        actions.Count(result_codes.ORDER_REFUSED),
        actions.Log("warning", "order refused", {**fields, "detail": event.detail}),
    )
