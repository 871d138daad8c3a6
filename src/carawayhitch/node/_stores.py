"""Which platform a process runs on: one with our own interface, or the users'."""

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
    """Return the client of the store that the settings name."""
    if settings.gateway.address:
        return platform.PlatformStore(session, settings)
    return StoreClient(session, settings)


@singledispatch
async def execute_store_action(store: Any, action: Any) -> Any:
    """Return the event that answers a store action."""
    raise TypeError(f"unknown store {store!r}")


@execute_store_action.register
async def _ask_own(store: StoreClient, action: Any) -> Any:
    return await call_store(store, action)


@execute_store_action.register
async def _ask_platform(store: platform.PlatformStore, action: Any) -> Any:
    return await platform.call_platform_store(store, action)


@singledispatch
def decode_object_for_store(
    store: Any, stored: events.StoredObject
) -> events.DecodedObject:
    """Return an object with what it declares, by the format of its store."""
    raise TypeError(f"unknown store {store!r}")


@decode_object_for_store.register
def _decode_own(
    store: StoreClient, stored: events.StoredObject
) -> events.DecodedObject:
    return codecs.decode_object(stored)


@decode_object_for_store.register
def _decode_platform(
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
    """Return the load of an engine, by the interface of its platform."""
    raise TypeError(f"unknown store {store!r}")


@fetch_upstream_load.register
async def _ask_own_load(
    store: StoreClient,
    session: aiohttp.ClientSession,
    upstream_id: str,
    address: str,
    now: float,
) -> Any:
    return await read_load(session, upstream_id, address, now)


@fetch_upstream_load.register
async def _ask_platform_load(
    store: platform.PlatformStore,
    session: aiohttp.ClientSession,
    upstream_id: str,
    address: str,
    now: float,
) -> Any:
    return await platform.read_report(session, upstream_id, address, now)
