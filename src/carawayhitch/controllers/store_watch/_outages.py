"""Retries while the store does not answer, and what changes when it answers again."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from carawayhitch.board import Board
from carawayhitch.controllers._controller import Actions
from carawayhitch.controllers.store_watch._scopes import set_call_timer, update_scope
from carawayhitch.core import actions, events, rows

RETRY_BASE_DELAY_SECONDS = 0.5
# Delay before a call that timed out is repeated. With the platform's call timeout of
# 2.5 s, an unresponsive connection is replaced within the 3 s in which an entry has to
# regain contact with the store.
MINIMUM_RETRY_DELAY_SECONDS = 0.05
# While one scope probes whether the store has recovered, the others retry rarely,
# because refused calls are charged in full.
DEFERRED_RETRY_DELAY_SECONDS = 5.0
# Registrations expire after several missed heartbeats, so an interruption of the store
# that is shorter than this expires none.
MINIMUM_OUTAGE_SECONDS = 1.0


def record_contact(board: Board, scope_row: rows.StoreScopeRow, now: float) -> Actions:
    """Record an answer of the store and end an outage if there was one.

    Removals are deferred after an outage, because registrations that expired during it
    are renewed within the grace period of the settings.
    """
    decided: Actions = ()
    if scope_row.failure_count:
        grace = board.settings.store.lapse_grace_seconds
        if grace and now - scope_row.failing_since >= MINIMUM_OUTAGE_SECONDS:
            update_scope(board, scope_row.scope, removals_applied_after=now + grace)
        fields = {
            "dependency": "store",
            "scope": scope_row.scope,
            "failures": scope_row.failure_count,
            "seconds": round(now - scope_row.failing_since, 3),
        }
        decided = (
            actions.Log("info", "dependency regained", fields),
            *_call_failing_scopes(board, scope_row.scope, now),
        )
    update_scope(
        board, scope_row.scope, failure_count=0, failing_since=0.0, contacted_at=now
    )
    return decided


def _call_failing_scopes(board: Board, answered: str, now: float) -> Actions:
    """Retry the other failing scopes now that the store answers again."""
    decided: list[actions.Action] = []
    for row in list(board.store_scopes_by_name.values()):
        if row.scope != answered and row.failure_count and row.call == "timer":
            decided += set_call_timer(board, row.scope, now)
    return decided


def defer_removals(
    board: Board, scope: str, objects: Iterable[events.StoredObject], now: float
) -> tuple[events.StoredObject, ...]:
    scope_row = board.store_scopes_by_name[scope]
    if now >= scope_row.removals_applied_after:
        return tuple(objects)
    kept = tuple(stored for stored in objects if not stored.deleted)
    # A list after the grace period finds the objects that are really removed.
    update_scope(board, scope, list_after=scope_row.removals_applied_after)
    return kept


def schedule_retry(board: Board, scope: str, now: float, random: Random) -> Actions:
    """Set a retry timer whose delay doubles with each consecutive failure.

    The delay is measured from the start of the failed call.
    """
    scope_row = board.store_scopes_by_name[scope]
    count = scope_row.failure_count
    update_scope(board, scope, failure_count=count + 1)
    limit = board.settings.store.retry_limit_seconds
    delay = min(limit, RETRY_BASE_DELAY_SECONDS * 2 ** min(count, 10))
    if _defers_to_failing_scope(board, scope):
        delay = max(delay, DEFERRED_RETRY_DELAY_SECONDS)
    due = scope_row.called_at + delay * random.uniform(0.5, 1.5)
    return set_call_timer(board, scope, max(now + MINIMUM_RETRY_DELAY_SECONDS, due))


def _defers_to_failing_scope(board: Board, scope: str) -> bool:
    """Return whether an earlier scope fails as well and probes the store."""
    for row in board.store_scopes_by_name.values():
        if row.scope == scope:
            return False
        if row.failure_count:
            return True
    return False
