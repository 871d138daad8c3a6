"""Client of the platform's store: lists, watches, reads and conditional writes."""

from __future__ import annotations

from collections.abc import Iterable
from functools import singledispatch
from typing import Annotated, Any, NamedTuple, NotRequired, TypedDict

import aiohttp
import msgspec
from msgspec import Meta

from carawayhitch import codecs
from carawayhitch.backends import BodyTooLargeError, read_limited
from carawayhitch.core import actions, declarations, errors, events, result_codes
from carawayhitch.core import settings as settings_types
from carawayhitch.platform import _names

CONFIGURATION_SCOPE = "configuration"
UPSTREAM_SCOPE = "upstreams"
ENTRY_SCOPE = "entries"
ZONE_DRAIN_SCOPE = "zone_drains"
# Kind names of each scope: in the platform's protocol, and in this system.
PLATFORM_KINDS = {
    CONFIGURATION_SCOPE: "config",
    UPSTREAM_SCOPE: "servers",
    ENTRY_SCOPE: "carawayhitch-entries",
    ZONE_DRAIN_SCOPE: _names.ZONE_DRAIN_KIND,
}
KINDS_BY_SCOPE = {
    CONFIGURATION_SCOPE: declarations.DECLARATION_SET,
    UPSTREAM_SCOPE: declarations.UPSTREAM_REGISTRATION,
    ENTRY_SCOPE: declarations.ENTRY_REGISTRATION,
    ZONE_DRAIN_SCOPE: declarations.ZONE_DRAIN,
}
PLATFORM_KINDS_BY_KIND = {
    kind: PLATFORM_KINDS[scope] for scope, kind in KINDS_BY_SCOPE.items()
}
# The complete configuration is one object; other objects of its kind are not used.
NAMES_BY_KIND = {declarations.DECLARATION_SET: "main"}
STORE_SOURCE = "store"
PAGE_LIMIT = 1000


# Objects have at most 1 MB and pages about as much; a watch may return several versions
# of one object.
BODY_BYTES_LIMIT = 8_388_608
# Stands for a value that cannot be decoded at all, so that no later reader has to try.
UNREADABLE_VALUE = b"null"
# Names of skipped objects that an event reports; the others are only counted.
REPORTED_NAMES_LIMIT = 20

Revision = Annotated[int, Meta(ge=0, le=2**63 - 1)]


class MetadataBody(TypedDict):
    """Object name and the revision of the last change."""

    name: str
    revision: Revision


class NameMetadataBody(TypedDict):
    """The part of an object's metadata that serves as a page cursor."""

    name: str


class ObjectBody(TypedDict):
    """A stored object; ``spec`` is its value, which other writers may have chosen."""

    metadata: MetadataBody
    spec: NotRequired[msgspec.Raw]


_object_decoder = msgspec.json.Decoder(ObjectBody)
_metadata_decoder = msgspec.json.Decoder(MetadataBody)
_name_decoder = msgspec.json.Decoder(NameMetadataBody)
_revision_decoder = msgspec.json.Decoder(Revision)
_flag_decoder = msgspec.json.Decoder(bool)


class ReadItem(NamedTuple):
    """An item of a list or watch.

    Parameters
    ----------
    name : str
        Name of the object; empty if it is not readable.
    stored : StoredObject or None
        None if the name or the revision is not readable, or the kind has no object of
        that name.
    """

    name: str
    stored: events.StoredObject | None


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
    except errors.CarawayhitchError as error:
        detail = error.message
    except Exception as error:
        # Without an event, the operation would never end and a watch never be renewed.
        detail = f"unexpected error: {error!r}"
    scope = getattr(action, "scope", "")
    return events.StoreCallFailed(action.operation_id, detail, scope)


@singledispatch
async def _perform(action: Any, store: PlatformStore) -> Any:
    raise TypeError(f"not a store action: {action!r}")


async def _read_body(response: aiohttp.ClientResponse) -> bytes:
    return await read_limited(response, BODY_BYTES_LIMIT)


def _read_item(kind: str, data: bytes, deleted: bool) -> ReadItem:
    """Decode one object by itself, so that an odd one does not affect the others."""
    try:
        body = _object_decoder.decode(data)
    except (msgspec.MsgspecError, RecursionError):
        return _read_odd_item(kind, data, deleted)
    value = bytes(body.get("spec", UNREADABLE_VALUE))
    return _new_item(kind, body["metadata"], value, deleted)


def _read_odd_item(kind: str, data: bytes, deleted: bool) -> ReadItem:
    """Decode the metadata of an object whose other members cannot be decoded."""
    name = ""
    try:
        metadata_data = codecs.split_object(data).get("metadata", b"")
        name = _name_decoder.decode(metadata_data)["name"]
        metadata = _metadata_decoder.decode(metadata_data)
    except (msgspec.MsgspecError, RecursionError, errors.MalformedMessageError):
        return ReadItem(name, None)
    return _new_item(kind, metadata, UNREADABLE_VALUE, deleted)


def _new_item(
    kind: str, metadata: MetadataBody, value: bytes, deleted: bool
) -> ReadItem:
    name = metadata["name"]
    if name != NAMES_BY_KIND.get(kind, name):
        return ReadItem(name, None)
    stored = events.StoredObject(
        kind, name, metadata["revision"], b"" if deleted else value, deleted
    )
    return ReadItem(name, stored)


def _read_change(kind: str, data: bytes) -> ReadItem:
    """Decode one change of a watch."""
    try:
        members = codecs.split_object(data)
        deleted = _flag_decoder.decode(members.get("deleted", b"false"))
    except (msgspec.MsgspecError, RecursionError, errors.MalformedMessageError):
        return ReadItem("", None)
    return _read_item(kind, members.get("object", b""), deleted)


def _stored_objects(items: Iterable[ReadItem]) -> tuple[events.StoredObject, ...]:
    return tuple(item.stored for item in items if item.stored is not None)


def _skipped_names(items: Iterable[ReadItem]) -> tuple[str, ...]:
    names = dict.fromkeys(
        item.name for item in items if item.stored is None and item.name
    )
    return tuple(names)[:REPORTED_NAMES_LIMIT]


def _skipped_count(items: Iterable[ReadItem]) -> int:
    return sum(item.stored is None for item in items)


def _consistency_params(
    action: actions.ListObjects | actions.WatchObjects | actions.ReadObject,
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
    items: list[ReadItem] = []
    revision = -1
    is_exhaustive = False
    after = ""
    for _ in range(PAGE_LIMIT):
        params = _consistency_params(action) | ({"after": after} if after else {})
        async with store.session.get(
            url, params=params, timeout=store.timeout
        ) as response:
            if response.status != 200:
                raise UnexpectedStatusError(response.status)
            page = codecs.split_item_list(await _read_body(response), "items")
        # The watch starts at the revision of the first page, so it reports changes that
        # later pages may lack.
        page_revision = _read_revision(page)
        revision = page_revision if revision < 0 else revision
        page_items = [_read_item(kind, data, False) for data in page.items]
        items += page_items
        if not _flag_decoder.decode(page.members_by_name.get("hasMore", b"false")):
            is_exhaustive = True
            break
        names = [item.name for item in page_items if item.name]
        if not names or names[-1] == after:
            break
        after = names[-1]
    return events.ObjectsListed(
        revision,
        _stored_objects(items),
        action.scope,
        (kind,) if is_exhaustive else (),
        action.may_be_stale,
        _skipped_count(items),
        _skipped_names(items),
        action.operation_id,
    )


def _read_revision(answer: codecs.ItemList) -> int:
    return _revision_decoder.decode(answer.members_by_name.get("at", b""))


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
        try:
            answer = codecs.split_item_list(await _read_body(response), "events")
        except BodyTooLargeError:
            # The same watch would be too large again.
            return events.WatchExpired(action.operation_id, action.scope)
    items = [_read_change(kind, data) for data in answer.items]
    return events.ObjectsChanged(
        STORE_SOURCE,
        _read_revision(answer),
        _stored_objects(items),
        action.scope,
        action.may_be_stale,
        _skipped_count(items),
        _skipped_names(items),
    )


@_perform.register
async def _read_object(action: actions.ReadObject, store: PlatformStore) -> Any:
    url = store.url(platform_kind(action.kind), action.name)
    params = _consistency_params(action)
    async with store.session.get(url, params=params, timeout=store.timeout) as response:
        if response.status == 404:
            absent = events.StoredObject(action.kind, action.name, 0, b"")
            return events.ObjectRead(action.operation_id, absent)
        if response.status != 200:
            raise UnexpectedStatusError(response.status)
        stored = _read_item(action.kind, await _read_body(response), False).stored
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
        answer = await _read_body(response)
        if response.status == 409:
            return _conflict_result(action, answer)
        if response.status == 404 and not created:
            return events.ObjectWritten(action.operation_id, False, 0)
        if response.status not in (200, 201):
            raise UnexpectedStatusError(response.status)
    stored = _read_item(action.kind, answer, False).stored
    version = stored.version if stored else 0
    return events.ObjectWritten(action.operation_id, True, version)


def _conflict_result(
    action: actions.WriteObject, answer: bytes
) -> events.ObjectWritten:
    """Return the result of a write that failed with a version conflict.

    The response contains the current object.
    """
    stored = _read_item(action.kind, answer, False).stored
    if stored is None:
        return events.ObjectWritten(action.operation_id, False, 0)
    try:
        current_value = msgspec.json.decode(stored.value)
    except (msgspec.MsgspecError, RecursionError):
        return events.ObjectWritten(action.operation_id, False, stored.version)
    unchanged = current_value == msgspec.json.decode(action.value)
    return events.ObjectWritten(action.operation_id, False, stored.version, unchanged)


def platform_kind(kind: str) -> str:
    """Return the platform's name for a kind; kinds of this system get a prefix."""
    return PLATFORM_KINDS_BY_KIND.get(kind, f"carawayhitch-{kind.replace('_', '-')}")
