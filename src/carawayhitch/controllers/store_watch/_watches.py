"""Lists and watches of the store, with one outstanding call per scope.

A watch without events cannot be told from a broken one, so each watch has a time
limit, and periodic lists find changes that watches skipped. Answers of the store are
emitted as `ObjectsReceived`.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from carawayhitch.board import Board
from carawayhitch.controllers import duties
from carawayhitch.controllers._configuration import (
    ANTI_ENTROPY_TIMER,
    CATCH_UP_OPERATION,
    PUSH_FANOUT,
    exchange_peers,
    report_outdated_answer,
)
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.controllers._membership import PROBE_TIMER
from carawayhitch.controllers.store_watch._outages import (
    call_deferred_scopes,
    record_contact,
    schedule_retry,
)
from carawayhitch.controllers.store_watch._removals import (
    REMOVALS_TIMER,
    decide_on_removals,
    defer_removals,
)
from carawayhitch.controllers.store_watch._scopes import (
    LIST_OPERATION,
    STORE_CALL_TIMER,
    WATCH_OPERATION,
    complete_revision,
    known_revision,
    set_call_timer,
    update_scope,
)
from carawayhitch.controllers.store_watch._waits import (
    PROBE_WATCH_SECONDS,
    answer_interval_seconds,
    needs_bounded_waits,
    pause_seconds,
    watch_seconds,
)
from carawayhitch.core import actions, events, result_codes
from carawayhitch.core import settings as settings_types

# Entries that start together spread their first lists over this time. The first entry
# that has listed shares the objects with its peers, which then skip their own list.
FIRST_LIST_SPREAD_SECONDS = 2.0
# Stale reads lag by up to some seconds, so an immediate repetition would not help.
STALE_READ_PAUSE_SECONDS = 0.5
# A list finds changes that a watch skipped. 240 KB every 300 s are 0.8 KB/s.
LIST_INTERVAL_SECONDS = 300.0

decide = new_controller()


@decide.register(events.ProcessStarted)
def _schedule_first_lists(
    event: events.ProcessStarted, board: Board, now: float, random: Random
) -> Actions:
    decided: list[actions.Action] = []
    end = _end_of_start(board, now - event.elapsed_seconds)
    for scope in board.store_scopes_by_name:
        update_scope(board, scope, watched_stale_until=end)
        if exchange_peers(board):
            delay = random.uniform(0.1, 1.0) * FIRST_LIST_SPREAD_SECONDS
            decided += set_call_timer(board, scope, now + delay)
        else:
            decided += _make_next_call(board, scope, now, random)
    return decided


def _end_of_start(board: Board, created_at: float) -> float:
    """Return until when a starting entry leaves consistent watches to others.

    Until it knows the members of its zone, each of hundreds of entries that start
    together would take itself for a watcher. The end leaves time for a first answer
    within the bound for regaining contact, which counts from the creation of the
    process.
    """
    store = board.settings.store
    if not store.stale_watches or not store.contact_milliseconds:
        return 0.0
    return created_at + answer_interval_seconds(store)


def _make_next_call(board: Board, scope: str, now: float, random: Random) -> Actions:
    """Start the next store call of a scope, if this node has to make one."""
    scope_row = board.store_scopes_by_name[scope]
    position = known_revision(board, scope_row)
    store = board.settings.store
    may_be_stale = scope in store.stale_scopes
    is_starting = now < scope_row.watched_stale_until
    is_watcher = not is_starting and duties.is_watcher(board, now)
    if position >= 0 and not may_be_stale and not is_watcher:
        if not store.stale_watches:
            update_scope(board, scope, call="", deferred_removals=())
            return call_deferred_scopes(board, now)
        may_be_stale = True
    needs_own_list = scope in store.consistent_scopes and scope_row.position < 0
    if position >= 0 and not scope_row.list_after and not needs_own_list:
        # The watch continues from the peer's revision, so no initial list is needed.
        scope_row = update_scope(
            board,
            scope,
            list_after=now + LIST_INTERVAL_SECONDS * random.uniform(0.5, 1.5),
        )
    if now >= scope_row.list_after:
        update_scope(board, scope, call="list", called_at=now, tests_connection=False)
        list_may_be_stale = _list_may_be_stale(store, scope, position)
        return (actions.ListObjects(LIST_OPERATION, scope, list_may_be_stale),)
    update_scope(board, scope, call="watch", called_at=now, tests_connection=False)
    wait = watch_seconds(board, scope, now)
    if is_starting and scope not in store.slow_scopes:
        wait = min(wait, scope_row.watched_stale_until - now)
    if scope_row.failure_count or scope_row.tests_connection:
        wait = min(wait, PROBE_WATCH_SECONDS)
    update_scope(board, scope, watch_deadline=now + wait)
    watch = actions.WatchObjects(WATCH_OPERATION, position, wait, scope, may_be_stale)
    return (watch,)


def _list_may_be_stale(
    store: settings_types.StoreSettings, scope: str, position: int
) -> bool:
    """Return whether a list of a scope may be seconds old.

    A first list may be, since the watch that follows finds newer changes, unless an
    object of the scope binds the entry from its start. Later lists have to find changes
    that a watch skipped, except in slow scopes, whose changes also reach the entries in
    another way.
    """
    if scope in store.consistent_scopes:
        return False
    if position < 0:
        return store.stale_watches or scope in store.stale_scopes
    return scope in store.slow_scopes and scope in store.stale_scopes


@decide.register(events.TimerFired)
def _handle_timer(
    event: events.TimerFired, board: Board, now: float, random: Random
) -> Actions:
    if event.name in (ANTI_ENTROPY_TIMER, PROBE_TIMER):
        return _watch_uncovered_scopes(board, now, random)
    if event.subject not in board.store_scopes_by_name:
        return ()
    if event.name == REMOVALS_TIMER:
        return decide_on_removals(board, event.subject, now)
    if event.name != STORE_CALL_TIMER:
        return ()
    if board.store_scopes_by_name[event.subject].call != "timer":
        return ()
    return _make_next_call(board, event.subject, now, random)


@decide.register(events.MembershipChanged)
def _watch_after_membership_change(
    event: events.MembershipChanged, board: Board, now: float, random: Random
) -> Actions:
    return _watch_uncovered_scopes(board, now, random)


def _watch_uncovered_scopes(board: Board, now: float, random: Random) -> Actions:
    """Begin the watches of a new watcher, and replace those that became too long."""
    store = board.settings.store
    latest = now + answer_interval_seconds(store)
    scope_rows = board.store_scopes_by_name.values()
    idle = [row.scope for row in scope_rows if not row.call]
    if idle and not duties.is_watcher(board, now):
        idle = []
    long = [
        row.scope
        for row in scope_rows
        if row.call == "watch"
        and row.watch_deadline > latest
        and row.scope not in store.slow_scopes
    ]
    if long and not needs_bounded_waits(board, now):
        long = []
    decided: list[actions.Action] = []
    for scope in (*idle, *long):
        pause = pause_seconds(board, scope)
        decided += set_call_timer(board, scope, now + random.uniform(0, pause))
    return decided


@decide.register(events.ObjectsListed)
def _handle_list(
    event: events.ObjectsListed, board: Board, now: float, random: Random
) -> Actions:
    if event.operation_id == CATCH_UP_OPERATION:
        # Does not belong to the sequence of calls of its scope.
        received = events.ObjectsReceived(event.objects, -1, 0, is_current=True)
        return (*_report_unreadable_objects(event), actions.Emit(received))
    scope_row = board.store_scopes_by_name[event.scope]
    list_after = now + LIST_INTERVAL_SECONDS * random.uniform(0.5, 1.5)
    update_scope(board, event.scope, list_after=list_after)
    removed = _tombstones_of_unlisted(event, board)
    first = known_revision(board, scope_row) < 0
    deferred = scope_row.deferred_removals
    taken = _handle_answer(
        board,
        event,
        (*event.objects, *removed),
        now,
        random,
        PUSH_FANOUT if first or removed or deferred else 0,
    )
    return (*_report_unreadable_objects(event), *taken)


def _tombstones_of_unlisted(
    event: events.ObjectsListed, board: Board
) -> list[events.StoredObject]:
    """Return tombstones for known objects that are missing in a list of their kind.

    An object that is listed but cannot be read keeps its last value.
    """
    if not event.kinds:
        return []
    listed = {(stored.kind, stored.name) for stored in event.objects}
    listed.update(
        (kind, name) for kind in event.kinds for name in event.unreadable_names
    )
    return [
        events.StoredObject(*key, event.revision, b"", deleted=True)
        for key, row in board.objects_by_key.items()
        if key[0] in event.kinds
        and key not in listed
        and not row.deleted
        and row.version < event.revision
    ]


@decide.register(events.ObjectsChanged)
def _handle_watch(
    event: events.ObjectsChanged, board: Board, now: float, random: Random
) -> Actions:
    taken = _handle_answer(board, event, event.objects, now, random, PUSH_FANOUT)
    return (*_report_unreadable_objects(event), *taken)


def _handle_answer(
    board: Board,
    event: events.ObjectsListed | events.ObjectsChanged,
    objects: Iterable[events.StoredObject],
    now: float,
    random: Random,
    push_count: int,
) -> Actions:
    """Emit the objects of a store answer and schedule the next call.

    An answer with a lower revision than the known one is late or comes from a store
    that lost changes. Its objects are merged nevertheless, because merging by version
    never reverts an object.
    """
    scope_row = board.store_scopes_by_name[event.scope]
    # A list returns a state between its call and its answer, a watch the last change.
    is_list = isinstance(event, events.ObjectsListed)
    read_at = scope_row.called_at if is_list else now
    if event.revision < known_revision(board, scope_row) and event.may_be_stale:
        # This node knows newer changes already; a later stale read may include them.
        decided = record_contact(board, scope_row, now)
        kept, deferred = defer_removals(board, event.scope, objects, read_at, now)
        return (
            *decided,
            actions.Emit(events.ObjectsReceived(kept, -1, push_count)),
            *deferred,
            *set_call_timer(board, event.scope, now + STALE_READ_PAUSE_SECONDS),
        )
    if event.revision < known_revision(board, scope_row):
        received = events.ObjectsReceived(tuple(objects), -1, push_count)
        return (
            *report_outdated_answer(board, "store", event.revision),
            actions.Emit(received),
            *schedule_retry(board, event.scope, now, random),
        )
    decided = record_contact(board, scope_row, now)
    kept, deferred = defer_removals(board, event.scope, objects, read_at, now)
    scope_row = update_scope(board, event.scope, position=event.revision)
    if is_list and read_at >= scope_row.removals_applied_after:
        update_scope(board, event.scope, deferred_removals=())
    complete = complete_revision(board)
    pause = pause_seconds(board, event.scope)
    return (
        *decided,
        actions.Emit(
            events.ObjectsReceived(
                kept, complete, push_count, is_current=not event.may_be_stale
            )
        ),
        *deferred,
        *set_call_timer(board, event.scope, now + pause),
    )


def _report_unreadable_objects(
    event: events.ObjectsListed | events.ObjectsChanged,
) -> Actions:
    """Count and log the objects that could not be read, once per answer."""
    if not event.unreadable_count:
        return ()
    fields = {
        "code": result_codes.STORE_OBJECT_UNREADABLE.name,
        "scope": event.scope,
        "revision": event.revision,
        "objects": event.unreadable_count,
        "names": list(event.unreadable_names),
    }
    return (
        actions.Count(result_codes.STORE_OBJECT_UNREADABLE),
        actions.Log("warning", "store objects could not be read", fields),
    )


@decide.register(events.StoreCallFailed)
def _handle_failed_call(
    event: events.StoreCallFailed, board: Board, now: float, random: Random
) -> Actions:
    if event.operation_id not in (LIST_OPERATION, WATCH_OPERATION):
        return ()
    decided: list[actions.Action] = [actions.Count(result_codes.STORE_CALL_FAILED)]
    if not board.store_scopes_by_name[event.scope].failure_count:
        update_scope(board, event.scope, failing_since=now)
        fields = {
            "dependency": "store",
            "scope": event.scope,
            "detail": event.detail[:200],
        }
        decided.append(actions.Log("warning", "dependency lost", fields))
    return (*decided, *schedule_retry(board, event.scope, now, random))


@decide.register(events.WatchExpired)
def _list_after_expired_watch(
    event: events.WatchExpired, board: Board, now: float, random: Random
) -> Actions:
    update_scope(board, event.scope, list_after=now)
    return set_call_timer(board, event.scope, now)
