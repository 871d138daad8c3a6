"""How long watches of the store wait, and how long entries pause between them.

Load pattern: in a fleet of hundreds of entries, upstreams change several times a
second, and a watch of every entry ends with each change. Only the schedulers of cells
need such changes at once. The other entries let them gather, for as long as the bounds
of the platform allow.
"""

from __future__ import annotations

from carawayhitch.board import Board
from carawayhitch.controllers import duties
from carawayhitch.controllers._cells import entry_scheduled_groups
from carawayhitch.core import settings as settings_types

# Kept free under each bound of the platform for the answer, its handling and timers.
BOUND_MARGIN_SECONDS = 0.5
# Share of the time between two answers for which a relaxed watch pauses. The watch that
# follows waits for the rest, so that a quiet scope costs no further calls.
RELAXED_PAUSE_SHARE = 0.8
# Candidates for a cell that follow its upstreams closely: its scheduler, and the entry
# that takes over from it.
CLOSE_CANDIDATE_COUNT = 2
# Wait of a watch after a failure. It is short, so that a recovered store answers even
# without a change and the other scopes can resume.
PROBE_WATCH_SECONDS = 0.05


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


def watch_seconds(board: Board, scope: str, now: float) -> float:
    """Return the longest time that a watch of a scope waits for a change."""
    longest = _longest_watch_seconds(board, scope)
    interval = answer_interval_seconds(board.settings.store)
    if scope in board.settings.store.slow_scopes or longest <= interval:
        return longest
    return interval if needs_bounded_waits(board, now) else longest


def needs_bounded_waits(board: Board, now: float) -> bool:
    """Return whether the bounds of the platform limit all watches of this entry.

    Others may wait longer, because the watchers of the zone push changes to them. That
    is uncertain while a watcher is suspected, and a call that failed shows that other
    connections may be silent.
    """
    return (
        keeps_close_contact(board, now)
        or any(row.bounded_until > now for row in board.store_scopes_by_name.values())
        or duties.has_suspect_watcher(board)
    )


def _longest_watch_seconds(board: Board, scope: str) -> float:
    store = board.settings.store
    if scope in store.slow_scopes:
        return store.slow_watch_seconds
    interval = answer_interval_seconds(store)
    if _is_relaxed(board, scope):
        return interval - pause_seconds(board, scope)
    if scope in store.relaxed_scopes:
        # Schedulers have to notice a silent store before an engine leaves unnoticed.
        return min(interval, store.watch_timeout_seconds)
    if not store.relaxed_scopes:
        return interval
    return max(interval, store.relaxed_watch_seconds)


def maximum_silence_seconds(board: Board, scope: str) -> float:
    """Return the time without an answer after which the store counts as silent.

    Only the long pauses of slow and of relaxed scopes are added to their wait.
    """
    pauses_long = scope in board.settings.store.slow_scopes or _is_relaxed(board, scope)
    pause = pause_seconds(board, scope) if pauses_long else 0.0
    return _longest_watch_seconds(board, scope) + pause


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


def keeps_close_contact(board: Board, now: float) -> bool:
    """Return whether other entries depend on this entry's contact with the store.

    Watchers push changes to their zone, and schedulers of cells use changes at once.
    Other entries have to regain contact only within the bound of the platform. Entries
    that do not know all objects yet, and deployments without that bound or without
    relaxed scopes, make no difference.
    """
    store = board.settings.store
    if not store.relaxed_scopes or not store.contact_milliseconds:
        return True
    if board.object_set.complete_revision < 0 or duties.is_watcher(board, now):
        return True
    return not all(_is_relaxed(board, scope) for scope in store.relaxed_scopes)


def pause_seconds(board: Board, scope: str) -> float:
    store = board.settings.store
    if scope in store.slow_scopes:
        return store.slow_pause_seconds
    if _is_relaxed(board, scope):
        return RELAXED_PAUSE_SHARE * answer_interval_seconds(store)
    return store.watch_pause_seconds
