"""Controller of kept places: refused asks, their return, and the end of a place."""

from __future__ import annotations

from random import Random

from carawayhitch.board import Board
from carawayhitch.controllers import _fairness
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
from carawayhitch.controllers.overload._waits import (
    delete_old_counts,
    return_seconds,
    returning_engines,
    spare_engines,
)
from carawayhitch.core import actions, events, messages, rows

# Entries and clients need a moment, and an earlier return finds no more than there was.
RETURN_MINIMUM_SECONDS = 1.0
RETURN_MAXIMUM_SECONDS = 60.0
# Used while no upstream of the cell is usable, or the work is not known.
RETURN_DEFAULT_SECONDS = 10.0
# Clients may come back later than told. A place lasts for this time after the return,
# which also covers the wait of the repeated ask.
PLACE_GRACE_SECONDS = 15.0
# A place takes about 300 bytes. Beyond the limit of an account its asks get none.
ACCOUNT_PLACE_LIMIT = 200
PLACE_LIMIT = 4000

decide = new_controller()


def _place_key(group: str, account: str, fingerprint: str) -> tuple[str, str, str]:
    return (group, account, fingerprint)


def prepare_ask(board: Board, ask: rows.AskRow, now: float) -> rows.AskRow:
    """Return a new ask with its work and, if one is kept, with its place.

    The goal is that of the first ask: an ask that comes back after its goal does not
    delay those that can still meet theirs.
    """
    ask = ask._replace(work_seconds=work_seconds(board, ask))
    key = _place_key(ask.group, ask.account, ask.fingerprint)
    place = board.return_places_by_call.get(key)
    if place is not None and now < place.deadline:
        return ask._replace(
            queued_at=min(ask.queued_at, place.queued_at),
            goal_deadline=place.goal_deadline,
            returned=True,
        )
    if ask.request_id not in board.asks_by_request_id:
        record_arrival(board, ask, now)
    return ask


def forget_place(board: Board, ask: rows.AskRow) -> None:
    """Delete the place of an ask that is granted."""
    key = _place_key(ask.group, ask.account, ask.fingerprint)
    board.return_places_by_call.pop(key, None)


def keep_place(
    board: Board, ask: rows.AskRow, now: float
) -> tuple[float, list[actions.Action]]:
    """Keep the place of an ask that is refused.

    Returns
    -------
    float
        Seconds after which its client should come back.
    list of Action
        The log line, and the notice to the scheduler that the client may reach.
    """
    cell = board.cells_by_id[ask.cell_id]
    engines = usable_engine_count(board, cell, ask.entry_id, now)
    wait = RETURN_DEFAULT_SECONDS
    if engines and ask.work_seconds:
        wait = return_seconds(board, ask, engines, now)
    seconds = _reserve_return(board, ask, wait, engines, now)
    place = rows.ReturnPlaceRow(
        ask.queued_at, ask.goal_deadline, now + seconds + PLACE_GRACE_SECONDS
    )
    is_kept = _store_place(board, ask.group, ask.account, ask.fingerprint, place)
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


def _reserve_return(
    board: Board, ask: rows.AskRow, wait: float, engines: int, now: float
) -> float:
    """Return the seconds after which a refused ask would be served.

    The returns of an account follow each other at its share of the capacity, so that
    they do not come together and those of a small account need not wait for them.
    """
    table = board.next_return_times_by_account
    key = (ask.cell_id, ask.rank, ask.account)
    at = max(now + wait, table.get(key, 0.0))
    weights = {
        account: _fairness.quota_weight(board, account)
        for (cell_id, rank, account), time in table.items()
        if (cell_id, rank) == key[:2] and time > now
    }
    weights[ask.account] = _fairness.quota_weight(board, ask.account)
    share = weights[ask.account] / sum(weights.values())
    capacity = returning_engines(board, ask, engines, now)
    latest = now + RETURN_MAXIMUM_SECONDS
    table[key] = min(latest, at + ask.work_seconds / (capacity * share))
    seconds = min(RETURN_MAXIMUM_SECONDS, max(RETURN_MINIMUM_SECONDS, at - now))
    return round(seconds, 3)


def _store_place(
    board: Board,
    group: str,
    account: str,
    fingerprint: str,
    place: rows.ReturnPlaceRow,
) -> bool:
    """Store a place and return True, or return False at a limit."""
    table = board.return_places_by_call
    key = _place_key(group, account, fingerprint)
    current = table.get(key)
    if current is not None:
        # The same call was refused again, or by the other scheduler of its pair.
        place = place._replace(queued_at=min(place.queued_at, current.queued_at))
    else:
        own_count = sum(name == account for _, name, _ in table)
        if own_count >= ACCOUNT_PLACE_LIMIT or len(table) >= PLACE_LIMIT:
            return False
    table[key] = place
    return True


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
        _store_place(board, event.group, event.account, event.fingerprint, place)
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
    if event.name != SCHEDULING_TIMER or not board.settings.overload.enabled:
        return ()
    for call, place in list(board.return_places_by_call.items()):
        if now >= place.deadline:
            del board.return_places_by_call[call]
    for key, time in list(board.next_return_times_by_account.items()):
        if now >= time:
            del board.next_return_times_by_account[key]
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
