"""Findings of a configuration that is valid but may not do what it declares.

See docs/declarations.md for the rules.
"""

from __future__ import annotations

from carawayhitch.controllers.configuration_checks._differences import (
    Difference,
    FieldChange,
    find_changes,
)
from carawayhitch.controllers.configuration_checks._findings import (
    INVALID_DECLARATION_RULE,
    RULES,
    find_findings,
)
from carawayhitch.controllers.configuration_checks._sets import Finding, Known

__all__ = [
    "INVALID_DECLARATION_RULE",
    "RULES",
    "Difference",
    "FieldChange",
    "Finding",
    "Known",
    "find_changes",
    "find_findings",
]
