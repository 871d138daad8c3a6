"""Differences between a configuration and the one in force."""

from __future__ import annotations

from collections.abc import Mapping
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
    declared: Mapping[declarations.ObjectKey, Mapping[str, Any]],
    in_force: Mapping[declarations.ObjectKey, Mapping[str, Any]],
) -> list[Difference]:
    """Return the differences between two sets of fields, by kind and name."""
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


def _changed_fields(
    in_force: Mapping[str, Any], declared: Mapping[str, Any]
) -> tuple[FieldChange, ...]:
    return tuple(
        FieldChange(name, in_force.get(name), declared.get(name))
        for name in dict.fromkeys((*declared, *in_force))
        if in_force.get(name) != declared.get(name)
    )
