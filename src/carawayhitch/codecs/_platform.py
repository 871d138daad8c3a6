"""JSON of the platform: object store, VM list, engine load and cache events."""

from __future__ import annotations

from base64 import b64decode, b64encode
from binascii import Error as Base64Error
from typing import Any, NotRequired, TypedDict, TypeVar

import msgspec

from carawayhitch.codecs._objects import decode_change_metadata
from carawayhitch.core import actions, errors, events, result_codes, rows

Body = TypeVar("Body")

DRAINING_ROLE = "draining"


class StoredObjectBody(TypedDict):
    """One object of the store; the value is in base64."""

    kind: str
    name: str
    version: int
    value: str
    deleted: NotRequired[bool]


class ListBody(TypedDict):
    """Answer to a list or a watch."""

    revision: int
    objects: list[StoredObjectBody]


class WrittenBody(TypedDict):
    """Answer to a write."""

    version: int


class VmBody(TypedDict):
    """One VM of the platform's list."""

    id: str
    address: str
    zone: str
    region: str
    kind: rows.VmKind
    labels: NotRequired[dict[str, str]]
    leaving: NotRequired[bool]


class VmListBody(TypedDict):
    """The platform's list of VMs."""

    vms: list[VmBody]


class LoadBody(TypedDict):
    """Load of an engine; ``age_seconds`` ago."""

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
    """Prefix blocks that an engine stored and evicted."""

    sequence: int
    stored_blocks: NotRequired[tuple[str, ...]]
    evicted_blocks: NotRequired[tuple[str, ...]]


class CacheEventsBody(TypedDict):
    """Cache events of an engine."""

    events: list[CacheEventBody]


def _decode(body: bytes, body_type: type[Body], source: str) -> Body:
    try:
        return msgspec.json.decode(body, type=body_type)
    except (msgspec.DecodeError, RecursionError) as error:
        raise errors.MalformedMessageError(
            result_codes.STORE_CALL_FAILED, f"{source}: {error}"
        ) from None


def stored_object_from_body(body: StoredObjectBody) -> events.StoredObject:
    """Return an object from JSON."""
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
    """Return an object as JSON with its value in base64."""
    return {
        "kind": stored.kind,
        "name": stored.name,
        "version": stored.version,
        "value": b64encode(stored.value).decode(),
        "deleted": stored.deleted,
    }


def decode_stored_object(body: bytes) -> events.StoredObject:
    """Return one object of the store."""
    return stored_object_from_body(_decode(body, StoredObjectBody, "store object"))


def decode_object_list(body: bytes) -> events.ObjectsListed:
    """Return a list of the store's objects."""
    decoded = _decode(body, ListBody, "store list")
    objects = tuple(stored_object_from_body(item) for item in decoded["objects"])
    return events.ObjectsListed(decoded["revision"], objects)


def decode_written_version(body: bytes) -> int:
    """Return the version that a write answered."""
    return _decode(body, WrittenBody, "store write")["version"]


def decode_vm_list(body: bytes) -> events.VmListReceived:
    """Return the platform's list of VMs."""
    decoded = _decode(body, VmListBody, "VM list")
    return events.VmListReceived(
        tuple(
            events.VmListed(
                vm["id"],
                vm["address"],
                vm["zone"],
                vm["region"],
                vm["kind"],
                vm.get("labels", {}),
                vm.get("leaving", False),
            )
            for vm in decoded["vms"]
        )
    )


def decode_engine_load(
    upstream_id: str, body: bytes, now: float
) -> events.LoadReported:
    """Return the load of an engine as of ``now`` minus its age."""
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
    """Return the cache events of an engine."""
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
    """Return JSON."""
    return msgspec.json.encode(value)


class EngineStateBody(TypedDict):
    """State of an engine that orders can change."""

    models: tuple[str, ...]
    adapters: tuple[str, ...]
    role: str
    running: int
    waiting: int


class OrderBody(TypedDict):
    """One order to an engine."""

    kind: str
    subject: str
    fencing_number: int


def decode_engine_state(upstream_id: str, body: bytes) -> events.EngineStateRead:
    """Return the state of an engine that orders can change."""
    state = _decode(body, EngineStateBody, f"state of {upstream_id}")
    return events.EngineStateRead(
        upstream_id=upstream_id,
        models=state["models"],
        adapters=state["adapters"],
        role=state["role"],
        busy_count=state["running"] + state["waiting"],
    )


def encode_order(order: actions.SendOrder) -> bytes:
    """Return the body of an order."""
    body: OrderBody = {
        "kind": order.kind,
        "subject": order.subject,
        "fencing_number": order.fencing_number,
    }
    return msgspec.json.encode(body)
