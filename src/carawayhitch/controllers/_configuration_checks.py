"""Validation of declarations before a change is written or activated."""

from __future__ import annotations

import math
import re
from collections.abc import Iterable, Iterator, Mapping
from functools import singledispatch
from itertools import combinations
from typing import Any, NamedTuple

from carawayhitch.controllers._declaration_sets import contained_declarations
from carawayhitch.core import declarations, events

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}")
TOKEN_HASH_PATTERN = re.compile(r"[0-9a-f]{64}")
ROUTE_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
ACCOUNT_LABEL = "account"
# Allows for the binary rounding errors in a sum of decimal fractions.
FLOOR_TOLERANCE = 1e-9


class Problem(NamedTuple):
    """An invalid value of a declaration and what is expected instead."""

    kind: str
    name: str
    key: str
    value: Any
    expected: str


class DeclaredSet(NamedTuple):
    """All declarations by kind and name, and the labels of all accounts."""

    by_kind: dict[str, dict[str, Any]]
    account_labels: frozenset[tuple[str, str]]

    def names(self, kind: str) -> Mapping[str, Any]:
        """Return the declarations of a kind, by name."""
        return self.by_kind.get(kind, {})


def kind_of(declaration: Any) -> str:
    """Return the kind of a declaration."""
    return _kinds_by_type[type(declaration)]


_kinds_by_type = {
    declaration_type: kind
    for kind, declaration_type in declarations.declaration_types_by_kind.items()
}


def find_declaration_problems(declared: Iterable[Any]) -> list[Problem]:
    """Return the problems of each declaration and of the set as a whole."""
    all_declared = list(declared)
    problems = [
        problem for item in all_declared for problem in find_value_problems(item)
    ]
    return problems + find_set_problems(all_declared)


def find_value_problems(declaration: Any) -> list[Problem]:
    """Return the problems of one declaration that do not depend on others."""
    return [
        Problem(kind_of(item), item.name, key, value, expected)
        for item in contained_declarations(declaration)
        if type(item) in _kinds_by_type
        for key, value, expected in _check_values(item)
    ]


def find_set_problems(declared: Iterable[Any]) -> list[Problem]:
    """Return the problems between the declarations of a set.

    The cost must not be quadratic in the number of declarations, because this runs for
    every change on the event loop that relays streams.
    """
    problems: list[Problem] = []
    by_kind: dict[str, dict[str, Any]] = {}
    for declaration in declared:
        kind = kind_of(declaration)
        named = by_kind.setdefault(kind, {})
        if declaration.name in named:
            problems.append(
                Problem(
                    kind, declaration.name, "name", declaration.name, "a unique name"
                )
            )
        named[declaration.name] = declaration
    accounts = by_kind.get("client_account", {}).values()
    account_labels = {pair for account in accounts for pair in account.labels.items()}
    declared_set = DeclaredSet(by_kind, frozenset(account_labels))
    for kind in ("binding", "engine_order", "http_route"):
        for declaration in declared_set.names(kind).values():
            problems += (
                Problem(kind, declaration.name, key, value, expected)
                for key, value, expected in _check_references(declaration, declared_set)
            )
    problems += _check_floor_sum(declared_set)
    problems += _check_duplicate_tokens(declared_set)
    problems += _check_overlapping_bindings(declared_set)
    problems += _check_catch_all_bindings(declared_set)
    return problems


def format_problem(
    problem: Problem, sources_by_key: Mapping[Any, str] | None = None
) -> str:
    """Return one line with the file, object, key, value and expectation."""
    source = (sources_by_key or {}).get((problem.kind, problem.name))
    prefix = f"{source}: " if source else ""
    return (
        f"{prefix}{problem.kind}/{problem.name}: key {problem.key!r}: "
        f"found {problem.value!r}, expected {problem.expected}"
    )


def validate_decoded_object(decoded: events.DecodedObject) -> events.DecodedObject:
    """Return a decoded object with the problems of its declaration filled in."""
    if decoded.declaration is None:
        return decoded
    problems = [
        format_problem(problem) for problem in find_value_problems(decoded.declaration)
    ]
    return decoded._replace(problem="; ".join(problems))


def find_object_problems(decoded: Iterable[events.DecodedObject]) -> tuple[str, ...]:
    """Return the problems of a set of decoded objects, one line each.

    Single objects are not validated again: `validate_decoded_object` did so when they
    were decoded, and repeating it for every change took 11 of 15 ms at 1,200 accounts.
    """
    objects = list(decoded)
    declared = [
        item
        for entry in objects
        if entry.declaration is not None
        for item in contained_declarations(entry.declaration)
    ]
    problems = [entry.problem for entry in objects if entry.problem]
    return (*problems, *map(format_problem, find_set_problems(declared)))


Finding = tuple[str, Any, str]


def _check_common_values(declaration: Any) -> Iterator[Finding]:
    if not NAME_PATTERN.fullmatch(declaration.name):
        expected = "1 to 100 letters, digits, '.', '_' or '-'"
        yield "name", declaration.name, expected
    for key, value in zip(declaration._fields, declaration, strict=True):
        if isinstance(value, float) and not math.isfinite(value):
            yield key, value, "a finite number"
        if isinstance(value, dict) and "" in value:
            yield key, value, "labels with non-empty names"


@singledispatch
def _check_values(declaration: Any) -> Iterator[Finding]:
    yield from _check_common_values(declaration)


@singledispatch
def _check_references(declaration: Any, declared: DeclaredSet) -> Iterator[Finding]:
    raise TypeError(f"{declaration!r} has no reference checks")


@_check_values.register(declarations.ServingGroup)
def _check_group_values(group: declarations.ServingGroup) -> Iterator[Finding]:
    yield from _check_common_values(group)
    if not group.selector:
        # An empty selector would match every engine and plain service of the platform.
        yield "selector", group.selector, "at least one label"


@_check_values.register(declarations.ClientAccount)
def _check_account_values(account: declarations.ClientAccount) -> Iterator[Finding]:
    yield from _check_common_values(account)
    if not account.token_sha256s:
        yield "token_sha256s", [], "at least one token hash"
    for index, token in enumerate(account.token_sha256s):
        if not TOKEN_HASH_PATTERN.fullmatch(token):
            expected = "a SHA-256 as 64 lower-case hexadecimal digits"
            yield f"token_sha256s[{index}]", token, expected
    if ACCOUNT_LABEL in account.labels:
        expected = f"no label {ACCOUNT_LABEL!r}; it is always set to the account's name"
        yield "labels", account.labels, expected


@_check_references.register(declarations.Binding)
def _check_binding_references(
    binding: declarations.Binding, declared: DeclaredSet
) -> Iterator[Finding]:
    yield from _check_reference("group", binding.group, "serving_group", declared)
    yield from _check_reference("rank", binding.rank, "rank_class", declared)
    for label, value in binding.account_selector.items():
        if label == ACCOUNT_LABEL:
            yield from _check_reference(
                f"account_selector.{label}", value, "client_account", declared
            )
        elif (label, value) not in declared.account_labels:
            expected = "a label that at least one client_account carries"
            yield f"account_selector.{label}", value, expected
    service = binding.request_selector.get(declarations.SERVICE_LABEL)
    if service is not None:
        key = f"request_selector.{declarations.SERVICE_LABEL}"
        yield from _check_reference(key, service, "plain_service", declared)


@_check_values.register(declarations.PlainService)
def _check_service_values(service: declarations.PlainService) -> Iterator[Finding]:
    yield from _check_common_values(service)
    seen: set[tuple[str, str]] = set()
    for index, route in enumerate(service.routes):
        if route.method not in ROUTE_METHODS:
            expected = f"one of {', '.join(ROUTE_METHODS)}"
            yield f"routes[{index}].method", route.method, expected
        if not route.path_prefix.startswith("/"):
            yield f"routes[{index}].path_prefix", route.path_prefix, "a leading '/'"
        if (route.method, route.path_prefix) in seen:
            duplicate = f"{route.method} {route.path_prefix}"
            yield (
                f"routes[{index}]",
                duplicate,
                "at most one route per method and prefix",
            )
        seen.add((route.method, route.path_prefix))


@_check_values.register(declarations.HttpRoute)
def _check_route_values(route: declarations.HttpRoute) -> Iterator[Finding]:
    yield from _check_common_values(route)
    prefix = route.path_prefix
    if not (prefix.startswith("/") and prefix.endswith("/")):
        yield "path_prefix", prefix, "a leading and a trailing '/'"
    if not route.shares:
        yield "shares", [], "at least one serving group"


@_check_references.register(declarations.HttpRoute)
def _check_route_references(
    route: declarations.HttpRoute, declared: DeclaredSet
) -> Iterator[Finding]:
    for index, share in enumerate(route.shares):
        key = f"shares[{index}].group"
        yield from _check_reference(key, share.group, "serving_group", declared)


@_check_references.register(declarations.EngineOrder)
def _check_order_references(
    order: declarations.EngineOrder, declared: DeclaredSet
) -> Iterator[Finding]:
    yield from _check_reference("group", order.group, "serving_group", declared)


def _check_reference(
    key: str, name: str, kind: str, declared: DeclaredSet
) -> Iterator[Finding]:
    if name not in declared.names(kind):
        yield key, name, f"the name of a declared {kind}"


def _check_floor_sum(declared: DeclaredSet) -> Iterator[Problem]:
    ranks = declared.names("rank_class")
    total = sum(rank.floor for rank in ranks.values())
    if total > 1 + FLOOR_TOLERANCE:
        last = max(ranks)
        expected = f"floors of all rank classes with a sum of at most 1, not {total:g}"
        yield Problem("rank_class", last, "floor", ranks[last].floor, expected)


def _check_duplicate_tokens(declared: DeclaredSet) -> Iterator[Problem]:
    owners: dict[str, str] = {}
    for account in declared.names("client_account").values():
        for token in account.token_sha256s:
            owner = owners.setdefault(token, account.name)
            if owner != account.name or account.token_sha256s.count(token) > 1:
                expected = f"a token hash that is used once; {owner!r} has it as well"
                yield Problem(
                    "client_account", account.name, "token_sha256s", token, expected
                )


Selector = dict[tuple[str, str], str]


def _combined_selector(binding: declarations.Binding) -> Selector:
    return {
        **{("account", key): value for key, value in binding.account_selector.items()},
        **{("request", key): value for key, value in binding.request_selector.items()},
    }


def _check_overlapping_bindings(declared: DeclaredSet) -> Iterator[Problem]:
    """Find bindings with equal precedence that can select the same request.

    Two selectors overlap if they have equal values for all labels that they share.
    Bindings are grouped by label names, so that a comparison is a dictionary lookup.
    """
    bindings_by_precedence: dict[
        int, dict[frozenset[Any], list[tuple[str, Selector]]]
    ] = {}
    for binding in declared.names("binding").values():
        selector = _combined_selector(binding)
        by_labels = bindings_by_precedence.setdefault(binding.precedence, {})
        by_labels.setdefault(frozenset(selector), []).append((binding.name, selector))
    for precedence, by_labels in bindings_by_precedence.items():
        pairs = [(labels, labels) for labels in by_labels]
        pairs += combinations(by_labels, 2)
        for first, second in pairs:
            common = sorted(first & second)
            names_by_common_values = {
                tuple(selector[label] for label in common): name
                for name, selector in by_labels[first]
            }
            for name, selector in by_labels[second]:
                other = names_by_common_values.get(
                    tuple(selector[label] for label in common), name
                )
                if other != name:
                    expected = (
                        f"no selector overlap with {other!r}, or another precedence"
                    )
                    yield Problem("binding", name, "precedence", precedence, expected)


def _check_catch_all_bindings(declared: DeclaredSet) -> Iterator[Problem]:
    """Find bindings that select every request and shadow a lower precedence."""
    bindings = declared.names("binding").values()
    lowest = min((binding.precedence for binding in bindings), default=0)
    for binding in bindings:
        if not _combined_selector(binding) and binding.precedence > lowest:
            expected = (
                f"the lowest precedence (at most {lowest}), because the binding "
                "selects every request"
            )
            yield Problem(
                "binding", binding.name, "precedence", binding.precedence, expected
            )
