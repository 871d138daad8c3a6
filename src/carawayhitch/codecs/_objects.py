"""Declared objects: store values to declarations and back.

A store value is the declaration as a JSON object. Two more keys belong to the change
that wrote it: ``_change`` with its id, and ``_deleted`` for a tombstone.
"""

from __future__ import annotations

from typing import Any, TypedDict

import msgspec

from carawayhitch.codecs._records import mapping_from_record, record_from_mapping
from carawayhitch.core import declarations, errors, events, result_codes

CHANGE_KEY = "_change"
DELETED_KEY = "_deleted"


class ChangeMetadata(TypedDict, total=False):
    """Keys of a store value that belong to the change that wrote it."""

    _change: str
    _deleted: bool


_marks_decoder = msgspec.json.Decoder(ChangeMetadata)


def decode_change_metadata(value: bytes) -> tuple[str, bool]:
    """Return the change id of a store value and whether it is a tombstone."""
    try:
        marks: Any = _marks_decoder.decode(value)
    except (msgspec.DecodeError, RecursionError):
        # The declaration in the value cannot be decoded either and is rejected there.
        return "", False
    return marks.get(CHANGE_KEY, ""), marks.get(DELETED_KEY, False)


def decode_declaration(kind: str, name: str, value: bytes) -> Any:
    """Return the declaration that a store value holds.

    Raises
    ------
    InvalidValueError
        If the kind is unknown or the value does not fit it.
    """
    source = f"{kind}/{name}"
    declaration_type = declarations.declaration_types_by_kind.get(kind)
    code = result_codes.INVALID_DECLARATION
    if declaration_type is None:
        kinds = ", ".join(declarations.declaration_types_by_kind)
        raise errors.InvalidValueError(
            code, f"{source}: unknown kind {kind!r}, expected one of {kinds}"
        )
    try:
        mapping = msgspec.json.decode(value)
    except (msgspec.DecodeError, RecursionError) as error:
        raise errors.InvalidValueError(code, f"{source}: {error}") from None
    if isinstance(mapping, dict):
        mapping.pop(CHANGE_KEY, None)
        mapping.pop(DELETED_KEY, None)
    declaration: Any = record_from_mapping(declaration_type, mapping, source, code)
    if declaration.name != name:
        message = f"key 'name': found {declaration.name!r}, expected {name!r}"
        raise errors.InvalidValueError(code, f"{source}: {message}")
    return declaration


def encode_declaration(declaration: Any, change_id: str = "") -> bytes:
    """Return the store value of a declaration."""
    mapping = mapping_from_record(declaration)
    marks = {CHANGE_KEY: change_id} if change_id else {}
    return msgspec.json.encode({**marks, **mapping})


def encode_tombstone(change_id: str) -> bytes:
    """Return the store value of a tombstone."""
    return msgspec.json.encode({CHANGE_KEY: change_id, DELETED_KEY: True})


def decode_object(stored: events.StoredObject) -> events.DecodedObject:
    """Return one version of an object with its declaration or what is wrong."""
    declaration: Any = None
    problem = ""
    if not stored.deleted:
        try:
            declaration = decode_declaration(stored.kind, stored.name, stored.value)
        except errors.InvalidValueError as error:
            problem = error.message
    return events.DecodedObject(
        stored.kind, stored.name, stored.version, declaration, problem
    )
