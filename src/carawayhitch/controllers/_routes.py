"""HTTP routes: which declared route a call takes and which group serves it."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from carawayhitch.core import declarations


def routes_by_host(
    routes: Iterable[declarations.HttpRoute],
) -> dict[str, tuple[declarations.HttpRoute, ...]]:
    """Return the routes of each host, the longest path prefix first."""
    found: dict[str, list[declarations.HttpRoute]] = {}
    for route in routes:
        found.setdefault(route.host.lower(), []).append(route)
    return {
        host: tuple(sorted(items, key=lambda route: -len(route.path_prefix)))
        for host, items in found.items()
    }


def find_route(
    configuration: declarations.Configuration, host: str, path: str
) -> declarations.HttpRoute | None:
    """Return the route of a host with the longest prefix of a path, or None."""
    for route in configuration.routes_by_host.get(host.lower(), ()):
        if path.startswith(route.path_prefix):
            return route
    return None


def choose_group(route: declarations.HttpRoute, random: Random) -> str:
    """Return a serving group of a route, drawn by weight."""
    if len(route.shares) == 1:
        return route.shares[0].group
    weights = [share.weight for share in route.shares]
    if not any(weights):
        return random.choice(route.shares).group
    return random.choices(route.shares, weights)[0].group
