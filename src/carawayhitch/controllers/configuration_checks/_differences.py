"""Differences between a configuration and the one in force."""

from __future__ import annotations

from collections.abc import Mapping
from functools import singledispatch
from typing import Any, NamedTuple

from carawayhitch.core import declarations


class FieldChange(NamedTuple):
    """A field of a declaration and its values in force and in the configuration."""

    field: str
    in_force: Any
    declared: Any


class Difference(NamedTuple):
    """One object that differs.

    Parameters
    ----------
    change : str
        ``added``, ``removed`` or ``changed``.
    fields : tuple of FieldChange
        Changed fields; empty if the object is added or removed.
    """

    key: declarations.ObjectKey
    change: str
    fields: tuple[FieldChange, ...] = ()


def find_changes(
    declared: Mapping[declarations.ObjectKey, Any],
    in_force: Mapping[declarations.ObjectKey, Any],
) -> list[Difference]:
    """Return the differences, by kind and name."""
    differences: list[Difference] = []
    for key in sorted({*declared, *in_force}):
        if key not in in_force:
            differences.append(Difference(key, "added"))
        elif key not in declared:
            differences.append(Difference(key, "removed"))
        elif declared[key] != in_force[key]:
            fields = _changed_fields(in_force[key], declared[key])
            differences.append(Difference(key, "changed", fields))
    return differences


@singledispatch
def _values_by_field(declaration: Any) -> dict[str, Any]:
    """Return the values of a declaration by field."""
    return dict(declaration._asdict())


@_values_by_field.register
def _values_of_mapping(mapping: dict) -> dict[str, Any]:
    # An object in the store that is no valid declaration is kept as its mapping.
    return mapping


def _changed_fields(in_force: Any, declared: Any) -> tuple[FieldChange, ...]:
    old, new = _values_by_field(in_force), _values_by_field(declared)
    return tuple(
        FieldChange(name, old.get(name), new.get(name))
        for name in dict.fromkeys((*new, *old))
        if old.get(name) != new.get(name)
    )
