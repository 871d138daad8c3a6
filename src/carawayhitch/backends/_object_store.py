"""Client of the object store: versioned reads, conditional writes, watches."""

from __future__ import annotations

from functools import singledispatch
from typing import Any, NamedTuple

import aiohttp

from carawayhitch.backends._bodies import read_limited
from carawayhitch.codecs import (
    decode_object_list,
    decode_stored_object,
    decode_written_version,
)
from carawayhitch.core import actions, declarations, errors, events
from carawayhitch.core import settings as settings_types

DECLARED_KINDS = ",".join(declarations.declaration_types_by_kind)
STORE_SOURCE = "store"
# The declarations at the size in docs/CAPACITY.md take 0.4 MB, a claim journal 0.9 MB.
BODY_BYTES_LIMIT = 8_388_608


class StoreClient(NamedTuple):
    """Client session and settings for calls to the object store."""

    session: aiohttp.ClientSession
    settings: settings_types.Settings

    @property
    def url(self) -> str:
        """Base URL of the store's HTTP API."""
        return self.settings.store.url.rstrip("/") + "/v1"

    @property
    def timeout(self) -> aiohttp.ClientTimeout:
        """Timeout of one call to the store."""
        return aiohttp.ClientTimeout(total=self.settings.store.timeout_seconds)


async def call_store(client: StoreClient, action: Any) -> Any:
    """Perform a store action and return the resulting event."""
    try:
        return await _perform(action, client)
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        return events.StoreCallFailed(action.operation_id, repr(error))
    except errors.MalformedMessageError as error:
        return events.StoreCallFailed(action.operation_id, error.message)
    except Exception as error:
        # Without an event, the operation would never end and a watch never be renewed.
        return events.StoreCallFailed(
            action.operation_id, f"unexpected error: {error!r}"
        )


@singledispatch
async def _perform(action: Any, client: StoreClient) -> Any:
    raise TypeError(f"not a store action: {action!r}")


@_perform.register
async def _read_object(action: actions.ReadObject, client: StoreClient) -> Any:
    url = f"{client.url}/objects/{action.kind}/{action.name}"
    async with client.session.get(url, timeout=client.timeout) as response:
        if response.status == 404:
            absent = events.StoredObject(action.kind, action.name, 0, b"")
            return events.ObjectRead(action.operation_id, absent)
        response.raise_for_status()
        stored = decode_stored_object(await read_limited(response, BODY_BYTES_LIMIT))
        return events.ObjectRead(action.operation_id, stored)


@_perform.register
async def _write_object(action: actions.WriteObject, client: StoreClient) -> Any:
    url = f"{client.url}/objects/{action.kind}/{action.name}"
    headers = {"If-Match": str(action.expected_version)}
    async with client.session.put(
        url, data=action.value, headers=headers, timeout=client.timeout
    ) as response:
        if response.status != 412:
            response.raise_for_status()
        version = decode_written_version(await read_limited(response, BODY_BYTES_LIMIT))
        accepted = response.status != 412
        return events.ObjectWritten(action.operation_id, accepted, version)


@_perform.register
async def _list_objects(action: actions.ListObjects, client: StoreClient) -> Any:
    params = {"kinds": DECLARED_KINDS}
    async with client.session.get(
        f"{client.url}/objects", params=params, timeout=client.timeout
    ) as response:
        response.raise_for_status()
        return decode_object_list(await read_limited(response, BODY_BYTES_LIMIT))


@_perform.register
async def _watch_objects(action: actions.WatchObjects, client: StoreClient) -> Any:
    params = {
        "kinds": DECLARED_KINDS,
        "since": str(action.revision),
        "timeout": str(action.wait_seconds),
    }
    total = action.wait_seconds + client.settings.store.timeout_seconds
    timeout = aiohttp.ClientTimeout(total=total)
    async with client.session.get(
        f"{client.url}/watch", params=params, timeout=timeout
    ) as response:
        if response.status == 410:
            return events.WatchExpired(action.operation_id)
        response.raise_for_status()
        listed = decode_object_list(await read_limited(response, BODY_BYTES_LIMIT))
        return events.ObjectsChanged(
            STORE_SOURCE,
            listed.revision,
            listed.objects,
            unreadable_count=listed.unreadable_count,
        )
