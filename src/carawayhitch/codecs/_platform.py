"""JSON bodies of the platform: object store, VM list and engine endpoints."""

from __future__ import annotations

import re
from base64 import b64decode, b64encode
from binascii import Error as Base64Error
from contextlib import suppress
from typing import Annotated, Any, NotRequired, TypedDict

import msgspec
from msgspec import Meta

from carawayhitch.codecs._json_items import split_item_list
from carawayhitch.codecs._objects import decode_change_metadata
from carawayhitch.core import actions, errors, events, result_codes, rows

DRAINING_ROLE = "draining"

Revision = Annotated[int, Meta(ge=0, le=2**63 - 1)]
VM_ADDRESS = re.compile(r"[^:]{1,255}:[0-9]{1,5}")
MAXIMUM_PORT = 65535


class StoredObjectBody(TypedDict):
    """One object of the store; the value is base64-encoded."""

    kind: str
    name: str
    version: Revision
    value: str
    deleted: NotRequired[bool]


class WriteResponseBody(TypedDict):
    """Response to a write."""

    version: int


class VmBody(TypedDict):
    """One VM in the platform's VM list."""

    id: str
    address: str
    zone: str
    region: str
    kind: rows.VmKind
    labels: NotRequired[dict[str, str]]
    leaving: NotRequired[bool]


class LoadBody(TypedDict):
    """Load of an engine, measured ``age_seconds`` before the response."""

    memory_capacity: int
    memory_used: int
    running: int
    running_limit: int
    waiting: int
    preemptions: int
    age_seconds: NotRequired[float]
    leaving: NotRequired[bool]
    role: NotRequired[str]
    uptime_seconds: NotRequired[float]


class CacheEventBody(TypedDict):
    """Prefix blocks that an engine added to its cache or evicted from it."""

    sequence: int
    stored_blocks: NotRequired[tuple[str, ...]]
    evicted_blocks: NotRequired[tuple[str, ...]]


class CacheEventsBody(TypedDict):
    """Cache events published by an engine."""

    events: list[CacheEventBody]


def _decode(body: bytes, body_type: Any, source: str) -> Any:
    try:
        return msgspec.json.decode(body, type=body_type)
    except (msgspec.DecodeError, RecursionError) as error:
        raise errors.MalformedMessageError(
            result_codes.STORE_CALL_FAILED, f"{source}: {error}"
        ) from None


def stored_object_from_body(body: StoredObjectBody) -> events.StoredObject:
    """Return the store object described by a JSON body."""
    try:
        value = b64decode(body["value"], validate=True)
    except (Base64Error, ValueError) as error:
        raise errors.MalformedMessageError(
            result_codes.STORE_CALL_FAILED, f"store value: {error}"
        ) from None
    change_id, deleted = decode_change_metadata(value)
    return events.StoredObject(
        body["kind"],
        body["name"],
        body["version"],
        value,
        deleted or body.get("deleted", False),
        change_id,
    )


def stored_object_to_body(stored: events.StoredObject) -> StoredObjectBody:
    """Return the JSON body of a store object, with its value base64-encoded."""
    return {
        "kind": stored.kind,
        "name": stored.name,
        "version": stored.version,
        "value": b64encode(stored.value).decode(),
        "deleted": stored.deleted,
    }


def decode_stored_object(body: bytes) -> events.StoredObject:
    """Return the store object in a response body."""
    return stored_object_from_body(_decode(body, StoredObjectBody, "store object"))


def decode_object_list(body: bytes) -> events.ObjectsListed:
    """Return the objects in a list or watch response.

    An object that cannot be decoded is skipped and counted.
    """
    answer = split_item_list(body, "objects")
    revision = answer.members_by_name.get("revision", b"")
    objects: list[events.StoredObject] = []
    for item in answer.items:
        with suppress(errors.MalformedMessageError):
            objects.append(decode_stored_object(item))
    return events.ObjectsListed(
        _decode(revision, Revision, "store list"),
        tuple(objects),
        unreadable_count=len(answer.items) - len(objects),
    )


def decode_written_version(body: bytes) -> int:
    """Return the version in a write response."""
    return _decode(body, WriteResponseBody, "store write")["version"]


def decode_vm_list(body: bytes) -> events.VmListReceived:
    """Return the VMs in the platform's VM list.

    A VM that cannot be decoded is skipped and counted.
    """
    items = split_item_list(body, "vms").items
    vms: list[events.VmListed] = []
    for item in items:
        with suppress(errors.MalformedMessageError):
            vms.append(_decode_vm(item))
    return events.VmListReceived(tuple(vms), len(items) - len(vms))


def _decode_vm(data: bytes) -> events.VmListed:
    vm = _decode(data, VmBody, "VM")
    _, _, port = vm["address"].rpartition(":")
    if not VM_ADDRESS.fullmatch(vm["address"]) or not 0 < int(port) <= MAXIMUM_PORT:
        raise errors.MalformedMessageError(
            result_codes.STORE_CALL_FAILED,
            f"VM address is {vm['address'][:80]!r}, expected IP:PORT",
        )
    return events.VmListed(
        vm["id"],
        vm["address"],
        vm["zone"],
        vm["region"],
        vm["kind"],
        vm.get("labels", {}),
        vm.get("leaving", False),
    )


def decode_engine_load(
    upstream_id: str, body: bytes, now: float
) -> events.LoadReported:
    """Return the load of an engine, dated ``now`` minus the age of the report."""
    load = _decode(body, LoadBody, f"load of {upstream_id}")
    uptime = load.get("uptime_seconds")
    return events.LoadReported(
        upstream_id=upstream_id,
        reported_at=now - max(0.0, load.get("age_seconds", 0.0)),
        memory_capacity=load["memory_capacity"],
        memory_used=load["memory_used"],
        running_count=load["running"],
        running_limit=load["running_limit"],
        waiting_count=load["waiting"],
        preemption_count=load["preemptions"],
        leaving=load.get("leaving", False),
        draining=load.get("role") == DRAINING_ROLE,
        started_at=None if uptime is None else now - uptime,
        polled_at=now,
    )


def decode_cache_events(upstream_id: str, body: bytes) -> list[events.CacheChanged]:
    """Return the cache events in an engine's response."""
    decoded = _decode(body, CacheEventsBody, f"cache events of {upstream_id}")
    return [
        events.CacheChanged(
            upstream_id,
            event["sequence"],
            event.get("stored_blocks", ()),
            event.get("evicted_blocks", ()),
        )
        for event in decoded["events"]
    ]


def encode_json(value: Any) -> bytes:
    """Return a value encoded as JSON."""
    return msgspec.json.encode(value)


class EngineStateBody(TypedDict):
    """Engine state that orders can change."""

    models: tuple[str, ...]
    adapters: tuple[str, ...]
    role: str
    running: int
    waiting: int


class OrderBody(TypedDict):
    """Order sent to an engine."""

    kind: str
    subject: str
    fencing_number: int


def decode_engine_state(upstream_id: str, body: bytes) -> events.EngineStateRead:
    """Return the engine state that orders can change."""
    state = _decode(body, EngineStateBody, f"state of {upstream_id}")
    return events.EngineStateRead(
        upstream_id=upstream_id,
        models=state["models"],
        adapters=state["adapters"],
        role=state["role"],
        busy_count=state["running"] + state["waiting"],
    )


def encode_order(order: actions.SendOrder) -> bytes:
    """Return the request body of an order."""
    body: OrderBody = {
        "kind": order.kind,
        "subject": order.subject,
        "fencing_number": order.fencing_number,
    }
    return msgspec.json.encode(body)
