"""The declarations under check and what is known beside them."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from carawayhitch.controllers._configuration_checks import (
    ACCOUNT_LABEL,
    Problem,
    kind_of,
)
from carawayhitch.controllers._selectors import selector_matches
from carawayhitch.core import declarations, settings


class Finding(NamedTuple):
    """A problem and the stable name of the rule that found it."""

    rule: str
    problem: Problem


class Known(NamedTuple):
    """What is known beside the declarations; rules without their input find nothing.

    Parameters
    ----------
    settings : Settings or None
        Settings of the entries.
    labels_by_upstream_id : dict of str to dict or None
        Labels of the upstreams that an entry lists.
    """

    settings: settings.Settings | None = None
    labels_by_upstream_id: dict[str, declarations.Labels] | None = None


class CheckedSet(NamedTuple):
    """Declarations by kind and name, with what is known beside them.

    Parameters
    ----------
    accounts_by_binding : dict of str to frozenset of str
        Names of the accounts that each binding selects.
    first_routes_by_place : dict of tuple to str
        Name of the first HTTP route with each host and path prefix.
    """

    by_kind: dict[str, dict[str, Any]]
    known: Known
    accounts_by_binding: dict[str, frozenset[str]]
    first_routes_by_place: dict[tuple[str, str], str]

    def names(self, kind: str) -> Mapping[str, Any]:
        """Return the declarations of a kind, by name."""
        return self.by_kind.get(kind, {})


def build_checked_set(declared: Iterable[Any], known: Known) -> CheckedSet:
    """Return declarations by kind and name; the first one of a name counts."""
    by_kind: dict[str, dict[str, Any]] = {}
    for declaration in declared:
        named = by_kind.setdefault(kind_of(declaration), {})
        named.setdefault(declaration.name, declaration)
    accounts = by_kind.get("client_account", {}).values()
    accounts_by_binding = {
        binding.name: frozenset(
            account.name
            for account in accounts
            if selector_matches(
                binding.account_selector,
                {**account.labels, ACCOUNT_LABEL: account.name},
            )
        )
        for binding in by_kind.get("binding", {}).values()
    }
    first_routes_by_place: dict[tuple[str, str], str] = {}
    for route in by_kind.get("http_route", {}).values():
        first_routes_by_place.setdefault(place_of(route), route.name)
    return CheckedSet(by_kind, known, accounts_by_binding, first_routes_by_place)


def place_of(route: declarations.HttpRoute) -> tuple[str, str]:
    """Return the host, which is compared without case, and the path prefix."""
    return route.host.lower(), route.path_prefix


def finding(
    rule: str, declaration: Any, key: str, value: Any, expected: str
) -> Finding:
    """Return a finding for one key of a declaration."""
    kind = kind_of(declaration)
    return Finding(rule, Problem(kind, declaration.name, key, value, expected))
