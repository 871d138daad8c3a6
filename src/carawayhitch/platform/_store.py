"""The platform's store: lists, watches, reads and conditional writes."""

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
# The platform's kind of each scope, and the project's kind of its objects.
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
    """Name of an object and the revision of its last change."""

    name: str
    revision: int


class NameBody(TypedDict):
    """The part of an object's metadata by which pages of a list continue."""

    name: str


class NamedBody(TypedDict):
    """An object of which only the name is needed."""

    metadata: NameBody


class ObjectBody(TypedDict):
    """An object; ``spec`` is its value."""

    metadata: MetadataBody
    spec: NotRequired[Any]


class EventBody(TypedDict):
    """A change of an object, which another writer may have given any shape."""

    object: Any
    deleted: bool


class ListBody(TypedDict):
    """Objects of a kind; ``at`` is the store's revision."""

    items: list[Any]
    hasMore: bool
    at: int


class WatchBody(TypedDict):
    """Changes of a kind up to the revision ``at``."""

    events: list[EventBody]
    at: int


_list_decoder = msgspec.json.Decoder(ListBody)
_watch_decoder = msgspec.json.Decoder(WatchBody)


class PlatformStore(NamedTuple):
    """A session and where it goes."""

    session: aiohttp.ClientSession
    settings: settings_types.Settings

    def url(self, kind: str, name: str = "") -> str:
        """Return the address of a kind or of one of its objects."""
        base = self.settings.store.url.rstrip("/") + _names.OBJECTS_PATH
        return f"{base}/{kind}/{name}" if name else f"{base}/{kind}"

    @property
    def timeout(self) -> aiohttp.ClientTimeout:
        """Time after which a call counts as failed."""
        return aiohttp.ClientTimeout(total=self.settings.store.timeout_seconds)


class UnexpectedStatusError(errors.StoreError):
    """The store answered with a status that is no outcome of the call."""

    def __init__(self, status: int) -> None:
        message = f"status {status}, expected an outcome of the call"
        super().__init__(result_codes.STORE_CALL_FAILED, message)


async def call_platform_store(store: PlatformStore, action: Any) -> Any:
    """Return the event that answers a store action."""
    try:
        return await _answer(action, store)
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        detail = repr(error)
    except msgspec.MsgspecError as error:
        detail = f"answer could not be decoded: {error}"
    except errors.StoreError as error:
        detail = error.message
    scope = getattr(action, "scope", "")
    return events.StoreCallFailed(action.operation_id, detail, scope)


@singledispatch
async def _answer(action: Any, store: PlatformStore) -> Any:
    raise TypeError(f"not a store action: {action!r}")


def _name_of(value: Any) -> str:
    """Return the name of an object that may lack all else; empty for none."""
    try:
        return msgspec.convert(value, NamedBody)["metadata"]["name"]
    except msgspec.ValidationError:
        return ""


def _stored(kind: str, value: Any, deleted: bool) -> events.StoredObject | None:
    """Return an object of the store, or None if it has not the shape of one."""
    try:
        body = msgspec.convert(value, ObjectBody)
    except msgspec.ValidationError:
        return None
    metadata = body["metadata"]
    spec = b"" if deleted else msgspec.json.encode(body.get("spec"))
    return events.StoredObject(
        kind, metadata["name"], metadata["revision"], spec, deleted
    )


def _staleness(action: actions.ListObjects | actions.WatchObjects) -> dict[str, str]:
    """Return what makes a read cost a tenth and no part of the store's rate."""
    return {"serializable": "1"} if action.may_be_stale else {}


@_answer.register
async def _list(action: actions.ListObjects, store: PlatformStore) -> Any:
    kind = KINDS_BY_SCOPE[action.scope]
    url = store.url(PLATFORM_KINDS[action.scope])
    found: list[events.StoredObject] = []
    revision = -1
    unreadable_count = 0
    after = ""
    for _ in range(PAGE_LIMIT):
        params = _staleness(action) | ({"after": after} if after else {})
        async with store.session.get(
            url, params=params, timeout=store.timeout
        ) as response:
            if response.status != 200:
                raise UnexpectedStatusError(response.status)
            page = _list_decoder.decode(await response.read())
        # Changes after the first page are seen by the watch that continues from it.
        revision = page["at"] if revision < 0 else revision
        stored = [_stored(kind, item, False) for item in page["items"]]
        found += [item for item in stored if item is not None]
        unreadable_count += stored.count(None)
        last = _name_of(page["items"][-1]) if page["items"] else ""
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


@_answer.register
async def _watch(action: actions.WatchObjects, store: PlatformStore) -> Any:
    kind = KINDS_BY_SCOPE[action.scope]
    wait_milliseconds = int(action.wait_seconds * 1000)
    params = {
        "watch": str(action.revision),
        "waitMs": str(wait_milliseconds),
        **_staleness(action),
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
        _stored(kind, change["object"], change["deleted"]) for change in body["events"]
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


@_answer.register
async def _read(action: actions.ReadObject, store: PlatformStore) -> Any:
    url = store.url(platform_kind(action.kind), action.name)
    async with store.session.get(url, timeout=store.timeout) as response:
        if response.status == 404:
            absent = events.StoredObject(action.kind, action.name, 0, b"")
            return events.ObjectRead(action.operation_id, absent)
        if response.status != 200:
            raise UnexpectedStatusError(response.status)
        read = msgspec.json.decode(await response.read())
    stored = _stored(action.kind, read, False)
    if stored is None:
        raise errors.StoreError(
            result_codes.STORE_CALL_FAILED, f"{url}: expected an object"
        )
    return events.ObjectRead(action.operation_id, stored)


@_answer.register
async def _write(action: actions.WriteObject, store: PlatformStore) -> Any:
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
            return _conflict(action, answer)
        if response.status == 404 and not created:
            return events.ObjectWritten(action.operation_id, False, 0)
        if response.status not in (200, 201):
            raise UnexpectedStatusError(response.status)
    stored = _stored(action.kind, msgspec.json.decode(answer), False)
    version = stored.version if stored else 0
    return events.ObjectWritten(action.operation_id, True, version)


def _conflict(action: actions.WriteObject, answer: bytes) -> events.ObjectWritten:
    """Return the outcome of a refused write, whose answer holds the object as it is."""
    stored = _stored(action.kind, msgspec.json.decode(answer), False)
    if stored is None:
        return events.ObjectWritten(action.operation_id, False, 0)
    held = msgspec.json.decode(stored.value)
    unchanged = held == msgspec.json.decode(action.value)
    return events.ObjectWritten(action.operation_id, False, stored.version, unchanged)


def platform_kind(kind: str) -> str:
    """Return the platform's name of a kind; others are the system's own."""
    return PLATFORM_KINDS_BY_KIND.get(kind, f"carawayhitch-{kind.replace('_', '-')}")
