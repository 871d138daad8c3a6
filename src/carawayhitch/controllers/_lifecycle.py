"""Lifecycle of the process: starting, ready, draining, refusing, stopped."""

from __future__ import annotations

from random import Random

from carawayhitch.board import Board
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.controllers._drain_waits import (
    DRAIN_LIMIT_TIMER,
    DRAIN_RETRY_AFTER_SECONDS,
    DRAINING_STATES,
    LAST_ANSWERS_SECONDS,
    WAITING_PHASES,
)
from carawayhitch.controllers._placement import end_request
from carawayhitch.core import actions, events, result_codes

DRAIN_GRACE_TIMER = "drain_grace"
DRAIN_JOURNAL_TIMER = "drain_journal"
DRAIN_CHANGES_TIMER = "drain_changes"
CHANGES_CHECK_SECONDS = 0.1

decide = new_controller()


@decide.register(events.VmListReceived)
def _handle_vm_list(
    event: events.VmListReceived, board: Board, now: float, random: Random
) -> Actions:
    if board.lifecycle.vm_list_known:
        return ()
    board.lifecycle_by_node_id[board.node_id] = board.lifecycle._replace(
        vm_list_known=True
    )
    return _become_ready_if_configured(board)


@decide.register(events.ConfigurationChanged)
def _handle_configuration(
    event: events.ConfigurationChanged, board: Board, now: float, random: Random
) -> Actions:
    return _become_ready_if_configured(board)


def _become_ready_if_configured(board: Board) -> Actions:
    lifecycle = board.lifecycle
    # Without the VM list every call would be refused with NO_UPSTREAM.
    is_configured = lifecycle.vm_list_known and board.configuration is not None
    if lifecycle.state == "starting" and is_configured:
        board.lifecycle_by_node_id[board.node_id] = lifecycle._replace(state="ready")
        return (actions.Emit(events.LifecycleChanged()),)
    return ()


@decide.register(events.StopRequested)
def _begin_drain(
    event: events.StopRequested, board: Board, now: float, random: Random
) -> Actions:
    lifecycle = board.lifecycle
    if event.immediate:
        # An expired deadline keeps the shutdown from waiting.
        board.lifecycle_by_node_id[board.node_id] = lifecycle._replace(deadline=now)
        return _stop_process(board)
    if lifecycle.state in (*DRAINING_STATES, "stopped"):
        return ()
    drain = board.settings.drain
    board.lifecycle_by_node_id[board.node_id] = lifecycle._replace(
        state="draining", deadline=now + drain.limit_seconds
    )
    grace_deadline = now + drain.readiness_grace_seconds
    return (
        actions.Emit(events.LifecycleChanged()),
        actions.Log("info", "draining", {"open_requests": len(board.requests_by_id)}),
        actions.SetTimer(grace_deadline, events.TimerFired(DRAIN_GRACE_TIMER)),
        actions.SetTimer(
            now + drain.limit_seconds, events.TimerFired(DRAIN_LIMIT_TIMER)
        ),
    )


@decide.register(events.TimerFired)
def _advance_drain(
    event: events.TimerFired, board: Board, now: float, random: Random
) -> Actions:
    lifecycle = board.lifecycle
    if event.name == DRAIN_GRACE_TIMER and lifecycle.state == "draining":
        board.lifecycle_by_node_id[board.node_id] = lifecycle._replace(state="refusing")
        return (actions.CloseIdleConnections(), *_stop_if_drained(board, now))
    if event.name == DRAIN_LIMIT_TIMER and lifecycle.state != "stopped":
        fields = {
            "limit_seconds": board.settings.drain.limit_seconds,
            "open_requests": len(board.requests_by_id),
        }
        logged = actions.Log("warning", "drain limit reached", fields)
        board.lifecycle_by_node_id[board.node_id] = lifecycle._replace(
            deadline=now + LAST_ANSWERS_SECONDS
        )
        return (logged, *_end_unanswered_requests(board), *_stop_process(board))
    if event.name == DRAIN_CHANGES_TIMER and lifecycle.state == "refusing":
        return _stop_if_drained(board, now)
    if event.name == DRAIN_JOURNAL_TIMER and lifecycle.state != "stopped":
        return () if board.requests_by_id else _stop_process(board)
    return ()


@decide.register(events.RequestEnded)
@decide.register(events.JournalSettled)
def _stop_after_last_request(
    event: events.RequestEnded | events.JournalSettled,
    board: Board,
    now: float,
    random: Random,
) -> Actions:
    if board.lifecycle.state != "refusing":
        return ()
    return _stop_if_drained(board, now)


def _stop_if_drained(board: Board, now: float) -> Actions:
    """Stop if no request or change is open and no answer is still to be written."""
    if board.requests_by_id:
        return ()
    if board.changes_by_operation_id:
        # Operators wait for the results of their changes.
        timer = events.TimerFired(DRAIN_CHANGES_TIMER)
        return (actions.SetTimer(now + CHANGES_CHECK_SECONDS, timer),)
    if any(shard.pending_keys for shard in board.journal_shards_by_name.values()):
        # Bounds the wait, so that an outage of the store does not block the drain.
        journal_deadline = now + board.settings.idempotency.claim_timeout_seconds
        return (
            actions.SetTimer(journal_deadline, events.TimerFired(DRAIN_JOURNAL_TIMER)),
        )
    return _stop_process(board)


def _end_unanswered_requests(board: Board) -> list[actions.Action]:
    """Answer all requests that would otherwise end with their connection.

    A stream that has begun ends with the process; it can be resumed at other entries.
    """
    decided: list[actions.Action] = []
    for row in board.requests_by_id.values():
        if not row.response_started:
            is_waiting = row.phase in WAITING_PHASES
            code = result_codes.DRAINING if is_waiting else result_codes.ENTRY_STOPPED
            decided.extend(end_request(row, code, DRAIN_RETRY_AFTER_SECONDS))
    return decided


def _stop_process(board: Board) -> Actions:
    board.lifecycle_by_node_id[board.node_id] = board.lifecycle._replace(
        state="stopped"
    )
    return (
        actions.Emit(events.LifecycleChanged()),
        actions.Log("info", "stopped", {"open_requests": len(board.requests_by_id)}),
        actions.StopProcess(),
    )
