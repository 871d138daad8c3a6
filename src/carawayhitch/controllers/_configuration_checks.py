"""Checks of a whole set of declarations before it is written or put in force."""

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
TOKEN_PATTERN = re.compile(r"[0-9a-f]{64}")
ROUTE_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
ACCOUNT_LABEL = "account"
# Floors are sums of decimal fractions, which binary numbers hold with an error.
FLOOR_TOLERANCE = 1e-9


class Problem(NamedTuple):
    """One wrong value of a declaration."""

    kind: str
    name: str
    key: str
    value: Any
    expected: str


class DeclaredSet(NamedTuple):
    """All declarations by kind and name, and the labels that accounts carry."""

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
    """Return what is wrong with declarations, each by itself and as a whole."""
    found = list(declared)
    problems = [problem for item in found for problem in find_value_problems(item)]
    return problems + find_set_problems(found)


def find_value_problems(declaration: Any) -> list[Problem]:
    """Return what is wrong with one declaration whatever the others are."""
    return [
        Problem(kind_of(item), item.name, key, value, expected)
        for item in contained_declarations(declaration)
        if type(item) in _kinds_by_type
        for key, value, expected in _value_problems(item)
    ]


def find_set_problems(declared: Iterable[Any]) -> list[Problem]:
    """Return what is wrong between the declarations of a set.

    The cost grows with the number of declarations, not with its square: this runs for
    every change, on the event loop that relays streams.
    """
    problems: list[Problem] = []
    by_kind: dict[str, dict[str, Any]] = {}
    for declaration in declared:
        kind = kind_of(declaration)
        named = by_kind.setdefault(kind, {})
        if declaration.name in named:
            problems.append(
                Problem(kind, declaration.name, "name", declaration.name, "a new name")
            )
        named[declaration.name] = declaration
    accounts = by_kind.get("client_account", {}).values()
    account_labels = {pair for account in accounts for pair in account.labels.items()}
    declared_set = DeclaredSet(by_kind, frozenset(account_labels))
    for kind in ("binding", "engine_order", "http_route"):
        for declaration in declared_set.names(kind).values():
            problems += (
                Problem(kind, declaration.name, key, value, expected)
                for key, value, expected in _reference_problems(
                    declaration, declared_set
                )
            )
    problems += _floor_problems(declared_set)
    problems += _token_problems(declared_set)
    problems += _overlap_problems(declared_set)
    problems += _default_binding_problems(declared_set)
    return problems


def format_problem(
    problem: Problem, sources_by_key: Mapping[Any, str] | None = None
) -> str:
    """Return one line that names file, object, key, value and what was expected."""
    source = (sources_by_key or {}).get((problem.kind, problem.name))
    prefix = f"{source}: " if source else ""
    return (
        f"{prefix}{problem.kind}/{problem.name}: key {problem.key!r}: "
        f"found {problem.value!r}, expected {problem.expected}"
    )


def validate_decoded_object(decoded: events.DecodedObject) -> events.DecodedObject:
    """Return a decoded object with what is wrong in its declaration."""
    if decoded.declaration is None:
        return decoded
    found = [
        format_problem(problem) for problem in find_value_problems(decoded.declaration)
    ]
    return decoded._replace(problem="; ".join(found))


def find_object_problems(decoded: Iterable[events.DecodedObject]) -> tuple[str, ...]:
    """Return what is wrong with a set of decoded objects, one line each.

    The objects passed `validate_decoded_object` when they were decoded; checking each again for
    every change took 11 of 15 ms at 1,200 accounts.
    """
    found = list(decoded)
    declared = [
        item
        for entry in found
        if entry.declaration is not None
        for item in contained_declarations(entry.declaration)
    ]
    problems = [entry.problem for entry in found if entry.problem]
    return (*problems, *map(format_problem, find_set_problems(declared)))


Found = tuple[str, Any, str]


def _common_problems(declaration: Any) -> Iterator[Found]:
    if not NAME_PATTERN.fullmatch(declaration.name):
        expected = "1 to 100 letters, digits, '.', '_' or '-'"
        yield "name", declaration.name, expected
    for key, value in zip(declaration._fields, declaration, strict=True):
        if isinstance(value, float) and not math.isfinite(value):
            yield key, value, "a finite number"
        if isinstance(value, dict) and "" in value:
            yield key, value, "labels with a name"


@singledispatch
def _value_problems(declaration: Any) -> Iterator[Found]:
    yield from _common_problems(declaration)


@singledispatch
def _reference_problems(declaration: Any, declared: DeclaredSet) -> Iterator[Found]:
    raise TypeError(f"{declaration!r} refers to nothing")


@_value_problems.register(declarations.ServingGroup)
def _group_problems(group: declarations.ServingGroup) -> Iterator[Found]:
    yield from _common_problems(group)
    if not group.selector:
        # An empty selector would take every engine and plain service of the platform.
        yield "selector", group.selector, "at least one label"


@_value_problems.register(declarations.ClientAccount)
def _account_problems(account: declarations.ClientAccount) -> Iterator[Found]:
    yield from _common_problems(account)
    if not account.token_sha256s:
        yield "token_sha256s", [], "at least one token hash"
    for index, token in enumerate(account.token_sha256s):
        if not TOKEN_PATTERN.fullmatch(token):
            expected = "a SHA-256 as 64 lower-case hexadecimal digits"
            yield f"token_sha256s[{index}]", token, expected
    if ACCOUNT_LABEL in account.labels:
        expected = f"no label {ACCOUNT_LABEL!r}; it always is the account's name"
        yield "labels", account.labels, expected


@_reference_problems.register(declarations.Binding)
def _binding_problems(
    binding: declarations.Binding, declared: DeclaredSet
) -> Iterator[Found]:
    yield from _reference("group", binding.group, "serving_group", declared)
    yield from _reference("rank", binding.rank, "rank_class", declared)
    for label, value in binding.account_selector.items():
        if label == ACCOUNT_LABEL:
            yield from _reference(
                f"account_selector.{label}", value, "client_account", declared
            )
        elif (label, value) not in declared.account_labels:
            expected = "a label that at least one client_account carries"
            yield f"account_selector.{label}", value, expected
    service = binding.request_selector.get(declarations.SERVICE_LABEL)
    if service is not None:
        key = f"request_selector.{declarations.SERVICE_LABEL}"
        yield from _reference(key, service, "plain_service", declared)


@_value_problems.register(declarations.PlainService)
def _service_problems(service: declarations.PlainService) -> Iterator[Found]:
    yield from _common_problems(service)
    seen: set[tuple[str, str]] = set()
    for index, route in enumerate(service.routes):
        if route.method not in ROUTE_METHODS:
            expected = f"one of {', '.join(ROUTE_METHODS)}"
            yield f"routes[{index}].method", route.method, expected
        if not route.path_prefix.startswith("/"):
            yield f"routes[{index}].path_prefix", route.path_prefix, "a leading '/'"
        if (route.method, route.path_prefix) in seen:
            found = f"{route.method} {route.path_prefix}"
            yield f"routes[{index}]", found, "one route for a method and prefix"
        seen.add((route.method, route.path_prefix))


@_value_problems.register(declarations.HttpRoute)
def _route_problems(route: declarations.HttpRoute) -> Iterator[Found]:
    yield from _common_problems(route)
    prefix = route.path_prefix
    if not (prefix.startswith("/") and prefix.endswith("/")):
        yield "path_prefix", prefix, "a slash at both ends"
    if not route.shares:
        yield "shares", [], "at least one serving group"


@_reference_problems.register(declarations.HttpRoute)
def _route_reference_problems(
    route: declarations.HttpRoute, declared: DeclaredSet
) -> Iterator[Found]:
    for index, share in enumerate(route.shares):
        key = f"shares[{index}].group"
        yield from _reference(key, share.group, "serving_group", declared)


@_reference_problems.register(declarations.EngineOrder)
def _order_problems(
    order: declarations.EngineOrder, declared: DeclaredSet
) -> Iterator[Found]:
    yield from _reference("group", order.group, "serving_group", declared)


def _reference(
    key: str, name: str, kind: str, declared: DeclaredSet
) -> Iterator[Found]:
    if name not in declared.names(kind):
        yield key, name, f"the name of a declared {kind}"


def _floor_problems(declared: DeclaredSet) -> Iterator[Problem]:
    ranks = declared.names("rank_class")
    total = sum(rank.floor for rank in ranks.values())
    if total > 1 + FLOOR_TOLERANCE:
        last = max(ranks)
        expected = f"floors of all ranks that add up to at most 1, not {total:g}"
        yield Problem("rank_class", last, "floor", ranks[last].floor, expected)


def _token_problems(declared: DeclaredSet) -> Iterator[Problem]:
    owners: dict[str, str] = {}
    for account in declared.names("client_account").values():
        for token in account.token_sha256s:
            owner = owners.setdefault(token, account.name)
            if owner != account.name or account.token_sha256s.count(token) > 1:
                expected = f"a token that is used once; {owner!r} has it too"
                yield Problem(
                    "client_account", account.name, "token_sha256s", token, expected
                )


Selector = dict[tuple[str, str], str]


def _combined_selector(binding: declarations.Binding) -> Selector:
    return {
        **{("account", key): value for key, value in binding.account_selector.items()},
        **{("request", key): value for key, value in binding.request_selector.items()},
    }


def _overlap_problems(declared: DeclaredSet) -> Iterator[Problem]:
    """Find bindings of one precedence that may select the same request.

    Two selectors overlap if they agree on the labels that both name. Bindings are
    grouped by the labels that they name, so that agreement is a dictionary lookup.
    """
    groups: dict[int, dict[frozenset[Any], list[tuple[str, Selector]]]] = {}
    for binding in declared.names("binding").values():
        selector = _combined_selector(binding)
        by_labels = groups.setdefault(binding.precedence, {})
        by_labels.setdefault(frozenset(selector), []).append((binding.name, selector))
    for precedence, by_labels in groups.items():
        pairs = [(labels, labels) for labels in by_labels]
        pairs += combinations(by_labels, 2)
        for first, second in pairs:
            common = sorted(first & second)
            names = {
                tuple(selector[label] for label in common): name
                for name, selector in by_labels[first]
            }
            for name, selector in by_labels[second]:
                other = names.get(tuple(selector[label] for label in common), name)
                if other != name:
                    expected = f"selectors apart from {other!r}, or another precedence"
                    yield Problem("binding", name, "precedence", precedence, expected)


def _default_binding_problems(declared: DeclaredSet) -> Iterator[Problem]:
    """Find bindings that select everything and so hide those below them."""
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
