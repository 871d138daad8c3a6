"""Declarations in TOML files."""

from __future__ import annotations

import json
import re
import tomllib
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Any, NamedTuple

from carawayhitch.codecs._records import mapping_from_record, record_from_mapping
from carawayhitch.core import declarations, errors, result_codes

BARE_KEY = re.compile(r"[A-Za-z0-9_-]+")
ERROR_CODE = result_codes.INVALID_DECLARATION


class FolderDeclarations(NamedTuple):
    """Declarations in a folder and the file that each was read from."""

    declarations_by_key: dict[declarations.ObjectKey, Any]
    sources_by_key: dict[declarations.ObjectKey, str]


def read_declarations(folder: str) -> FolderDeclarations:
    """Return the declarations in the ``*.toml`` files of a folder and below it.

    Raises
    ------
    InvalidValueError
        If a file cannot be read, a key is unknown, a value is invalid or an object is
        declared twice. The message names the file, object, key, value and what was
        expected.
    """
    root = Path(folder)
    paths = sorted(root.rglob("*.toml")) if root.is_dir() else []
    if not paths:
        raise errors.InvalidValueError(
            ERROR_CODE, f"{folder}: expected a folder with at least one .toml file"
        )
    found = FolderDeclarations({}, {})
    for path in paths:
        _read_file(path, found)
    return found


def read_declaration_file(path: str) -> FolderDeclarations:
    """Return the declarations in one TOML file, or raise as `read_declarations`."""
    found = FolderDeclarations({}, {})
    _read_file(Path(path), found)
    return found


def _read_file(path: Path, found: FolderDeclarations) -> None:
    try:
        tables = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise errors.InvalidValueError(ERROR_CODE, f"{path}: {error}") from None
    for kind, entries in tables.items():
        declaration_type = declarations.declaration_types_by_kind.get(kind)
        if declaration_type is None:
            kinds = ", ".join(declarations.declaration_types_by_kind)
            message = f"{path}: key {kind!r}: unknown kind, expected one of {kinds}"
            raise errors.InvalidValueError(ERROR_CODE, message)
        if not isinstance(entries, list):
            message = f"{path}: key {kind!r}: found one table, expected [[{kind}]]"
            raise errors.InvalidValueError(ERROR_CODE, message)
        for index, entry in enumerate(entries):
            name = entry.get("name") if isinstance(entry, dict) else None
            source = f"{path}: {kind}/{name if name else f'[{index}]'}"
            declaration: Any = record_from_mapping(
                declaration_type, entry, source, ERROR_CODE
            )
            key = declarations.ObjectKey(kind, declaration.name)
            if key in found.sources_by_key:
                message = (
                    f"{source}: key 'name': found {declaration.name!r} again, expected "
                    f"a name that {found.sources_by_key[key]} does not declare"
                )
                raise errors.InvalidValueError(ERROR_CODE, message)
            found.declarations_by_key[key] = declaration
            found.sources_by_key[key] = str(path)


def encode_declarations_toml(declared: Mapping[declarations.ObjectKey, Any]) -> str:
    """Return declarations as TOML that `read_declarations` accepts.

    Fields with default values are omitted, as in a file written by hand.
    """
    return "\n".join(
        _toml_table(key.kind, declared[key])
        for key in sort_keys_by_dependency(declared)
    )


def _toml_table(kind: str, declaration: Any) -> str:
    lines = [f"[[{kind}]]"]
    for name in declaration._fields:
        value = getattr(declaration, name)
        if value != declaration._field_defaults.get(name):
            lines.append(f"{name} = {_toml_value(mapping_from_record(value))}")
    return "\n".join(lines) + "\n"


def _toml_value(value: Any) -> str:
    if isinstance(value, dict):
        pairs = (
            f"{_toml_key(key)} = {_toml_value(item)}" for key, item in value.items()
        )
        return "{" + ", ".join(pairs) + "}"
    if isinstance(value, list):
        return "[" + ", ".join(_toml_value(item) for item in value) + "]"
    # JSON strings, numbers and booleans are valid TOML, except that TOML strings must
    # escape the DEL character.
    return json.dumps(value, ensure_ascii=False).replace("\x7f", "\\u007f")


def _toml_key(key: str) -> str:
    return key if BARE_KEY.fullmatch(key) else _toml_value(key)


def sort_keys_by_dependency(
    keys: Iterable[declarations.ObjectKey],
) -> list[declarations.ObjectKey]:
    """Return keys ordered so that objects precede the objects that refer to them."""
    kinds = list(declarations.declaration_types_by_kind)
    return sorted(keys, key=lambda key: (kinds.index(key.kind), key.name))
