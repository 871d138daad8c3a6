"""Retries while the store does not answer, and what changes when it answers again."""

from __future__ import annotations

from random import Random

from carawayhitch.board import Board
from carawayhitch.controllers._controller import Actions
from carawayhitch.controllers.store_watch._removals import extend_grace
from carawayhitch.controllers.store_watch._scopes import (
    DEFERRED_CALL,
    set_call_timer,
    update_scope,
)
from carawayhitch.controllers.store_watch._waits import (
    answer_interval_seconds,
    keeps_close_contact,
)
from carawayhitch.core import actions, rows

RETRY_BASE_DELAY_SECONDS = 0.5
# Delay before a call that timed out is repeated. It is short, because the bound for
# regaining contact also covers the wait and the timeout of the call.
MINIMUM_RETRY_DELAY_SECONDS = 0.05
# Shortest delay between the probes of an entry on which no other depends, as a share of
# the longest that lets it regain contact in time. It spreads the fleet's calls.
RELAXED_RETRY_SPREAD = 0.75
# Time after a failed call in which no watch is long. Peers that are lost together with
# the connection are replaced within it.
BOUNDED_WAITS_SECONDS = 5.0
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
        was_long = now - scope_row.failing_since >= MINIMUM_OUTAGE_SECONDS
        # Renewals could not arrive at the end of the last grace period.
        was_due = scope_row.deferred_removals and (
            now >= scope_row.removals_applied_after
        )
        if grace and (was_long or was_due):
            decided = extend_grace(board, scope_row, now + grace)
        fields = {
            "dependency": "store",
            "scope": scope_row.scope,
            "failures": scope_row.failure_count,
            "seconds": round(now - scope_row.failing_since, 3),
        }
        decided = (
            *decided,
            actions.Log("info", "dependency regained", fields),
            *call_deferred_scopes(board, now),
            *_renew_watches(board, scope_row, now),
        )
    update_scope(
        board, scope_row.scope, failure_count=0, failing_since=0.0, contacted_at=now
    )
    return decided


def _renew_watches(board: Board, regained: rows.StoreScopeRow, now: float) -> Actions:
    """Replace long watches that may wait on connections that failed without a reset."""
    store = board.settings.store
    if not store.relaxed_watch_seconds:
        return ()
    latest = now + answer_interval_seconds(store)
    decided: list[actions.Action] = []
    for row in list(board.store_scopes_by_name.values()):
        if (
            row.call == "watch"
            and row.called_at < regained.called_at
            and row.watch_deadline > latest
        ):
            update_scope(board, row.scope, tests_connection=True)
            decided += set_call_timer(board, row.scope, now)
    return decided


def call_deferred_scopes(board: Board, now: float) -> Actions:
    """Call the scopes that wait for the probe of another one."""
    decided: list[actions.Action] = []
    for row in list(board.store_scopes_by_name.values()):
        if row.call == DEFERRED_CALL:
            decided += set_call_timer(board, row.scope, now)
    return decided


def schedule_retry(board: Board, scope: str, now: float, random: Random) -> Actions:
    """Set a timer for the next probe of the store after a failed call.

    One scope at a time probes whether the store has recovered, because refused calls
    are charged in full. Failing scopes take turns, because one may fail for a reason of
    its own. The delay is measured from the start of the failed call and doubles with
    each consecutive failure, up to a limit. Entries on whose contact no other depends
    wait longer while all scopes fail.
    """
    scope_row = board.store_scopes_by_name[scope]
    count = scope_row.failure_count
    update_scope(
        board,
        scope,
        failure_count=count + 1,
        bounded_until=now + BOUNDED_WAITS_SECONDS,
        call=DEFERRED_CALL,
    )
    failing = [
        row
        for row in board.store_scopes_by_name.values()
        if row.failure_count and row.call
    ]
    if any(row.call != DEFERRED_CALL for row in failing):
        return ()
    if count and _fails_entirely(board) and not keeps_close_contact(board, now):
        longest = answer_interval_seconds(board.settings.store)
        delay = longest * random.uniform(RELAXED_RETRY_SPREAD, 1.0)
    else:
        limit = board.settings.store.retry_limit_seconds
        delay = min(limit, RETRY_BASE_DELAY_SECONDS * 2 ** min(count, 10))
        delay *= random.uniform(0.5, 1.5)
    due = max(now + MINIMUM_RETRY_DELAY_SECONDS, scope_row.called_at + delay)
    next_scope = min(failing, key=lambda row: row.called_at).scope
    return set_call_timer(board, next_scope, due)


def _fails_entirely(board: Board) -> bool:
    """Return whether all scopes fail that are called, except slow ones."""
    slow = board.settings.store.slow_scopes
    return all(
        row.failure_count
        for row in board.store_scopes_by_name.values()
        if row.call and row.scope not in slow
    )
