"""Controller of kept places: refused asks, their return, and the end of a place."""

from __future__ import annotations

from random import Random

from carawayhitch.board import Board
from carawayhitch.controllers._cells import SCHEDULING_TIMER
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.controllers.overload._capacity import (
    delete_idle_arrivals,
    record_arrival,
    record_engine_time,
    usable_engine_count,
    work_seconds,
)
from carawayhitch.controllers.overload._cell_pairs import other_schedulers_of_pair
from carawayhitch.controllers.overload._places import (
    PLACE_GRACE_SECONDS,
    RETURN_MAXIMUM_SECONDS,
    delete_expired_places,
    find_place,
    reserve_return,
    store_place,
)
from carawayhitch.controllers.overload._waits import (
    delete_old_counts,
    return_seconds,
    returning_engines,
    spare_engines,
)
from carawayhitch.core import actions, events, messages, rows

# Used while no upstream of the cell is usable, or the work is not known.
RETURN_DEFAULT_SECONDS = 10.0

decide = new_controller()


def prepare_ask(board: Board, ask: rows.AskRow, now: float) -> rows.AskRow:
    """Return a new ask with its work and, if one is kept, with its place.

    The goal is that of the first ask: an ask that comes back after its goal does not
    delay those that can still meet theirs. An ask that its entry repeats while it waits
    stays as it is: its place may have ended, or be that of another call.
    """
    waiting = board.asks_by_request_id.get(ask.request_id)
    if (
        waiting is not None
        and waiting.attempt == ask.attempt
        and waiting.cell_id == ask.cell_id
    ):
        return ask._replace(
            queued_at=waiting.queued_at,
            goal_deadline=waiting.goal_deadline,
            work_seconds=waiting.work_seconds,
            returned=waiting.returned,
        )
    ask = ask._replace(work_seconds=work_seconds(board, ask))
    place = find_place(board, ask, now)
    if place is not None:
        return ask._replace(
            queued_at=min(ask.queued_at, place.queued_at),
            goal_deadline=place.goal_deadline,
            returned=True,
        )
    if waiting is None and ask.attempt == 1:
        record_arrival(board, ask, now)
    return ask


def keep_place(
    board: Board, ask: rows.AskRow, now: float, engine_count: int | None = None
) -> tuple[float, list[actions.Action]]:
    """Keep the place of an ask that is refused.

    Parameters
    ----------
    engine_count : int or None
        Usable upstreams of its cell; counted here if None.

    Returns
    -------
    float
        Seconds after which its client should come back.
    list of Action
        The log line, and the notice to the scheduler that the client may reach.
    """
    cell = board.cells_by_id[ask.cell_id]
    engines = engine_count
    if engines is None:
        engines = usable_engine_count(board, cell, ask.entry_id, now)
    wait = RETURN_DEFAULT_SECONDS
    if engines and ask.work_seconds:
        wait = return_seconds(board, ask, engines, now)
    capacity = returning_engines(board, ask, engines, now)
    seconds, return_at = reserve_return(board, ask, wait, capacity, now)
    place = rows.ReturnPlaceRow(
        ask.queued_at, ask.goal_deadline, return_at + PLACE_GRACE_SECONDS
    )
    is_kept = store_place(board, ask.group, ask.account, ask.fingerprint, place)
    fields = {
        "request_id": ask.request_id,
        "cell": ask.cell_id,
        "account": ask.account,
        "rank": ask.rank,
        "returned": ask.returned,
        "usable_upstreams": engines,
        "spare_upstreams": round(
            spare_engines(board, ask, float("inf"), engines, now), 2
        ),
        "work_seconds": round(ask.work_seconds, 3),
        "expected_wait": round(wait, 3),
        "retry_after": seconds,
        "place_kept": is_kept,
    }
    decided: list[actions.Action] = [actions.Log("info", "return offered", fields)]
    if is_kept:
        notice = messages.PlaceKept(
            board.node_id, ask.group, ask.account, ask.fingerprint, *place
        )
        decided.extend(
            actions.Send(node_id, notice)
            for node_id in other_schedulers_of_pair(board, ask)
        )
    return seconds, decided


@decide.register(messages.PlaceKept)
def _store_place_of_other_cell(
    event: messages.PlaceKept, board: Board, now: float, random: Random
) -> Actions:
    if board.settings.overload.enabled:
        latest = now + RETURN_MAXIMUM_SECONDS + PLACE_GRACE_SECONDS
        place = rows.ReturnPlaceRow(
            min(event.queued_at, now),
            event.goal_deadline,
            min(event.deadline, latest),
        )
        store_place(board, event.group, event.account, event.fingerprint, place)
    return ()


@decide.register(messages.Finished)
def _record_engine_time(
    event: messages.Finished, board: Board, now: float, random: Random
) -> Actions:
    grant = board.grants_by_request_id.get(event.request_id)
    if (
        board.settings.overload.enabled
        and event.complete
        and grant is not None
        and grant.attempt == event.attempt
    ):
        record_engine_time(board, grant, now)
    return ()


@decide.register(events.TimerFired)
def _delete_expired_rows(
    event: events.TimerFired, board: Board, now: float, random: Random
) -> Actions:
    # Also with the setting off, since it may have been on before.
    if event.name != SCHEDULING_TIMER:
        return ()
    delete_expired_places(board, now)
    delete_idle_arrivals(board, now)
    delete_old_counts(board, now)
    return ()


@decide.register(events.ConfigurationChanged)
def _delete_times_of_removed_bindings(
    event: events.ConfigurationChanged, board: Board, now: float, random: Random
) -> Actions:
    configuration = board.configuration
    if configuration is None:
        return ()
    names = {binding.name for binding in configuration.bindings_by_precedence}
    for routes in configuration.routes_by_host.values():
        names.update(route.name for route in routes)
    for name in board.engine_times_by_binding.keys() - names:
        del board.engine_times_by_binding[name]
    return ()
