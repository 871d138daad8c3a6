"""Times for which upstreams want no calls from an entry.

An overloaded upstream refuses a call and names the time after which the entry may send
it another one. Each entry has its own times; it tells them to the schedulers of the
upstream's cells, which place its calls elsewhere meanwhile. Load pattern: a burst fills
all upstreams, so that calls, retries and load polls would refuse each other's room.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from carawayhitch.board import Board
from carawayhitch.controllers import zones
from carawayhitch.controllers._cells import other_schedulers
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.core import actions, events, messages, rows

# Entries that were refused together return spread over this share of their time, and
# over at least this time.
SPREAD_SHARE = 0.25
MINIMUM_SPREAD_SECONDS = 0.1
# A longer time is a fault of the upstream: the platform replaces it within minutes.
MAXIMUM_BACKOFF_SECONDS = 60.0

decide = new_controller()


def is_backing_off(board: Board, entry_id: str, upstream_id: str, now: float) -> bool:
    """Return whether an upstream wants no calls from an entry at this time."""
    return now < board.backoff_deadlines_by_entry_upstream.get(
        (entry_id, upstream_id), 0.0
    )


def next_available_at(board: Board, group: str, now: float) -> float:
    """Return when an upstream of a group takes calls of this entry again.

    Returns
    -------
    float
        Time in seconds of the node clock; 0 if an upstream takes calls now, or if the
        group has no upstream.
    """
    if not board.backoff_deadlines_by_entry_upstream:
        return 0.0
    deadlines = [
        board.backoff_deadlines_by_entry_upstream.get((board.node_id, upstream_id), 0.0)
        for cell in board.cells_by_id.values()
        if cell.group == group
        for upstream_id in cell.upstream_ids
        if (upstream := board.upstreams_by_id.get(upstream_id))
        and not upstream.leaving
        and zones.accepts_work(board, upstream)
    ]
    earliest = min(deadlines, default=0.0)
    return earliest if now < earliest else 0.0


def load_polls(
    board: Board, upstreams: Iterable[rows.UpstreamRow], now: float
) -> Actions:
    """Return the load polls of upstreams, without those that want no calls."""
    return [
        actions.PollLoad(upstream.upstream_id, upstream.address)
        for upstream in upstreams
        if not is_backing_off(board, board.node_id, upstream.upstream_id, now)
    ]


def backoff_notice(board: Board, upstream_id: str) -> messages.BackoffSeen:
    """Return the message that tells a scheduler of this entry's time."""
    deadline = board.backoff_deadlines_by_entry_upstream[board.node_id, upstream_id]
    return messages.BackoffSeen(board.node_id, upstream_id, deadline)


@decide.register(events.BackoffRequested)
def _begin_backoff(
    event: events.BackoffRequested, board: Board, now: float, random: Random
) -> Actions:
    seconds = min(event.deadline - now, MAXIMUM_BACKOFF_SECONDS)
    spread = max(MINIMUM_SPREAD_SECONDS, seconds * SPREAD_SHARE)
    deadline = now + seconds + random.uniform(0.0, spread)
    if not _store_deadline(board, board.node_id, event.upstream_id, deadline):
        return ()
    fields = {
        "upstream": event.upstream_id,
        "reason": "wants no calls",
        "seconds": round(deadline - now, 3),
    }
    notice = backoff_notice(board, event.upstream_id)
    return (
        actions.Log("info", "upstream avoided", fields),
        *(
            actions.Send(node_id, notice)
            for node_id in other_schedulers(board, event.upstream_id)
        ),
    )


def _store_deadline(
    board: Board, entry_id: str, upstream_id: str, deadline: float
) -> bool:
    """Store a deadline unless a later one is known; return whether it was stored."""
    deadlines = board.backoff_deadlines_by_entry_upstream
    if deadline <= deadlines.get((entry_id, upstream_id), 0.0):
        return False
    deadlines[entry_id, upstream_id] = deadline
    return True


@decide.register(messages.BackoffSeen)
def _store_backoff_of_entry(
    event: messages.BackoffSeen, board: Board, now: float, random: Random
) -> Actions:
    _store_deadline(board, event.sender_id, event.upstream_id, event.deadline)
    return ()


@decide.register(events.UpstreamsChanged)
def _delete_ended_backoffs(
    event: events.UpstreamsChanged, board: Board, now: float, random: Random
) -> Actions:
    deadlines = board.backoff_deadlines_by_entry_upstream
    for key, deadline in list(deadlines.items()):
        if now >= deadline:
            del deadlines[key]
    return ()
