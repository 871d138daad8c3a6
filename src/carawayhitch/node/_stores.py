"""Dispatch to the project's own platform interface or to that of the users."""

from __future__ import annotations

from functools import singledispatch
from typing import Any

import aiohttp

from carawayhitch import codecs, platform
from carawayhitch.backends import StoreClient, call_store, read_load
from carawayhitch.core import events
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
