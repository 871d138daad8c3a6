"""Configuration: newest objects of the store, checked and put in force."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random
from typing import Any

from carawayhitch.board import Board
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.core import actions, declarations, events, result_codes, rows

LIST_OPERATION = "configuration_list"
WATCH_OPERATION = "configuration_watch"
RETRY_SECONDS = 0.5

decide = new_controller()


def build_configuration(
    revision: int, declared: Iterable[Any]
) -> declarations.Configuration:
    """Return a configuration from declarations that passed their checks."""
    by_type: dict[type[Any], dict[str, Any]] = {}
    for declaration in declared:
        by_type.setdefault(type(declaration), {})[declaration.name] = declaration
    accounts = by_type.get(declarations.ClientAccount, {})
    bindings = by_type.get(declarations.Binding, {}).values()
    return declarations.Configuration(
        revision=revision,
        serving_groups_by_name=by_type.get(declarations.ServingGroup, {}),
        rank_classes_by_name=by_type.get(declarations.RankClass, {}),
        accounts_by_name=accounts,
        accounts_by_token_sha256={
            token: account
            for account in accounts.values()
            for token in account.token_sha256s
        },
        bindings_by_precedence=tuple(
            sorted(bindings, key=lambda binding: (-binding.precedence, binding.name))
        ),
        services_by_name=by_type.get(declarations.PlainService, {}),
        labels_by_upstream_id={
            upstream.name: upstream.labels
            for upstream in by_type.get(declarations.UpstreamLabels, {}).values()
        },
        orders_by_name=by_type.get(declarations.EngineOrder, {}),
    )


@decide.register(events.ProcessStarted)
def _list_first(
    event: events.ProcessStarted, board: Board, now: float, random: Random
) -> Actions:
    return (actions.ListObjects(LIST_OPERATION),)


@decide.register(events.ObjectsListed)
def _take_list(
    event: events.ObjectsListed, board: Board, now: float, random: Random
) -> Actions:
    return (
        *_merge(board, event.objects, event.revision),
        actions.WatchObjects(WATCH_OPERATION, event.revision),
    )


@decide.register(events.ObjectsChanged)
def _take_changes(
    event: events.ObjectsChanged, board: Board, now: float, random: Random
) -> Actions:
    merged = _merge(board, event.objects, event.revision)
    if event.source != "store":
        return merged
    return (*merged, actions.WatchObjects(WATCH_OPERATION, event.revision))


@decide.register(events.StoreCallFailed)
def _try_again(
    event: events.StoreCallFailed, board: Board, now: float, random: Random
) -> Actions:
    if event.operation_id not in (LIST_OPERATION, WATCH_OPERATION):
        return ()
    delay = RETRY_SECONDS * random.uniform(0.5, 1.5)
    timer = events.TimerFired(LIST_OPERATION)
    return (
        actions.Count(result_codes.STORE_CALL_FAILED),
        actions.SetTimer(now + delay, timer),
    )


@decide.register(events.TimerFired)
def _list_again(
    event: events.TimerFired, board: Board, now: float, random: Random
) -> Actions:
    if event.name != LIST_OPERATION:
        return ()
    return (actions.ListObjects(LIST_OPERATION),)


def _merge(
    board: Board, objects: Iterable[events.StoredObject], revision: int
) -> Actions:
    changed = False
    for stored in objects:
        key = (stored.kind, stored.name)
        known = board.objects_by_key.get(key)
        if known is not None and known.version >= stored.version:
            continue
        board.objects_by_key[key] = rows.ObjectRow(
            key, stored.version, stored.value, stored.deleted
        )
        changed = True
    if not changed and board.configuration is not None:
        return ()
    return (actions.CheckConfiguration(revision),)


@decide.register(events.ConfigurationChecked)
def _put_in_force(
    event: events.ConfigurationChecked, board: Board, now: float, random: Random
) -> Actions:
    if event.problems:
        fields = {"revision": event.revision, "problems": list(event.problems)}
        return (
            actions.Count(result_codes.CONFIGURATION_REJECTED),
            actions.Log("error", "configuration rejected", fields),
        )
    current = board.configuration
    if current is not None and current.revision > event.revision:
        return ()
    board.configuration_by_name["in_force"] = build_configuration(
        event.revision, event.declarations
    )
    return (actions.Emit(events.ConfigurationChanged(event.revision)),)
