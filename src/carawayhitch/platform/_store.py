"""Client of the platform's store: lists, watches, reads and conditional writes."""

from __future__ import annotations

from functools import singledispatch
from typing import Any, NamedTuple, NotRequired, TypedDict

import aiohttp
import msgspec

from carawayhitch.core import actions, declarations, errors, events, result_codes
from carawayhitch.core import settings as settings_types
from carawayhitch.platform import _names

CONFIGURATION_SCOPE = "configuration"
UPSTREAM_SCOPE = "upstreams"
ENTRY_SCOPE = "entries"
# Kind names of each scope: in the platform's protocol, and in this system.
PLATFORM_KINDS = {
    CONFIGURATION_SCOPE: "config",
    UPSTREAM_SCOPE: "servers",
    ENTRY_SCOPE: "carawayhitch-entries",
}
KINDS_BY_SCOPE = {
    CONFIGURATION_SCOPE: declarations.DECLARATION_SET,
    UPSTREAM_SCOPE: declarations.UPSTREAM_REGISTRATION,
    ENTRY_SCOPE: declarations.ENTRY_REGISTRATION,
}
PLATFORM_KINDS_BY_KIND = {
    kind: PLATFORM_KINDS[scope] for scope, kind in KINDS_BY_SCOPE.items()
}
STORE_SOURCE = "store"
PAGE_LIMIT = 1000


class MetadataBody(TypedDict):
    """Object name and the revision of the last change."""

    name: str
    revision: int


class NameMetadataBody(TypedDict):
    """The part of an object's metadata that serves as a page cursor."""

    name: str


class ObjectNameBody(TypedDict):
    """An object of which only the name is decoded."""

    metadata: NameMetadataBody


class ObjectBody(TypedDict):
    """A stored object; ``spec`` is its value."""

    metadata: MetadataBody
    spec: NotRequired[Any]


class ObjectChangeBody(TypedDict):
    """A change of an object.

    The object is decoded separately, since other writers may store any JSON value.
    """

    object: Any
    deleted: bool


class ListBody(TypedDict):
    """One page of objects of a kind; ``at`` is the revision of the store."""

    items: list[Any]
    hasMore: bool
    at: int


class WatchBody(TypedDict):
    """Changes of objects of a kind up to the revision ``at``."""

    events: list[ObjectChangeBody]
    at: int


_list_decoder = msgspec.json.Decoder(ListBody)
_watch_decoder = msgspec.json.Decoder(WatchBody)


class PlatformStore(NamedTuple):
    """Client session and settings for calls to the platform's store."""

    session: aiohttp.ClientSession
    settings: settings_types.Settings

    def url(self, kind: str, name: str = "") -> str:
        """Return the URL of a kind or of one of its objects."""
        base = self.settings.store.url.rstrip("/") + _names.OBJECTS_PATH
        return f"{base}/{kind}/{name}" if name else f"{base}/{kind}"

    @property
    def timeout(self) -> aiohttp.ClientTimeout:
        """Timeout of one call to the store."""
        return aiohttp.ClientTimeout(total=self.settings.store.timeout_seconds)


class UnexpectedStatusError(errors.StoreError):
    """The store responded with a status that is no defined result of the call."""

    def __init__(self, status: int) -> None:
        message = f"unexpected status {status} in a response"
        super().__init__(result_codes.STORE_CALL_FAILED, message)


async def call_platform_store(store: PlatformStore, action: Any) -> Any:
    """Perform a store action and return the resulting event."""
    try:
        return await _perform(action, store)
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        detail = repr(error)
    except msgspec.MsgspecError as error:
        detail = f"response could not be decoded: {error}"
    except errors.StoreError as error:
        detail = error.message
    scope = getattr(action, "scope", "")
    return events.StoreCallFailed(action.operation_id, detail, scope)


@singledispatch
async def _perform(action: Any, store: PlatformStore) -> Any:
    raise TypeError(f"not a store action: {action!r}")


def _object_name(value: Any) -> str:
    """Return the name of an object, valid otherwise or not; empty if it has none."""
    try:
        return msgspec.convert(value, ObjectNameBody)["metadata"]["name"]
    except msgspec.ValidationError:
        return ""


def _convert_object(kind: str, value: Any, deleted: bool) -> events.StoredObject | None:
    """Convert a JSON value to a stored object; return None if it is not one."""
    try:
        body = msgspec.convert(value, ObjectBody)
    except msgspec.ValidationError:
        return None
    metadata = body["metadata"]
    spec = b"" if deleted else msgspec.json.encode(body.get("spec"))
    return events.StoredObject(
        kind, metadata["name"], metadata["revision"], spec, deleted
    )


def _consistency_params(
    action: actions.ListObjects | actions.WatchObjects,
) -> dict[str, str]:
    """Return the query parameters that allow a stale read.

    A stale read costs the store a tenth of a current one and does not count toward its
    rate limit.
    """
    return {"serializable": "1"} if action.may_be_stale else {}


@_perform.register
async def _list_objects(action: actions.ListObjects, store: PlatformStore) -> Any:
    kind = KINDS_BY_SCOPE[action.scope]
    url = store.url(PLATFORM_KINDS[action.scope])
    found: list[events.StoredObject] = []
    revision = -1
    unreadable_count = 0
    after = ""
    for _ in range(PAGE_LIMIT):
        params = _consistency_params(action) | ({"after": after} if after else {})
        async with store.session.get(
            url, params=params, timeout=store.timeout
        ) as response:
            if response.status != 200:
                raise UnexpectedStatusError(response.status)
            page = _list_decoder.decode(await response.read())
        # The watch starts at the revision of the first page, so it reports changes that
        # later pages may lack.
        revision = page["at"] if revision < 0 else revision
        stored = [_convert_object(kind, item, False) for item in page["items"]]
        found += [item for item in stored if item is not None]
        unreadable_count += stored.count(None)
        last = _object_name(page["items"][-1]) if page["items"] else ""
        if not page["hasMore"] or last in ("", after):
            break
        after = last
    return events.ObjectsListed(
        revision,
        tuple(found),
        action.scope,
        (kind,),
        action.may_be_stale,
        unreadable_count,
    )


@_perform.register
async def _watch_objects(action: actions.WatchObjects, store: PlatformStore) -> Any:
    kind = KINDS_BY_SCOPE[action.scope]
    wait_milliseconds = int(action.wait_seconds * 1000)
    params = {
        "watch": str(action.revision),
        "waitMs": str(wait_milliseconds),
        **_consistency_params(action),
    }
    total = action.wait_seconds + store.settings.store.timeout_seconds
    async with store.session.get(
        store.url(PLATFORM_KINDS[action.scope]),
        params=params,
        timeout=aiohttp.ClientTimeout(total=total),
    ) as response:
        if response.status == 410:
            return events.WatchExpired(action.operation_id, action.scope)
        if response.status != 200:
            raise UnexpectedStatusError(response.status)
        body = _watch_decoder.decode(await response.read())
    stored = [
        _convert_object(kind, change["object"], change["deleted"])
        for change in body["events"]
    ]
    found = tuple(item for item in stored if item is not None)
    return events.ObjectsChanged(
        STORE_SOURCE,
        body["at"],
        found,
        action.scope,
        action.may_be_stale,
        stored.count(None),
    )


@_perform.register
async def _read_object(action: actions.ReadObject, store: PlatformStore) -> Any:
    url = store.url(platform_kind(action.kind), action.name)
    async with store.session.get(url, timeout=store.timeout) as response:
        if response.status == 404:
            absent = events.StoredObject(action.kind, action.name, 0, b"")
            return events.ObjectRead(action.operation_id, absent)
        if response.status != 200:
            raise UnexpectedStatusError(response.status)
        read = msgspec.json.decode(await response.read())
    stored = _convert_object(action.kind, read, False)
    if stored is None:
        raise errors.StoreError(
            result_codes.STORE_CALL_FAILED, f"{url}: response is not a stored object"
        )
    return events.ObjectRead(action.operation_id, stored)


@_perform.register
async def _write_object(action: actions.WriteObject, store: PlatformStore) -> Any:
    kind = platform_kind(action.kind)
    metadata: dict[str, Any] = {"name": action.name}
    method, url, created = "POST", store.url(kind), True
    if action.expected_version:
        metadata["revision"] = action.expected_version
        method, url, created = "PUT", store.url(kind, action.name), False
    body = {"metadata": metadata, "spec": msgspec.Raw(action.value)}
    async with store.session.request(
        method,
        url,
        data=msgspec.json.encode(body),
        headers={"Content-Type": "application/json"},
        timeout=store.timeout,
    ) as response:
        answer = await response.read()
        if response.status == 409:
            return _conflict_result(action, answer)
        if response.status == 404 and not created:
            return events.ObjectWritten(action.operation_id, False, 0)
        if response.status not in (200, 201):
            raise UnexpectedStatusError(response.status)
    stored = _convert_object(action.kind, msgspec.json.decode(answer), False)
    version = stored.version if stored else 0
    return events.ObjectWritten(action.operation_id, True, version)


def _conflict_result(
    action: actions.WriteObject, answer: bytes
) -> events.ObjectWritten:
    """Return the result of a write that failed with a version conflict.

    The response contains the current object.
    """
    stored = _convert_object(action.kind, msgspec.json.decode(answer), False)
    if stored is None:
        return events.ObjectWritten(action.operation_id, False, 0)
    current_value = msgspec.json.decode(stored.value)
    unchanged = current_value == msgspec.json.decode(action.value)
    return events.ObjectWritten(action.operation_id, False, stored.version, unchanged)


def platform_kind(kind: str) -> str:
    """Return the platform's name for a kind; kinds of this system get a prefix."""
    return PLATFORM_KINDS_BY_KIND.get(kind, f"carawayhitch-{kind.replace('_', '-')}")
