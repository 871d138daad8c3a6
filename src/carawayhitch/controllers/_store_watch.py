"""Lists and watches of the store, with one outstanding call per scope.

A watch without events cannot be told from a broken one, so each watch has a time
limit, and periodic lists find changes that watches skipped. Answers of the store are
emitted as `ObjectsReceived`.

Load pattern: in a fleet of hundreds of entries, upstreams change several times a
second, and a watch of every entry ends with each change. Only the schedulers of cells
need such changes at once. The other entries let them gather, for as long as the bounds
of the platform allow.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random
from typing import Any

from carawayhitch.board import Board
from carawayhitch.controllers import duties
from carawayhitch.controllers._cells import entry_scheduled_groups
from carawayhitch.controllers._configuration import (
    ANTI_ENTROPY_TIMER,
    CATCH_UP_OPERATION,
    PUSH_FANOUT,
    exchange_peers,
    report_outdated_answer,
)
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.core import actions, events, result_codes, rows
from carawayhitch.core import settings as settings_types

LIST_OPERATION = "configuration_list"
WATCH_OPERATION = "configuration_watch"
STORE_CALL_TIMER = "configuration_store"

# Entries that start together spread their first lists over this time. The first entry
# that has listed shares the objects with its peers, which then skip their own list.
FIRST_LIST_SPREAD_SECONDS = 2.0
RETRY_BASE_DELAY_SECONDS = 0.5
# Delay before a call that timed out is repeated. With the platform's call timeout of
# 2.5 s, an unresponsive connection is replaced within the 3 s in which an entry has to
# regain contact with the store.
MINIMUM_RETRY_DELAY_SECONDS = 0.05
# While one scope probes whether the store has recovered, the others retry rarely,
# because refused calls are charged in full.
DEFERRED_RETRY_DELAY_SECONDS = 5.0
# Wait of a watch after a failure. It is short, so that a recovered store answers even
# without a change and the other scopes can resume.
PROBE_WATCH_SECONDS = 0.05
# Stale reads lag by up to some seconds, so an immediate repetition would not help.
STALE_READ_PAUSE_SECONDS = 0.5
# A list finds changes that a watch skipped. 240 KB every 300 s are 0.8 KB/s.
LIST_INTERVAL_SECONDS = 300.0
# Kept free under each bound of the platform for the answer, its handling and timers.
BOUND_MARGIN_SECONDS = 0.5
# Share of the time between two answers for which a relaxed watch pauses. The watch that
# follows waits for the rest, so that a quiet scope costs no further calls.
RELAXED_PAUSE_SHARE = 0.8
# Candidates for a cell that follow its upstreams closely: its scheduler, and the entry
# that takes over from it.
CLOSE_CANDIDATE_COUNT = 2
# Registrations expire after several missed heartbeats, so an interruption of the store
# that is shorter than this expires none.
MINIMUM_OUTAGE_SECONDS = 1.0

decide = new_controller()


def _update_scope(board: Board, scope: str, **changes: Any) -> rows.StoreScopeRow:
    row = board.store_scopes_by_name[scope]._replace(**changes)
    board.store_scopes_by_name[scope] = row
    return row


@decide.register(events.ProcessStarted)
def _schedule_first_lists(
    event: events.ProcessStarted, board: Board, now: float, random: Random
) -> Actions:
    decided: list[actions.Action] = []
    for scope in board.store_scopes_by_name:
        if exchange_peers(board):
            delay = random.uniform(0.1, 1.0) * FIRST_LIST_SPREAD_SECONDS
            decided += _set_call_timer(board, scope, now + delay)
        else:
            decided += _make_next_call(board, scope, now, random)
    return decided


def _set_call_timer(board: Board, scope: str, deadline: float) -> Actions:
    _update_scope(board, scope, call="timer")
    return (actions.SetTimer(deadline, events.TimerFired(STORE_CALL_TIMER, scope)),)


def _known_revision(board: Board, scope_row: rows.StoreScopeRow) -> int:
    """Return the revision up to which every change is known, from store or peers.

    Peers do not exchange the objects of slow scopes, so these only count store answers.
    """
    if scope_row.scope in board.settings.store.slow_scopes:
        return scope_row.position
    return max(scope_row.position, board.object_set.complete_revision)


def _make_next_call(board: Board, scope: str, now: float, random: Random) -> Actions:
    """Start the next store call of a scope, if this node has to make one."""
    scope_row = board.store_scopes_by_name[scope]
    position = _known_revision(board, scope_row)
    store = board.settings.store
    may_be_stale = scope in store.stale_scopes
    if position >= 0 and not may_be_stale and not duties.is_watcher(board, now):
        if not store.stale_watches:
            _update_scope(board, scope, call="")
            return ()
        may_be_stale = True
    needs_own_list = scope in store.consistent_scopes and scope_row.position < 0
    if position >= 0 and not scope_row.list_after and not needs_own_list:
        # The watch continues from the peer's revision, so no initial list is needed.
        scope_row = _update_scope(
            board,
            scope,
            list_after=now + LIST_INTERVAL_SECONDS * random.uniform(0.5, 1.5),
        )
    if now >= scope_row.list_after:
        _update_scope(board, scope, call="list", called_at=now)
        list_may_be_stale = _list_may_be_stale(store, scope, position)
        return (actions.ListObjects(LIST_OPERATION, scope, list_may_be_stale),)
    _update_scope(board, scope, call="watch", called_at=now)
    wait = _watch_seconds(board, scope)
    if scope_row.failure_count:
        wait = min(wait, PROBE_WATCH_SECONDS)
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


def answer_interval_seconds(store: settings_types.StoreSettings) -> float:
    """Return the longest time between two answers to a watch of a working store.

    Bounds of the platform limit it; a connection that has failed silently is noticed
    when a watch times out.
    """
    limits = [
        store.contact_milliseconds / 1000.0 - store.timeout_seconds,
        store.configuration_milliseconds / 1000.0,
        store.leaving_milliseconds / 1000.0,
    ]
    if store.zone_drain_milliseconds:
        limits.append(store.zone_drain_milliseconds / 1000.0 - store.timeout_seconds)
    if min(limits) <= BOUND_MARGIN_SECONDS:
        return store.watch_timeout_seconds
    return min(limits) - BOUND_MARGIN_SECONDS


def _watch_seconds(board: Board, scope: str) -> float:
    """Return the longest time that a watch of a scope waits for a change."""
    store = board.settings.store
    if scope in store.slow_scopes:
        return store.slow_watch_seconds
    interval = answer_interval_seconds(store)
    if _is_relaxed(board, scope):
        return interval - _pause_seconds(board, scope)
    if scope in store.relaxed_scopes:
        # Schedulers have to notice a silent store before an engine leaves unnoticed.
        return min(interval, store.watch_timeout_seconds)
    return interval


def maximum_silence_seconds(board: Board, scope: str) -> float:
    """Return the time without an answer after which the store counts as silent.

    Only the long pauses of slow and of relaxed scopes are added to their wait.
    """
    pauses_long = scope in board.settings.store.slow_scopes or _is_relaxed(board, scope)
    pause = _pause_seconds(board, scope) if pauses_long else 0.0
    return _watch_seconds(board, scope) + pause


def _is_relaxed(board: Board, scope: str) -> bool:
    """Return whether this entry may learn of the changes of a scope late."""
    if scope not in board.settings.store.relaxed_scopes:
        return False
    entry_scheduled = entry_scheduled_groups(board)
    return not any(
        board.node_id in schedulers[:CLOSE_CANDIDATE_COUNT]
        and board.cells_by_id[cell_id].group not in entry_scheduled
        for cell_id, schedulers in board.schedulers_by_cell_id.items()
        if cell_id in board.cells_by_id
    )


def _pause_seconds(board: Board, scope: str) -> float:
    store = board.settings.store
    if scope in store.slow_scopes:
        return store.slow_pause_seconds
    if _is_relaxed(board, scope):
        return RELAXED_PAUSE_SHARE * answer_interval_seconds(store)
    return store.watch_pause_seconds


@decide.register(events.TimerFired)
def _handle_timer(
    event: events.TimerFired, board: Board, now: float, random: Random
) -> Actions:
    if event.name == ANTI_ENTROPY_TIMER:
        return _watch_idle_scopes(board, now, random)
    if (
        event.name != STORE_CALL_TIMER
        or event.subject not in board.store_scopes_by_name
    ):
        return ()
    if board.store_scopes_by_name[event.subject].call != "timer":
        return ()
    return _make_next_call(board, event.subject, now, random)


@decide.register(events.MembershipChanged)
def _watch_after_membership_change(
    event: events.MembershipChanged, board: Board, now: float, random: Random
) -> Actions:
    return _watch_idle_scopes(board, now, random)


def _watch_idle_scopes(board: Board, now: float, random: Random) -> Actions:
    idle = [row.scope for row in board.store_scopes_by_name.values() if not row.call]
    if not idle or not duties.is_watcher(board, now):
        return ()
    decided: list[actions.Action] = []
    for scope in idle:
        pause = _pause_seconds(board, scope)
        decided += _set_call_timer(board, scope, now + random.uniform(0, pause))
    return decided


@decide.register(events.ObjectsListed)
def _handle_list(
    event: events.ObjectsListed, board: Board, now: float, random: Random
) -> Actions:
    if event.operation_id == CATCH_UP_OPERATION:
        # Does not belong to the sequence of calls of its scope.
        received = events.ObjectsReceived(event.objects, -1, 0, is_current=True)
        return (*_report_unreadable_objects(event), actions.Emit(received))
    # Set before the answer is handled: if `_defer_removals` drops removals, it moves
    # the next list to the end of the grace period, so that one is requested after it.
    scope_row = board.store_scopes_by_name[event.scope]
    list_after = now + LIST_INTERVAL_SECONDS * random.uniform(0.5, 1.5)
    _update_scope(board, event.scope, list_after=list_after)
    removed = _tombstones_of_unlisted(event, board)
    first = _known_revision(board, scope_row) < 0
    taken = _handle_answer(
        board,
        event,
        (*event.objects, *removed),
        now,
        random,
        PUSH_FANOUT if first or removed else 0,
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
    if event.revision < _known_revision(board, scope_row) and event.may_be_stale:
        # This node knows newer changes already; a later stale read may include them.
        kept = _defer_removals(board, event.scope, objects, now)
        return (
            *_record_contact(board, scope_row, now),
            actions.Emit(events.ObjectsReceived(kept, -1, push_count)),
            *_set_call_timer(board, event.scope, now + STALE_READ_PAUSE_SECONDS),
        )
    if event.revision < _known_revision(board, scope_row):
        received = events.ObjectsReceived(tuple(objects), -1, push_count)
        return (
            *report_outdated_answer(board, "store", event.revision),
            actions.Emit(received),
            *_schedule_retry(board, event.scope, now, random),
        )
    decided = _record_contact(board, scope_row, now)
    kept = _defer_removals(board, event.scope, objects, now)
    _update_scope(board, event.scope, position=event.revision)
    complete = _complete_revision(board)
    pause = _pause_seconds(board, event.scope)
    return (
        *decided,
        actions.Emit(
            events.ObjectsReceived(
                kept, complete, push_count, is_current=not event.may_be_stale
            )
        ),
        *_set_call_timer(board, event.scope, now + pause),
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


def _complete_revision(board: Board) -> int:
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


def _record_contact(board: Board, scope_row: rows.StoreScopeRow, now: float) -> Actions:
    """Record an answer of the store and end an outage if there was one.

    Removals are deferred after an outage, because registrations that expired during it
    are renewed within the grace period of the settings.
    """
    decided: Actions = ()
    if scope_row.failure_count:
        grace = board.settings.store.lapse_grace_seconds
        if grace and now - scope_row.failing_since >= MINIMUM_OUTAGE_SECONDS:
            _update_scope(board, scope_row.scope, removals_applied_after=now + grace)
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
    _update_scope(
        board, scope_row.scope, failure_count=0, failing_since=0.0, contacted_at=now
    )
    return decided


def _call_failing_scopes(board: Board, answered: str, now: float) -> Actions:
    """Retry the other failing scopes now that the store answers again."""
    decided: list[actions.Action] = []
    for row in list(board.store_scopes_by_name.values()):
        if row.scope != answered and row.failure_count and row.call == "timer":
            decided += _set_call_timer(board, row.scope, now)
    return decided


def _defer_removals(
    board: Board, scope: str, objects: Iterable[events.StoredObject], now: float
) -> tuple[events.StoredObject, ...]:
    scope_row = board.store_scopes_by_name[scope]
    if now >= scope_row.removals_applied_after:
        return tuple(objects)
    kept = tuple(stored for stored in objects if not stored.deleted)
    # A list after the grace period finds the objects that are really removed.
    _update_scope(board, scope, list_after=scope_row.removals_applied_after)
    return kept


def _schedule_retry(board: Board, scope: str, now: float, random: Random) -> Actions:
    """Set a retry timer whose delay doubles with each consecutive failure.

    The delay is measured from the start of the failed call.
    """
    scope_row = board.store_scopes_by_name[scope]
    count = scope_row.failure_count
    _update_scope(board, scope, failure_count=count + 1)
    limit = board.settings.store.retry_limit_seconds
    delay = min(limit, RETRY_BASE_DELAY_SECONDS * 2 ** min(count, 10))
    if _defers_to_failing_scope(board, scope):
        delay = max(delay, DEFERRED_RETRY_DELAY_SECONDS)
    due = scope_row.called_at + delay * random.uniform(0.5, 1.5)
    return _set_call_timer(board, scope, max(now + MINIMUM_RETRY_DELAY_SECONDS, due))


def _defers_to_failing_scope(board: Board, scope: str) -> bool:
    """Return whether an earlier scope fails as well and probes the store."""
    for row in board.store_scopes_by_name.values():
        if row.scope == scope:
            return False
        if row.failure_count:
            return True
    return False


@decide.register(events.StoreCallFailed)
def _handle_failed_call(
    event: events.StoreCallFailed, board: Board, now: float, random: Random
) -> Actions:
    if event.operation_id not in (LIST_OPERATION, WATCH_OPERATION):
        return ()
    decided: list[actions.Action] = [actions.Count(result_codes.STORE_CALL_FAILED)]
    if not board.store_scopes_by_name[event.scope].failure_count:
        _update_scope(board, event.scope, failing_since=now)
        fields = {
            "dependency": "store",
            "scope": event.scope,
            "detail": event.detail[:200],
        }
        decided.append(actions.Log("warning", "dependency lost", fields))
    return (*decided, *_schedule_retry(board, event.scope, now, random))


@decide.register(events.WatchExpired)
def _list_after_expired_watch(
    event: events.WatchExpired, board: Board, now: float, random: Random
) -> Actions:
    _update_scope(board, event.scope, list_after=now)
    return _set_call_timer(board, event.scope, now)
