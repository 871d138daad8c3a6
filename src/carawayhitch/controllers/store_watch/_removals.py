"""Removals that arrive shortly after an outage of the store.

Registrations that lapsed in the outage return within the grace period of the settings.
Until its end removals are kept apart. Then a list decides, because a renewal may not
have reached this node: its last read may be stale or older than the renewal.
"""

from __future__ import annotations

from collections.abc import Iterable

from carawayhitch.board import Board
from carawayhitch.controllers._controller import Actions
from carawayhitch.controllers.store_watch._scopes import set_call_timer, update_scope
from carawayhitch.core import actions, events, rows

REMOVALS_TIMER = "store_removals"


def defer_removals(
    board: Board,
    scope: str,
    objects: Iterable[events.StoredObject],
    read_at: float,
    now: float,
) -> tuple[tuple[events.StoredObject, ...], Actions]:
    """Return the objects to merge now, and actions that decide on the others later.

    Parameters
    ----------
    read_at : float
        Earliest time of the state that the store returned.
    """
    scope_row = board.store_scopes_by_name[scope]
    deadline = scope_row.removals_applied_after
    if read_at >= deadline:
        return tuple(objects), ()
    kept: list[events.StoredObject] = []
    removed: list[events.StoredObject] = []
    for stored in objects:
        (removed if stored.deleted else kept).append(stored)
    if not removed:
        return tuple(kept), ()
    by_key = {removal.key: removal for removal in scope_row.deferred_removals}
    for stored in removed:
        key = (stored.kind, stored.name)
        by_key[key] = rows.DeferredRemoval(key, stored.version)
    update_scope(board, scope, deferred_removals=tuple(by_key.values()))
    return tuple(kept), _set_timer(scope, max(deadline, now))


def extend_grace(
    board: Board, scope_row: rows.StoreScopeRow, deadline: float
) -> Actions:
    """Defer removals until a later time."""
    update_scope(board, scope_row.scope, removals_applied_after=deadline)
    if not scope_row.deferred_removals:
        return ()
    return _set_timer(scope_row.scope, deadline)


def decide_on_removals(board: Board, scope: str, now: float) -> Actions:
    """List a scope at the end of its grace period, unless all objects were renewed.

    A scope that fails keeps its removals; the answer that ends the failure extends the
    grace period. A list that is under way began too early, and its answer defers what
    it lacks.
    """
    scope_row = board.store_scopes_by_name[scope]
    if now < scope_row.removals_applied_after or scope_row.failure_count:
        return ()
    open_removals = tuple(
        removal
        for removal in scope_row.deferred_removals
        if not _is_settled(board, removal)
    )
    if not open_removals or not scope_row.call:
        # A scope without calls learns of removals from peers.
        update_scope(board, scope, deferred_removals=())
        return ()
    if scope_row.call == "list":
        return ()
    update_scope(board, scope, list_after=now)
    return set_call_timer(board, scope, now)


def _is_settled(board: Board, removal: rows.DeferredRemoval) -> bool:
    """Return whether an object was renewed, or was removed in another way."""
    row = board.objects_by_key.get(removal.key)
    return row is None or row.deleted or row.version > removal.version


def _set_timer(scope: str, deadline: float) -> Actions:
    return (actions.SetTimer(deadline, events.TimerFired(REMOVALS_TIMER, scope)),)
