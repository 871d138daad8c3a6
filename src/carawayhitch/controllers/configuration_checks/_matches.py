"""Entries of a configuration that can never match a call or an upstream."""

from __future__ import annotations

import re
from collections.abc import Iterator
from functools import singledispatch
from typing import Any

from carawayhitch.controllers._selectors import selector_matches
from carawayhitch.controllers._targets import AMBIGUOUS_PATH_SEGMENTS
from carawayhitch.controllers.configuration_checks._sets import (
    CheckedSet,
    Finding,
    finding,
    place_of,
)
from carawayhitch.core import declarations

HOST_PATTERN = re.compile(r"[A-Za-z0-9._:\[\]-]*")
# The path of a request is compared as sent, in visible ASCII and without its query.
FORBIDDEN_PATH_CHARACTERS = re.compile(r"[?#]|[^!-~]")


@singledispatch
def find_unmatched(declaration: Any, checked: CheckedSet) -> Iterator[Finding]:
    """Return the findings of entries that never match; none for most kinds."""
    return iter(())


@find_unmatched.register
def _find_unmatched_route(
    route: declarations.HttpRoute, checked: CheckedSet
) -> Iterator[Finding]:
    if not HOST_PATTERN.fullmatch(route.host):
        expected = "a host name as clients send it, without scheme, path or wildcard"
        yield finding("host-never-matches", route, "host", route.host, expected)
    if FORBIDDEN_PATH_CHARACTERS.search(route.path_prefix):
        expected = "a percent-encoded path without query and fragment"
        yield finding(
            "path-never-matches", route, "path_prefix", route.path_prefix, expected
        )
    first = checked.first_routes_by_place[place_of(route)]
    if first != route.name:
        expected = (
            f"a host and path prefix of its own; {first!r} has the same, and only one "
            "of them gets calls"
        )
        yield finding("route-hidden", route, "path_prefix", route.path_prefix, expected)
    if any(share.weight > 0 for share in route.shares):
        for index, share in enumerate(route.shares):
            if share.weight == 0:
                expected = (
                    f"a weight above 0 for the group {share.group!r}, or no share"
                )
                yield finding(
                    "share-never-chosen", route, f"shares[{index}].weight", 0, expected
                )


@find_unmatched.register
def _find_unmatched_service_routes(
    service: declarations.PlainService, checked: CheckedSet
) -> Iterator[Finding]:
    prefixes = {(route.method, route.path_prefix) for route in service.routes}
    for index, route in enumerate(service.routes):
        key = f"routes[{index}].path_prefix"
        path = route.path_prefix
        segments = path.rstrip("/").split("/")[1:]
        if not AMBIGUOUS_PATH_SEGMENTS.isdisjoint(segments):
            expected = "a path without empty, '.' or '..' segments"
            yield finding("path-never-matches", service, key, path, expected)
        if (route.method, path + "/") in prefixes:
            expected = f"one route for {route.method} {path}; {path + '/'!r} hides it"
            yield finding("route-hidden", service, key, path, expected)


@find_unmatched.register
def _find_unmatched_group(
    group: declarations.ServingGroup, checked: CheckedSet
) -> Iterator[Finding]:
    labels_by_upstream_id = checked.known.labels_by_upstream_id
    if labels_by_upstream_id is None:
        return
    added = checked.names("upstream")
    for upstream_id, labels in labels_by_upstream_id.items():
        declared = added[upstream_id].labels if upstream_id in added else {}
        if selector_matches(group.selector, {**labels, **declared}):
            return
    expected = "labels that one upstream listed by the entry carries together"
    yield finding(
        "selector-selects-nothing", group, "selector", group.selector, expected
    )


@find_unmatched.register
def _find_unmatched_binding(
    binding: declarations.Binding, checked: CheckedSet
) -> Iterator[Finding]:
    accounts = checked.accounts_by_binding[binding.name]
    if not accounts:
        # Without any account, the selector is not what is wrong.
        if checked.names("client_account"):
            yield finding(
                "selector-selects-nothing",
                binding,
                "account_selector",
                binding.account_selector,
                "labels that one client_account carries together",
            )
        return
    hidden: set[str] = set()
    hiding: list[str] = []
    for other in checked.names("binding").values():
        if other.precedence > binding.precedence and selector_matches(
            other.request_selector, binding.request_selector
        ):
            common = checked.accounts_by_binding[other.name] & accounts
            if common - hidden:
                hiding.append(other.name)
            hidden |= common
    if hidden == accounts:
        expected = (
            f"a precedence above that of {', '.join(map(repr, sorted(hiding)))}, "
            "which select all its requests"
        )
        yield finding(
            "binding-hidden", binding, "precedence", binding.precedence, expected
        )
