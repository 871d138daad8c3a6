"""HTTP routes: selection of a call's declared route, serving group and rank."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from carawayhitch.core import declarations

# Upper bound only: calls of routes end at their own deadlines, which are earlier.
MAXIMUM_WAIT_SECONDS = 600.0


def routes_by_host(
    routes: Iterable[declarations.HttpRoute],
) -> dict[str, tuple[declarations.HttpRoute, ...]]:
    """Return the routes of each host, the longest path prefix first."""
    grouped: dict[str, list[declarations.HttpRoute]] = {}
    for route in routes:
        grouped.setdefault(route.host.lower(), []).append(route)
    return {
        host: tuple(sorted(items, key=lambda route: -len(route.path_prefix)))
        for host, items in grouped.items()
    }


def rank_name(priority: int, route: declarations.HttpRoute) -> str:
    """Return the rank name of a route's calls that have the given priority."""
    return f"priority-{priority}/goal-{route.goal_seconds:g}"


def route_ranks(
    routes: Iterable[declarations.HttpRoute],
    accounts: Iterable[declarations.ClientAccount],
) -> dict[str, declarations.RankClass]:
    """Return the ranks of calls on routes, by name.

    An account's priority overrides that of the route, so that long documents and short
    questions of one account have the same priority. Among them, calls with the shorter
    goal come first.
    """
    account_priorities = {
        account.priority for account in accounts if account.priority is not None
    }
    keys = {
        (priority, route.goal_seconds, rank_name(priority, route))
        for route in routes
        for priority in (route.priority, *account_priorities)
    }
    return {
        name: declarations.RankClass(
            name,
            priority=index,
            first_token_target_seconds=goal_seconds,
            maximum_wait_seconds=MAXIMUM_WAIT_SECONDS,
            route_priority=priority,
        )
        for index, (priority, goal_seconds, name) in enumerate(sorted(keys))
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
    """Return a serving group of a route, chosen at random by weight."""
    if len(route.shares) == 1:
        return route.shares[0].group
    weights = [share.weight for share in route.shares]
    if not any(weights):
        return random.choice(route.shares).group
    return random.choices(route.shares, weights)[0].group
