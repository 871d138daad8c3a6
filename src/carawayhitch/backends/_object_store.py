"""The platform's object store: versions, conditional updates, watches."""

from __future__ import annotations

from functools import singledispatch
from typing import Any, NamedTuple

import aiohttp

from carawayhitch.codecs import (
    decode_object_list,
    decode_stored_object,
    decode_written_version,
)
from carawayhitch.core import actions, declarations, errors, events
from carawayhitch.core import settings as settings_types

DECLARED_KINDS = ",".join(declarations.declaration_types_by_kind)
STORE_SOURCE = "store"


class StoreClient(NamedTuple):
    """A session and where it goes."""

    session: aiohttp.ClientSession
    settings: settings_types.Settings

    @property
    def url(self) -> str:
        """Address of the store's interface."""
        return self.settings.store.url.rstrip("/") + "/v1"

    @property
    def timeout(self) -> aiohttp.ClientTimeout:
        """Time after which a call counts as failed."""
        return aiohttp.ClientTimeout(total=self.settings.store.timeout_seconds)


async def call_store(client: StoreClient, action: Any) -> Any:
    """Return the event that answers a store action."""
    try:
        return await _answer(action, client)
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        return events.StoreCallFailed(action.operation_id, repr(error))
    except errors.MalformedMessageError as error:
        return events.StoreCallFailed(action.operation_id, error.message)


@singledispatch
async def _answer(action: Any, client: StoreClient) -> Any:
    raise TypeError(f"not a store action: {action!r}")


@_answer.register
async def _read(action: actions.ReadObject, client: StoreClient) -> Any:
    url = f"{client.url}/objects/{action.kind}/{action.name}"
    async with client.session.get(url, timeout=client.timeout) as response:
        if response.status == 404:
            absent = events.StoredObject(action.kind, action.name, 0, b"")
            return events.ObjectRead(action.operation_id, absent)
        response.raise_for_status()
        stored = decode_stored_object(await response.read())
        return events.ObjectRead(action.operation_id, stored)


@_answer.register
async def _write(action: actions.WriteObject, client: StoreClient) -> Any:
    url = f"{client.url}/objects/{action.kind}/{action.name}"
    headers = {"If-Match": str(action.expected_version)}
    async with client.session.put(
        url, data=action.value, headers=headers, timeout=client.timeout
    ) as response:
        if response.status != 412:
            response.raise_for_status()
        version = decode_written_version(await response.read())
        accepted = response.status != 412
        return events.ObjectWritten(action.operation_id, accepted, version)


@_answer.register
async def _list(action: actions.ListObjects, client: StoreClient) -> Any:
    params = {"kinds": DECLARED_KINDS}
    async with client.session.get(
        f"{client.url}/objects", params=params, timeout=client.timeout
    ) as response:
        response.raise_for_status()
        return decode_object_list(await response.read())


@_answer.register
async def _watch(action: actions.WatchObjects, client: StoreClient) -> Any:
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
        listed = decode_object_list(await response.read())
        return events.ObjectsChanged(STORE_SOURCE, listed.revision, listed.objects)
