"""Objects of the store that hold several declarations together."""

from __future__ import annotations

from collections.abc import Sequence
from functools import singledispatch
from typing import Any

from carawayhitch.core import declarations


@singledispatch
def contained_declarations(declared: Any) -> Sequence[Any]:
    """Return the declarations that a decoded object holds."""
    return (declared,)


@contained_declarations.register
def _items_of_set(declared: declarations.DeclarationSet) -> Sequence[Any]:
    return declared.declarations


@singledispatch
def declared_version(declared: Any) -> int:
    """Return the version that operators gave a decoded object; 0 for none."""
    return 0


@declared_version.register
def _version_of_set(declared: declarations.DeclarationSet) -> int:
    return declared.version
