"""All findings of a configuration and the rules that find them."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from carawayhitch.controllers._configuration_checks import find_declaration_problems
from carawayhitch.controllers.configuration_checks._limits import find_contradictions
from carawayhitch.controllers.configuration_checks._matches import find_unmatched
from carawayhitch.controllers.configuration_checks._sets import (
    Finding,
    Known,
    build_checked_set,
)

INVALID_DECLARATION_RULE = "invalid-declaration"
# Names of the rules; scripts of operators compare them, so they stay as they are.
RULES = (
    INVALID_DECLARATION_RULE,
    "attempts-without-budget",
    "binding-hidden",
    "host-never-matches",
    "no-common-region",
    "path-never-matches",
    "patience-under-goal",
    "quota-over-capacity",
    "rate-without-warm-up",
    "region-without-servers",
    "route-hidden",
    "selector-selects-nothing",
    "share-never-chosen",
    "timeout-under-goal",
    "wait-under-target",
    "warm-up-without-rate",
)


def find_findings(declared: Iterable[Any], known: Known) -> list[Finding]:
    """Return the invalid values of a configuration first, then the other findings."""
    all_declared = list(declared)
    checked = build_checked_set(all_declared, known)
    invalid = find_declaration_problems(all_declared)
    findings = [Finding(INVALID_DECLARATION_RULE, problem) for problem in invalid]
    for named in checked.by_kind.values():
        for declaration in named.values():
            findings += find_unmatched(declaration, checked)
            findings += find_contradictions(declaration, checked)
    return findings
