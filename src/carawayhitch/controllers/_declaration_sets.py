"""Access to the declarations of stored objects, which can hold several of them."""

from __future__ import annotations

from collections.abc import Sequence
from functools import singledispatch
from typing import Any

from carawayhitch.core import declarations


@singledispatch
def contained_declarations(declared: Any) -> Sequence[Any]:
    """Return the declarations that a decoded object contains."""
    return (declared,)


@contained_declarations.register
def _declarations_of_set(declared: declarations.DeclarationSet) -> Sequence[Any]:
    return declared.declarations


@singledispatch
def declared_version(declared: Any) -> int:
    """Return the version that operators assigned to an object; 0 if it has none."""
    return 0


@declared_version.register
def _version_of_set(declared: declarations.DeclarationSet) -> int:
    return declared.version
