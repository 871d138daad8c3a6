"""Lists and watches of the store, one call at a time for each scope.

A watch that says nothing proves nothing, so each one ends after a limited time, and a
list now and then finds what watches skipped. What the store answers is handed on as
`ObjectsReceived`.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random
from typing import Any

from carawayhitch.board import Board
from carawayhitch.controllers._configuration import (
    ANTI_ENTROPY_TIMER,
    PUSH_FANOUT,
    exchange_peers,
    is_watcher,
    report_outdated_answer,
)
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.core import actions, events, result_codes, rows
from carawayhitch.core import settings as settings_types

LIST_OPERATION = "configuration_list"
WATCH_OPERATION = "configuration_watch"
STORE_CALL_TIMER = "configuration_store"

# Entries that start together spread their first list over this time; the first one to
# have it gives it to the others, which then make no list of their own.
FIRST_LIST_SPREAD_SECONDS = 2.0
STORE_RETRY_SECONDS = 0.5
# A call that has failed by its timeout is repeated after this time. With the timeouts
# on the users' platform (2.5 s), silent connections are then left within the 3 s after
# which an entry counts as in touch again.
SHORTEST_RETRY_SECONDS = 0.05
# While one scope asks whether the store is back, the others only make sure that they
# are not forgotten; refused calls have their full price.
PROBED_RETRY_SECONDS = 5.0
# A store that is back says so at once, also if nothing has changed; the other scopes
# wait for that.
PROBE_WATCH_SECONDS = 0.05
# Stale reads are seconds behind at most, so asking again at once would not help.
STALE_PAUSE_SECONDS = 0.5
# A list finds changes that a watch skipped. 240 KB in 300 s are 0.8 KB/s.
LIST_SECONDS = 300.0
# Registrations lapse after several heartbeats, so a shorter interruption of the store
# loses none.
OUTAGE_SECONDS = 1.0

decide = new_controller()


def _update(board: Board, scope: str, **changes: Any) -> rows.StoreScopeRow:
    row = board.store_scopes_by_name[scope]._replace(**changes)
    board.store_scopes_by_name[scope] = row
    return row


@decide.register(events.ProcessStarted)
def _start(
    event: events.ProcessStarted, board: Board, now: float, random: Random
) -> Actions:
    decided: list[actions.Action] = []
    for scope in board.store_scopes_by_name:
        if exchange_peers(board):
            delay = random.uniform(0.1, 1.0) * FIRST_LIST_SPREAD_SECONDS
            decided += _set_timer(board, scope, now + delay)
        else:
            decided += _call(board, scope, now, random)
    return decided


def _set_timer(board: Board, scope: str, deadline: float) -> Actions:
    _update(board, scope, call="timer")
    return (actions.SetTimer(deadline, events.TimerFired(STORE_CALL_TIMER, scope)),)


def _position(board: Board, known: rows.StoreScopeRow) -> int:
    """Return up to which revision every change is known, from the store or a peer.

    Peers do not exchange the objects of scopes that are watched slowly.
    """
    if known.scope in board.settings.store.slow_scopes:
        return known.position
    return max(known.position, board.object_set.complete_revision)


def _call(board: Board, scope: str, now: float, random: Random) -> Actions:
    """Return the next store call of a scope, if this node has to make one."""
    known = board.store_scopes_by_name[scope]
    position = _position(board, known)
    store = board.settings.store
    may_be_stale = scope in store.stale_scopes
    if position >= 0 and not may_be_stale and not is_watcher(board, now):
        if not store.stale_watches:
            _update(board, scope, call="")
            return ()
        may_be_stale = True
    if position >= 0 and not known.list_after:
        # A watch continues from the peer's revision; a list would add nothing.
        known = _update(
            board, scope, list_after=now + LIST_SECONDS * random.uniform(0.5, 1.5)
        )
    if now >= known.list_after:
        _update(board, scope, call="list", called_at=now)
        # Later lists have to show what a watch missed, so only the first may be stale.
        first = position < 0 and scope in store.stale_scopes
        return (actions.ListObjects(LIST_OPERATION, scope, first),)
    _update(board, scope, call="watch", called_at=now)
    wait = maximum_watch_seconds(store, scope)
    if known.failure_count:
        wait = min(wait, PROBE_WATCH_SECONDS)
    watch = actions.WatchObjects(WATCH_OPERATION, position, wait, scope, may_be_stale)
    return (watch,)


def maximum_watch_seconds(store: settings_types.StoreSettings, scope: str) -> float:
    """Return how long a watch of a scope waits for a change, in seconds."""
    if scope in store.slow_scopes:
        return store.slow_watch_seconds
    return store.watch_timeout_seconds


def _pause_seconds(store: settings_types.StoreSettings, scope: str) -> float:
    if scope in store.slow_scopes:
        return store.slow_pause_seconds
    return store.watch_pause_seconds


@decide.register(events.TimerFired)
def _timer(
    event: events.TimerFired, board: Board, now: float, random: Random
) -> Actions:
    if event.name == ANTI_ENTROPY_TIMER:
        return _watch_if_due(board, now, random)
    if (
        event.name != STORE_CALL_TIMER
        or event.subject not in board.store_scopes_by_name
    ):
        return ()
    if board.store_scopes_by_name[event.subject].call != "timer":
        return ()
    return _call(board, event.subject, now, random)


@decide.register(events.MembershipChanged)
def _follow_members(
    event: events.MembershipChanged, board: Board, now: float, random: Random
) -> Actions:
    return _watch_if_due(board, now, random)


def _watch_if_due(board: Board, now: float, random: Random) -> Actions:
    idle = [row.scope for row in board.store_scopes_by_name.values() if not row.call]
    if not idle or not is_watcher(board, now):
        return ()
    decided: list[actions.Action] = []
    for scope in idle:
        pause = _pause_seconds(board.settings.store, scope)
        decided += _set_timer(board, scope, now + random.uniform(0, pause))
    return decided


@decide.register(events.ObjectsListed)
def _take_list(
    event: events.ObjectsListed, board: Board, now: float, random: Random
) -> Actions:
    # A list that was asked for before the removals are believed is followed by one
    # that was asked for after.
    known = board.store_scopes_by_name[event.scope]
    list_after = now + LIST_SECONDS * random.uniform(0.5, 1.5)
    _update(board, event.scope, list_after=list_after)
    removed = _removed(event, board)
    first = _position(board, known) < 0
    taken = _take_answer(
        board,
        event,
        (*event.objects, *removed),
        now,
        random,
        PUSH_FANOUT if first or removed else 0,
    )
    return (*_note_unreadable(event), *taken)


def _removed(event: events.ObjectsListed, board: Board) -> list[events.StoredObject]:
    """Return as removed the objects that the list of whole kinds does not name."""
    if not event.kinds:
        return []
    listed = {(stored.kind, stored.name) for stored in event.objects}
    return [
        events.StoredObject(*key, event.revision, b"", deleted=True)
        for key, row in board.objects_by_key.items()
        if key[0] in event.kinds
        and key not in listed
        and not row.deleted
        and row.version < event.revision
    ]


@decide.register(events.ObjectsChanged)
def _take_watch(
    event: events.ObjectsChanged, board: Board, now: float, random: Random
) -> Actions:
    taken = _take_answer(board, event, event.objects, now, random, PUSH_FANOUT)
    return (*_note_unreadable(event), *taken)


def _take_answer(
    board: Board,
    event: events.ObjectsListed | events.ObjectsChanged,
    objects: Iterable[events.StoredObject],
    now: float,
    random: Random,
    push_count: int,
) -> Actions:
    """Hand on what the store answered and schedule the next call.

    An answer below the revision that is known comes late or from a store that lost
    changes. Its objects are still merged by version, which never reverts one.
    """
    known = board.store_scopes_by_name[event.scope]
    if event.revision < _position(board, known) and event.may_be_stale:
        # Peers know more already; the next answer may have caught up.
        kept = _without_early_removals(board, event.scope, objects, now)
        return (
            *_note_contact(board, known, now),
            actions.Emit(events.ObjectsReceived(kept, -1, push_count)),
            *_set_timer(board, event.scope, now + STALE_PAUSE_SECONDS),
        )
    if event.revision < _position(board, known):
        received = events.ObjectsReceived(tuple(objects), -1, push_count)
        return (
            *report_outdated_answer(board, "store", event.revision),
            actions.Emit(received),
            *_retry(board, event.scope, now, random),
        )
    decided = _note_contact(board, known, now)
    kept = _without_early_removals(board, event.scope, objects, now)
    _update(board, event.scope, position=event.revision)
    complete = _complete_revision(board)
    pause = _pause_seconds(board.settings.store, event.scope)
    return (
        *decided,
        actions.Emit(events.ObjectsReceived(kept, complete, push_count)),
        *_set_timer(board, event.scope, now + pause),
    )


def _note_unreadable(event: events.ObjectsListed | events.ObjectsChanged) -> Actions:
    """Count and log objects that were left out, once for each answer."""
    if not event.unreadable_count:
        return ()
    fields = {
        "code": result_codes.STORE_OBJECT_UNREADABLE.name,
        "scope": event.scope,
        "revision": event.revision,
        "objects": event.unreadable_count,
    }
    return (
        actions.Count(result_codes.STORE_OBJECT_UNREADABLE),
        actions.Log("warning", "store objects could not be read", fields),
    )


def _complete_revision(board: Board) -> int:
    """Return the revision up to which every exchanged object is known, -1 for none.

    Scopes that are watched slowly hold none of these once they were listed.
    """
    slow = board.settings.store.slow_scopes
    return min(
        row.position
        for row in board.store_scopes_by_name.values()
        if row.scope not in slow or row.position < 0
    )


def _note_contact(board: Board, known: rows.StoreScopeRow, now: float) -> Actions:
    """Note that the store answers again after an outage.

    Registrations that lapsed meanwhile come back within the grace of the settings.
    """
    decided: Actions = ()
    if known.failure_count:
        grace = board.settings.store.lapse_grace_seconds
        if grace and now - known.failing_since >= OUTAGE_SECONDS:
            _update(board, known.scope, removals_after=now + grace)
        fields = {
            "dependency": "store",
            "scope": known.scope,
            "failures": known.failure_count,
            "seconds": round(now - known.failing_since, 3),
        }
        decided = (
            actions.Log("info", "dependency regained", fields),
            *_call_failing_scopes(board, known.scope, now),
        )
    _update(board, known.scope, failure_count=0, failing_since=0.0, contacted_at=now)
    return decided


def _call_failing_scopes(board: Board, answered: str, now: float) -> Actions:
    """Have the other scopes call a store that answers again."""
    decided: list[actions.Action] = []
    for row in list(board.store_scopes_by_name.values()):
        if row.scope != answered and row.failure_count and row.call == "timer":
            decided += _set_timer(board, row.scope, now)
    return decided


def _without_early_removals(
    board: Board, scope: str, objects: Iterable[events.StoredObject], now: float
) -> tuple[events.StoredObject, ...]:
    known = board.store_scopes_by_name[scope]
    if now >= known.removals_after:
        return tuple(objects)
    kept = tuple(stored for stored in objects if not stored.deleted)
    # The list then tells what is still missing.
    _update(board, scope, list_after=known.removals_after)
    return kept


def _retry(board: Board, scope: str, now: float, random: Random) -> Actions:
    """Return a timer whose delay doubles with each failure in a row.

    The time that the failed call took counts as part of it.
    """
    known = board.store_scopes_by_name[scope]
    count = known.failure_count
    _update(board, scope, failure_count=count + 1)
    limit = board.settings.store.retry_limit_seconds
    delay = min(limit, STORE_RETRY_SECONDS * 2 ** min(count, 10))
    if _is_probed(board, scope):
        delay = max(delay, PROBED_RETRY_SECONDS)
    due = known.called_at + delay * random.uniform(0.5, 1.5)
    return _set_timer(board, scope, max(now + SHORTEST_RETRY_SECONDS, due))


def _is_probed(board: Board, scope: str) -> bool:
    """Return whether a scope before this one fails as well, and asks more often."""
    for row in board.store_scopes_by_name.values():
        if row.scope == scope:
            return False
        if row.failure_count:
            return True
    return False


@decide.register(events.StoreCallFailed)
def _note_failure(
    event: events.StoreCallFailed, board: Board, now: float, random: Random
) -> Actions:
    if event.operation_id not in (LIST_OPERATION, WATCH_OPERATION):
        return ()
    decided: list[actions.Action] = [actions.Count(result_codes.STORE_CALL_FAILED)]
    if not board.store_scopes_by_name[event.scope].failure_count:
        _update(board, event.scope, failing_since=now)
        fields = {
            "dependency": "store",
            "scope": event.scope,
            "detail": event.detail[:200],
        }
        decided.append(actions.Log("warning", "dependency lost", fields))
    return (*decided, *_retry(board, event.scope, now, random))


@decide.register(events.WatchExpired)
def _list_after_gap(
    event: events.WatchExpired, board: Board, now: float, random: Random
) -> Actions:
    _update(board, event.scope, list_after=now)
    return _set_timer(board, event.scope, now)
