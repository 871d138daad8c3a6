"""Rows of the store scopes, and the names of their calls and timers."""

from __future__ import annotations

from typing import Any

from carawayhitch.board import Board
from carawayhitch.controllers._controller import Actions
from carawayhitch.core import actions, events, rows

LIST_OPERATION = "configuration_list"
WATCH_OPERATION = "configuration_watch"
STORE_CALL_TIMER = "configuration_store"
# Value of `StoreScopeRow.call` of a failing scope while another one probes the store.
DEFERRED_CALL = "deferred"


def update_scope(board: Board, scope: str, **changes: Any) -> rows.StoreScopeRow:
    row = board.store_scopes_by_name[scope]._replace(**changes)
    board.store_scopes_by_name[scope] = row
    return row


def set_call_timer(board: Board, scope: str, deadline: float) -> Actions:
    update_scope(board, scope, call="timer")
    return (actions.SetTimer(deadline, events.TimerFired(STORE_CALL_TIMER, scope)),)


def known_revision(board: Board, scope_row: rows.StoreScopeRow) -> int:
    """Return the revision up to which every change is known, from store or peers.

    Peers do not exchange the objects of slow scopes, so these only count store answers.
    """
    if scope_row.scope in board.settings.store.slow_scopes:
        return scope_row.position
    return max(scope_row.position, board.object_set.complete_revision)


def complete_revision(board: Board) -> int:
    """Return the revision up to which all exchanged objects are known; -1 for none.

    The objects of slow scopes are not exchanged, so these scopes only have to be listed
    once.
    """
    slow = board.settings.store.slow_scopes
    return min(
        row.position
        for row in board.store_scopes_by_name.values()
        if row.scope not in slow or row.position < 0
    )
