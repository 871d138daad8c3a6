"""Conversion between the values of the object store and declarations.

A store value is the declaration as a JSON object. Two more keys describe the change
that wrote the value: ``_change`` holds the change id, ``_deleted`` marks a tombstone.
"""

from __future__ import annotations

from typing import Any, TypedDict

import msgspec

from carawayhitch.codecs._records import mapping_from_record, record_from_mapping
from carawayhitch.core import declarations, errors, events, result_codes

CHANGE_KEY = "_change"
DELETED_KEY = "_deleted"


class ChangeMetadata(TypedDict, total=False):
    """Keys of a store value that describe the change that wrote it."""

    _change: str
    _deleted: bool


_metadata_decoder = msgspec.json.Decoder(ChangeMetadata)


def decode_change_metadata(value: bytes) -> tuple[str, bool]:
    """Return the change id of a store value and whether it is a tombstone."""
    try:
        metadata: Any = _metadata_decoder.decode(value)
    except (msgspec.DecodeError, RecursionError):
        # `decode_declaration` rejects the same value with a description of the error.
        return "", False
    return metadata.get(CHANGE_KEY, ""), metadata.get(DELETED_KEY, False)


def decode_declaration(kind: str, name: str, value: bytes) -> Any:
    """Return the declaration that a store value holds.

    Raises
    ------
    InvalidValueError
        If the kind is unknown or the value is not a valid declaration of that kind.
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
    metadata = {CHANGE_KEY: change_id} if change_id else {}
    return msgspec.json.encode({**metadata, **mapping})


def encode_tombstone(change_id: str) -> bytes:
    """Return the store value of a tombstone."""
    return msgspec.json.encode({CHANGE_KEY: change_id, DELETED_KEY: True})


def decode_object(stored: events.StoredObject) -> events.DecodedObject:
    """Return one version of an object with its declaration or a decoding error."""
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
