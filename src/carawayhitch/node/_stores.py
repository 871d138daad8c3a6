"""Dispatch to the project's own platform interface or to that of the users."""

from __future__ import annotations

from functools import singledispatch
from typing import Any, NamedTuple

import aiohttp

from carawayhitch import codecs, platform
from carawayhitch.backends import StoreClient, call_store, read_load
from carawayhitch.core import actions, events
from carawayhitch.core import settings as settings_types

Store = StoreClient | platform.PlatformStore


def open_store(
    session: aiohttp.ClientSession, settings: settings_types.Settings
) -> Store:
    """Return the client for the kind of store that the settings select."""
    if settings.gateway.address:
        return platform.PlatformStore(session, settings)
    return StoreClient(session, settings)


@singledispatch
async def execute_store_action(store: Any, action: Any) -> Any:
    """Execute a store action and return the event with its result."""
    raise TypeError(f"expected a StoreClient or PlatformStore, got {store!r}")


@execute_store_action.register
async def _execute_object_store_action(store: StoreClient, action: Any) -> Any:
    return await call_store(store, action)


@execute_store_action.register
async def _execute_platform_store_action(
    store: platform.PlatformStore, action: Any
) -> Any:
    return await platform.call_platform_store(store, action)


class StoreCallLabels(NamedTuple):
    """Labels by which store calls are counted."""

    operation: str
    scope: str
    kind: str
    result: str


@singledispatch
def store_call_labels(action: Any, event: Any) -> StoreCallLabels:
    """Return the labels of a store action that ended with an event."""
    raise TypeError(f"not a store action: {action!r}")


@store_call_labels.register
def _label_list(action: actions.ListObjects, event: Any) -> StoreCallLabels:
    kind = _read_kind(action.may_be_stale)
    return StoreCallLabels("list", action.scope, kind, _result(event))


@store_call_labels.register
def _label_watch(action: actions.WatchObjects, event: Any) -> StoreCallLabels:
    kind = _read_kind(action.may_be_stale)
    return StoreCallLabels("watch", action.scope, kind, _result(event))


@store_call_labels.register
def _label_read(action: actions.ReadObject, event: Any) -> StoreCallLabels:
    kind = _read_kind(action.may_be_stale)
    return StoreCallLabels("read", action.kind, kind, _result(event))


@store_call_labels.register
def _label_write(action: actions.WriteObject, event: Any) -> StoreCallLabels:
    return StoreCallLabels("write", action.kind, "current", _result(event))


def _read_kind(may_be_stale: bool) -> str:
    return "stale" if may_be_stale else "current"


def _result(event: Any) -> str:
    if event is None:
        return "cancelled"
    return "failed" if isinstance(event, events.StoreCallFailed) else "answered"


@singledispatch
def decode_object_for_store(
    store: Any, stored: events.StoredObject
) -> events.DecodedObject:
    """Decode the declaration of a stored object from the format of its store."""
    raise TypeError(f"expected a StoreClient or PlatformStore, got {store!r}")


@decode_object_for_store.register
def _decode_for_object_store(
    store: StoreClient, stored: events.StoredObject
) -> events.DecodedObject:
    return codecs.decode_object(stored)


@decode_object_for_store.register
def _decode_for_platform_store(
    store: platform.PlatformStore, stored: events.StoredObject
) -> events.DecodedObject:
    return platform.decode_object(stored, store.settings.gateway.regions_by_zone)


@singledispatch
async def fetch_upstream_load(
    store: Any,
    session: aiohttp.ClientSession,
    upstream_id: str,
    address: str,
    now: float,
) -> Any:
    """Fetch the load of an engine by the interface of its platform."""
    raise TypeError(f"expected a StoreClient or PlatformStore, got {store!r}")


@fetch_upstream_load.register
async def _fetch_engine_load(
    store: StoreClient,
    session: aiohttp.ClientSession,
    upstream_id: str,
    address: str,
    now: float,
) -> Any:
    return await read_load(session, upstream_id, address, now)


@fetch_upstream_load.register
async def _fetch_platform_load(
    store: platform.PlatformStore,
    session: aiohttp.ClientSession,
    upstream_id: str,
    address: str,
    now: float,
) -> Any:
    return await platform.read_report(session, upstream_id, address, now)
