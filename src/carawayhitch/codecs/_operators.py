"""JSON bodies of the operator API."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NotRequired, TypedDict, TypeVar

import msgspec

from carawayhitch.codecs._objects import (
    CHANGE_KEY,
    DELETED_KEY,
    encode_declaration,
    encode_tombstone,
)
from carawayhitch.codecs._records import record_from_mapping
from carawayhitch.core import actions, declarations, errors, events, result_codes, rows

Body = TypeVar("Body")


class ChangeBody(TypedDict):
    """Change of an object; a null declaration deletes it."""

    change_id: str
    expected_version: int
    declaration: dict[str, Any] | None


class ObjectBody(TypedDict):
    """One declared object; a tombstone has no declaration.

    ``write_version`` is the expected version that a change of the object must state.
    """

    kind: str
    name: str
    version: int
    write_version: int
    change_id: str
    declaration: dict[str, Any] | None


class ObjectsBody(TypedDict):
    """All declared objects known to an entry."""

    node: str
    revision: int
    complete: bool
    objects: list[ObjectBody]


class MemberStatusBody(TypedDict):
    """Status of an entry as known to another entry."""

    id: str
    state: str
    url: str
    in_force_revision: int


class UpstreamStatusBody(TypedDict):
    """Status of an upstream with the declarations that match it."""

    id: str
    kind: str
    leaving: bool
    labels: dict[str, str]
    serving_groups: list[str]
    bindings: list[str]


class AccountShareBody(TypedDict):
    """Limit of an account at an entry, and the entry that derived it."""

    cell: str
    priority: int
    account: str
    share: float
    counted_by: str


class StatusBody(TypedDict):
    """Status of an entry.

    Ages are relative to the response, because the clocks of entries differ. Entries of
    earlier releases omit the fields that are not required.
    """

    node: str
    zone: str
    state: str
    peer_key_ids: list[int]
    in_force_revision: int
    known_revision: int
    complete_revision: int
    digest: str
    watching: bool
    problems: list[str]
    rejected_count: int
    outdated_count: int
    store_failure_count: int
    in_force_age_seconds: float
    change_revision: int
    change_age_seconds: float
    configuration_version: NotRequired[int]
    store_contact_age_seconds_by_scope: NotRequired[dict[str, float]]
    schedulers_by_cell_id: NotRequired[dict[str, str]]
    waiting_by_rank: NotRequired[dict[str, int]]
    open_request_count: NotRequired[int]
    strength: NotRequired[int]
    duties: NotRequired[dict[str, list[str]]]
    account_shares: NotRequired[list[AccountShareBody]]
    members: list[MemberStatusBody]
    upstreams: list[UpstreamStatusBody]


def decode_json_body(body: bytes, body_type: type[Body], source: str) -> Body:
    """Return a JSON body as a value of the given type.

    Raises
    ------
    MalformedMessageError
        If the body is not JSON or does not match the type.
    """
    try:
        return msgspec.json.decode(body, type=body_type)
    except (msgspec.DecodeError, RecursionError) as error:
        raise errors.MalformedMessageError(
            result_codes.MALFORMED_REQUEST, f"{source}: {error}"
        ) from None


def decode_change(
    body: bytes, kind: str, name: str, operation_id: str
) -> events.ChangeRequested:
    """Return the change requested by an operator.

    Raises
    ------
    MalformedMessageError
        If the body is not JSON or does not match `ChangeBody`.
    InvalidValueError
        If the kind is unknown or the declaration is invalid.
    """
    source = f"{kind}/{name}"
    decoded = decode_json_body(body, ChangeBody, source)
    declaration_type = declarations.declaration_types_by_kind.get(kind)
    if declaration_type is None:
        kinds = ", ".join(declarations.declaration_types_by_kind)
        raise errors.InvalidValueError(
            result_codes.INVALID_DECLARATION,
            f"{source}: unknown kind {kind!r}, expected one of {kinds}",
        )
    mapping = decoded["declaration"]
    deleted = mapping is None
    if deleted:
        value = encode_tombstone(decoded["change_id"])
    else:
        declaration: Any = record_from_mapping(
            declaration_type, mapping, source, result_codes.INVALID_DECLARATION
        )
        value = encode_declaration(declaration, decoded["change_id"])
    return events.ChangeRequested(
        operation_id=operation_id,
        change_id=decoded["change_id"],
        kind=kind,
        name=name,
        value=value,
        deleted=deleted,
        expected_version=decoded["expected_version"],
    )


def encode_change_answer(action: actions.AnswerChange) -> bytes:
    """Return the response body of an accepted change."""
    return msgspec.json.encode({"version": action.version})


def object_bodies_from_rows(objects: Iterable[rows.ObjectRow]) -> list[ObjectBody]:
    """Return the bodies of objects with their declarations as stored."""
    return [_object_body(row) for row in objects]


def _object_body(row: rows.ObjectRow) -> ObjectBody:
    kind, name = row.key
    try:
        mapping = msgspec.json.decode(row.value) if row.value else {}
    except (msgspec.DecodeError, RecursionError):
        mapping = {}
    mapping = mapping if isinstance(mapping, dict) else {}
    change_id = mapping.pop(CHANGE_KEY, "")
    mapping.pop(DELETED_KEY, None)
    # A tombstone without a value results from a delete request to the store, after
    # which the store treats the object as absent.
    absent = row.deleted and not row.value
    return {
        "kind": kind,
        "name": name,
        "version": row.version,
        "write_version": 0 if absent else row.version,
        "change_id": change_id,
        "declaration": None if row.deleted else mapping,
    }
