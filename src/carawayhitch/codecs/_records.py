"""Conversion between mappings and ``NamedTuple`` records, validated by msgspec."""

from __future__ import annotations

import re
import types
from functools import cache
from typing import Any, TypeVar, Union, get_args, get_origin, get_type_hints

import msgspec

from carawayhitch.core import errors, result_codes

Record = TypeVar("Record")
SECRET_PATH = re.compile(r"peers\Z|peers\.keys|store\Z|store\.token|admin")


def is_record_type(candidate: Any) -> bool:
    """Return whether a type is a ``NamedTuple``."""
    return isinstance(candidate, type) and hasattr(candidate, "_field_defaults")


@cache
def _validation_type(annotation: Any) -> Any:
    """Return an annotation with its record types replaced by msgspec structs."""
    if is_record_type(annotation):
        return _struct_type(annotation)
    origin = get_origin(annotation)
    if origin is None or not get_args(annotation):
        return annotation
    if hasattr(annotation, "__metadata__"):
        return annotation
    arguments = tuple(
        argument if argument is Ellipsis else _validation_type(argument)
        for argument in get_args(annotation)
    )
    if origin in (Union, types.UnionType):
        return Union[arguments]  # noqa: UP007
    if origin in (tuple, dict, list):
        return origin[arguments]
    return annotation


@cache
def _field_types(record_type: Any) -> dict[str, Any]:
    return get_type_hints(record_type, include_extras=True)


@cache
def _struct_type(record_type: Any) -> type[msgspec.Struct]:
    hints = _field_types(record_type)
    fields = [
        (name, _validation_type(hints[name]))
        if name not in record_type._field_defaults
        else (
            name,
            _validation_type(hints[name]) | msgspec.UnsetType,
            msgspec.UNSET,
        )
        for name in record_type._fields
    ]
    return msgspec.defstruct(
        record_type.__name__, fields, forbid_unknown_fields=True, kw_only=True
    )


def _to_record(value: Any, annotation: Any) -> Any:
    if is_record_type(annotation):
        hints = _field_types(annotation)
        found = {
            name: _to_record(getattr(value, name), hints[name])
            for name in annotation._fields
            if getattr(value, name) is not msgspec.UNSET
        }
        return annotation(**found)
    arguments = get_args(annotation)
    if isinstance(value, msgspec.Struct):
        # The annotation is a union of which only one type is a record.
        return _to_record(value, next(filter(is_record_type, arguments)))
    if isinstance(value, tuple) and arguments:
        return tuple(_to_record(item, arguments[0]) for item in value)
    if isinstance(value, dict) and len(arguments) == 2:
        return {key: _to_record(item, arguments[1]) for key, item in value.items()}
    return value


def record_from_mapping(
    record_type: type[Record],
    mapping: Any,
    source: str,
    code: result_codes.ResultCode = result_codes.INVALID_SETTING,
) -> Record:
    """Return a mapping as a validated record.

    Parameters
    ----------
    record_type : type
        A ``NamedTuple`` type. Fields may hold nested records, and tuples or mappings of
        records.
    mapping : dict
        Values decoded from TOML or JSON.
    source : str
        File or object to name in the error.
    code : ResultCode
        Code of the error.

    Returns
    -------
    record_type
        Record in which missing fields have their defaults.

    Raises
    ------
    InvalidValueError
        If a key is unknown or missing, or a value has an invalid type or range.
    """
    try:
        named_tuple_type: Any = record_type
        value = msgspec.convert(mapping, _struct_type(named_tuple_type), strict=True)
    except msgspec.ValidationError as error:
        raise errors.InvalidValueError(
            code, format_validation_error(source, mapping, str(error))
        ) from None
    return _to_record(value, record_type)


def format_validation_error(source: str, mapping: Any, problem: str) -> str:
    """Return a validation error of msgspec as one line with source, key and value."""
    message, _, path = problem.partition(" - at `")
    path = path.rstrip("`").removeprefix("$.")
    if not path:
        return f"{source}: {message}"
    value = _value_at(mapping, path)
    found = "" if value is None else f", found {_redacted(path, value)}"
    return f"{source}: key {path!r}: {message}{found}"


def _redacted(path: str, value: Any) -> str:
    """Return a value for an error message, with secrets redacted.

    A table or list may contain a secret under a misspelled key, so only the keys of
    tables are shown, and no value at a path of `SECRET_PATH`.
    """
    if isinstance(value, dict):
        return f"a table with the keys {sorted(value)}"
    if SECRET_PATH.match(path):
        return f"a {type(value).__name__} (value redacted)"
    return repr(value)


def _value_at(mapping: Any, path: str) -> Any:
    value = mapping
    for key, index in re.findall(r"([^.\[\]]+)|\[(\d+)\]", path):
        try:
            value = value[int(index)] if index else value[key]
        except (KeyError, IndexError, TypeError):
            return None
    return value


def mapping_from_record(record: Any) -> Any:
    """Return a record as nested mappings and lists for encoding as JSON or TOML."""
    if hasattr(record, "_asdict"):
        return {
            name: mapping_from_record(getattr(record, name)) for name in record._fields
        }
    if isinstance(record, tuple | list):
        return [mapping_from_record(item) for item in record]
    if isinstance(record, dict):
        return {key: mapping_from_record(item) for key, item in record.items()}
    return record
