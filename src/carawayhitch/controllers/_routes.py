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
    return {
        name: declarations.RankClass(
            name,
            priority=index,
            first_token_target_seconds=goal_seconds,
            maximum_wait_seconds=MAXIMUM_WAIT_SECONDS,
        )
        for index, (_, goal_seconds, name) in enumerate(_rank_keys(routes, accounts))
    }


def common_priorities(
    routes: Iterable[declarations.HttpRoute],
    accounts: Iterable[declarations.ClientAccount],
) -> dict[str, int]:
    """Return the first priority among the ranks of a route's priority, by rank name.

    It is on the same scale as the priorities of declared ranks.
    """
    firsts: dict[int, int] = {}
    return {
        name: firsts.setdefault(priority, index)
        for index, (priority, _, name) in enumerate(_rank_keys(routes, accounts))
    }


def _rank_keys(
    routes: Iterable[declarations.HttpRoute],
    accounts: Iterable[declarations.ClientAccount],
) -> list[tuple[int, float, str]]:
    """Return priority, goal and name of the ranks of routes in order of service."""
    account_priorities = {
        account.priority for account in accounts if account.priority is not None
    }
    return sorted(
        {
            (priority, route.goal_seconds, rank_name(priority, route))
            for route in routes
            for priority in (route.priority, *account_priorities)
        }
    )


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
