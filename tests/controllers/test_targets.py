"""Matching of plain service calls with declared routes."""

from __future__ import annotations

import unittest

from carawayhitch.controllers._targets import find_route
from carawayhitch.core import declarations

ROUTES = (
    declarations.ServiceRoute("POST", "/search", True),
    declarations.ServiceRoute("POST", "/search/orders", False),
    declarations.ServiceRoute("GET", "/next-number", False),
)


class FindRouteTest(unittest.TestCase):
    def test_only_the_longest_matching_route_applies(self):
        """Guards against a non-idempotent call that matches an idempotent route."""
        cases = {
            ("POST", "/search"): True,
            ("POST", "/search/suppliers"): True,
            ("POST", "/search/orders/7"): False,
            ("GET", "/next-number"): False,
            ("POST", "/search-and-order"): None,
            ("PUT", "/search"): None,
            ("POST", "/search/../guides"): None,
            ("POST", "/search/%2e%2e/guides"): None,
            ("POST", "/search%2forders"): False,
            ("POST", "/search//orders"): None,
        }
        for (method, path), expected in cases.items():
            with self.subTest(method=method, path=path):
                route = find_route(ROUTES, method, path)
                self.assertEqual(route.idempotent if route else None, expected)
