"""Declared objects: store values to declarations and back."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec

from carawayhitch.codecs._records import mapping_from_record, record_from_mapping
from carawayhitch.core import declarations, errors, result_codes, rows


def declaration_from_value(kind: str, name: str, value: bytes) -> Any:
    """Return the declaration that a store value holds.

    Raises
    ------
    InvalidValueError
        If the kind is unknown or the value does not fit it.
    """
    source = f"{kind}/{name}"
    declaration_type = declarations.declaration_types_by_kind.get(kind)
    if declaration_type is None:
        kinds = ", ".join(declarations.declaration_types_by_kind)
        raise errors.InvalidValueError(
            result_codes.INVALID_DECLARATION,
            f"{source}: unknown kind {kind!r}, expected one of {kinds}",
        )
    try:
        mapping = msgspec.json.decode(value)
    except msgspec.DecodeError as error:
        raise errors.InvalidValueError(
            result_codes.INVALID_DECLARATION, f"{source}: {error}"
        ) from None
    return record_from_mapping(
        declaration_type, mapping, source, result_codes.INVALID_DECLARATION
    )


def value_from_declaration(declaration: Any) -> bytes:
    """Return the store value of a declaration."""
    return msgspec.json.encode(mapping_from_record(declaration))


def decode_objects(
    objects: Iterable[rows.ObjectRow],
) -> tuple[list[Any], list[str]]:
    """Return the declarations of all objects that exist, and what is wrong."""
    decoded: list[Any] = []
    problems: list[str] = []
    for stored in objects:
        if stored.deleted:
            continue
        kind, name = stored.key
        try:
            decoded.append(declaration_from_value(kind, name, stored.value))
        except errors.InvalidValueError as error:
            problems.append(error.message)
    return decoded, problems
