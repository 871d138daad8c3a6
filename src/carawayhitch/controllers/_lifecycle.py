"""Lifecycle of the process: ready, draining, refusing, stopped."""

from __future__ import annotations

from random import Random

from carawayhitch.board import Board
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.core import actions, events

GRACE_TIMER = "drain_grace"
LIMIT_TIMER = "drain_limit"
JOURNAL_TIMER = "drain_journal"

decide = new_controller()


@decide.register(events.VmListReceived)
def _note_vm_list(
    event: events.VmListReceived, board: Board, now: float, random: Random
) -> Actions:
    if board.lifecycle.vm_list_known:
        return ()
    board.lifecycle_by_node_id[board.node_id] = board.lifecycle._replace(
        vm_list_known=True
    )
    return _become_ready(board)


@decide.register(events.ConfigurationChanged)
def _note_configuration(
    event: events.ConfigurationChanged, board: Board, now: float, random: Random
) -> Actions:
    return _become_ready(board)


def _become_ready(board: Board) -> Actions:
    lifecycle = board.lifecycle
    # Without the VM list every call would be refused with NO_UPSTREAM.
    known = lifecycle.vm_list_known and board.configuration is not None
    if lifecycle.state == "starting" and known:
        board.lifecycle_by_node_id[board.node_id] = lifecycle._replace(state="ready")
        return (actions.Emit(events.LifecycleChanged()),)
    return ()


@decide.register(events.StopRequested)
def _drain(
    event: events.StopRequested, board: Board, now: float, random: Random
) -> Actions:
    lifecycle = board.lifecycle
    if event.immediate:
        # Nothing waits for a deadline that has passed.
        board.lifecycle_by_node_id[board.node_id] = lifecycle._replace(deadline=now)
        return _stop(board)
    if lifecycle.state == "stopped":
        return ()
    if lifecycle.state in ("draining", "refusing"):
        return ()
    drain = board.settings.drain
    board.lifecycle_by_node_id[board.node_id] = lifecycle._replace(
        state="draining", deadline=now + drain.limit_seconds
    )
    grace_deadline = now + drain.readiness_grace_seconds
    return (
        actions.Emit(events.LifecycleChanged()),
        actions.Log("info", "draining", {"open_requests": len(board.requests_by_id)}),
        actions.SetTimer(grace_deadline, events.TimerFired(GRACE_TIMER)),
        actions.SetTimer(now + drain.limit_seconds, events.TimerFired(LIMIT_TIMER)),
    )


@decide.register(events.TimerFired)
def _drain_further(
    event: events.TimerFired, board: Board, now: float, random: Random
) -> Actions:
    lifecycle = board.lifecycle
    if event.name == GRACE_TIMER and lifecycle.state == "draining":
        board.lifecycle_by_node_id[board.node_id] = lifecycle._replace(state="refusing")
        return (actions.CloseIdleConnections(), *_stop_if_done(board, now))
    if event.name == LIMIT_TIMER and lifecycle.state != "stopped":
        fields = {
            "limit_seconds": board.settings.drain.limit_seconds,
            "open_requests": len(board.requests_by_id),
        }
        logged = actions.Log("warning", "drain limit reached", fields)
        return (logged, *_stop(board))
    if event.name == JOURNAL_TIMER and lifecycle.state != "stopped":
        return () if board.requests_by_id else _stop(board)
    return ()


@decide.register(events.RequestEnded)
@decide.register(events.JournalSettled)
def _stop_when_empty(
    event: events.RequestEnded | events.JournalSettled,
    board: Board,
    now: float,
    random: Random,
) -> Actions:
    if board.lifecycle.state != "refusing":
        return ()
    return _stop_if_done(board, now)


def _stop_if_done(board: Board, now: float) -> Actions:
    """Stop if no request is open and no answer has to be written to the store."""
    if board.requests_by_id:
        return ()
    if any(shard.pending_keys for shard in board.journal_shards_by_name.values()):
        # An outage of the store must not hold up the drain.
        limit = now + board.settings.idempotency.claim_timeout_seconds
        return (actions.SetTimer(limit, events.TimerFired(JOURNAL_TIMER)),)
    return _stop(board)


def _stop(board: Board) -> Actions:
    board.lifecycle_by_node_id[board.node_id] = board.lifecycle._replace(
        state="stopped"
    )
    return (
        actions.Emit(events.LifecycleChanged()),
        actions.Log("info", "stopped", {"open_requests": len(board.requests_by_id)}),
        actions.StopProcess(),
    )
