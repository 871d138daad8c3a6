"""Orders to engines, which bring their reported state to the desired state.

An order that interrupts generations is sent only to a drained engine: its role is set
to ``draining``, schedulers place no more calls on an engine that reports this role, and
its running calls finish. Progress is recorded only in the state of the engines, so the
next holder of the lease continues where the previous one stopped.
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
from carawayhitch.controllers._selectors import selector_matches
from carawayhitch.core import actions, declarations, events, result_codes, rows

DRAINING_ROLE = "draining"

decide = new_controller()


class OrderStep(NamedTuple):
    """Kind and subject of an order to an engine."""

    kind: str
    subject: str


def find_next_order_step(
    desired: declarations.EngineOrder,
    state: rows.EngineStateRow,
    may_drain: bool,
    now: float,
) -> OrderStep | None:
    """Return the next order that brings an engine closer to its desired state.

    Parameters
    ----------
    may_drain : bool
        Whether another engine of the group may be taken out of service.
    """
    if set(desired.models) != set(state.models):
        return _find_model_replacement_step(desired, state, may_drain, now)
    if state.role != desired.role and state.role == DRAINING_ROLE:
        return OrderStep("set_role", desired.role)
    if state.role != desired.role:
        return OrderStep("set_role", DRAINING_ROLE) if may_drain else None
    for adapter in desired.adapters:
        if adapter not in state.adapters:
            return OrderStep("load_adapter", adapter)
    for adapter in state.adapters:
        if adapter not in desired.adapters and state.busy_count == 0:
            return OrderStep("unload_adapter", adapter)
    return None


def _find_model_replacement_step(
    desired: declarations.EngineOrder,
    state: rows.EngineStateRow,
    may_drain: bool,
    now: float,
) -> OrderStep | None:
    if state.role != DRAINING_ROLE:
        return OrderStep("set_role", DRAINING_ROLE) if may_drain else None
    # An idle engine can still receive calls until every scheduler knows that it is
    # draining.
    if state.busy_count or now < state.settle_deadline:
        return None
    for model in state.models:
        if model not in desired.models:
            return OrderStep("unload_model", model)
    missing_model = next(model for model in desired.models if model not in state.models)
    return OrderStep("load_model", missing_model)


def find_engine_order(board: Board, group: str) -> declarations.EngineOrder | None:
    """Return the desired state of a group's engines.

    If several orders select the group, the first by name applies.
    """
    configuration = board.configuration
    if configuration is None:
        return None
    matching_orders = [
        order for order in configuration.orders_by_name.values() if order.group == group
    ]
    return (
        min(matching_orders, key=lambda order: order.name) if matching_orders else None
    )


def engines_of_group(board: Board, group: str) -> list[rows.UpstreamRow]:
    """Return the engines whose labels match the selector of a serving group."""
    configuration = board.configuration
    serving_group = (
        configuration.serving_groups_by_name.get(group) if configuration else None
    )
    if serving_group is None:
        return []
    return [
        upstream
        for upstream in board.upstreams_by_id.values()
        if upstream.kind == "engine"
        and selector_matches(serving_group.selector, upstream.labels)
    ]


@decide.register(events.TimerFired)
def _read_engine_states(
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
def _send_next_order(
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
    group = _find_leased_group(board, upstream, now) if upstream else ""
    desired = find_engine_order(board, group) if group else None
    if upstream is None or desired is None:
        return ()
    step = find_next_order_step(desired, state, _may_drain(board, desired, state), now)
    if step is None:
        return ()
    if step == OrderStep("set_role", DRAINING_ROLE):
        # The engine counts as out of service before it has answered, so that no other
        # engine is drained in the meantime.
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
    known_state = board.engine_states_by_upstream_id.get(event.upstream_id)
    if known_state is not None and known_state.settle_deadline:
        return known_state.settle_deadline
    return now + board.settings.orders.drain_settle_seconds


def _find_leased_group(board: Board, upstream: rows.UpstreamRow, now: float) -> str:
    for group in board.leases_by_group:
        if holds_lease(board, group, now) and upstream in engines_of_group(
            board, group
        ):
            return group
    return ""


def _may_drain(
    board: Board, desired: declarations.EngineOrder, state: rows.EngineStateRow
) -> bool:
    out_of_service_count = sum(
        1
        for upstream in engines_of_group(board, desired.group)
        if upstream.upstream_id != state.upstream_id
        and _is_out_of_service(board, upstream.upstream_id)
    )
    return out_of_service_count < desired.unavailable_limit


def _is_out_of_service(board: Board, upstream_id: str) -> bool:
    """Return whether an engine is draining, or may be because its state is unknown."""
    known_state = board.engine_states_by_upstream_id.get(upstream_id)
    return known_state is None or known_state.role == DRAINING_ROLE


@decide.register(events.OrderAnswered)
def _log_order_answer(
    event: events.OrderAnswered, board: Board, now: float, random: Random
) -> Actions:
    log_fields = {"upstream": event.upstream_id, "kind": event.kind}
    if event.accepted:
        return (actions.Log("info", "order accepted", log_fields),)
    return (
        actions.Count(result_codes.ORDER_REFUSED),
        actions.Log("warning", "order refused", {**log_fields, "detail": event.detail}),
    )
