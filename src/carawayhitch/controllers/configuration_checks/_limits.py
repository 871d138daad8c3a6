"""Limits of a configuration that contradict each other."""

from __future__ import annotations

from collections.abc import Iterator
from functools import singledispatch
from typing import Any

from carawayhitch.controllers import zones
from carawayhitch.controllers.configuration_checks._sets import (
    CheckedSet,
    Finding,
    finding,
)
from carawayhitch.core import declarations

DEFAULT_RANK_QUEUE_LIMIT = declarations.RankClass._field_defaults["queue_limit"]
DEFAULT_ACCOUNT_QUEUE_LIMIT = declarations.ClientAccount._field_defaults["queue_limit"]


@singledispatch
def find_contradictions(declaration: Any, checked: CheckedSet) -> Iterator[Finding]:
    """Return the findings of limits that contradict; none for most kinds."""
    return iter(())


@find_contradictions.register
def _find_route_contradictions(
    route: declarations.HttpRoute, checked: CheckedSet
) -> Iterator[Finding]:
    timeout, goal = route.timeout_seconds, route.goal_seconds
    if timeout < goal:
        expected = f"at least goal_seconds, which is {goal!r}"
        yield finding("timeout-under-goal", route, "timeout_seconds", timeout, expected)
    if 0 < route.patience_seconds < goal:
        expected = f"0 or at least goal_seconds, which is {goal!r}"
        yield finding(
            "patience-under-goal",
            route,
            "patience_seconds",
            route.patience_seconds,
            expected,
        )
    yield from _find_unusable_attempts(route, checked)
    yield from _find_unknown_regions(route, checked)
    accounts = checked.names("client_account").values()
    if (
        not route.public
        and accounts
        and all(zones.common_regions(route, account) is None for account in accounts)
    ):
        expected = "a region that at least one client_account allows"
        yield finding(
            "no-common-region",
            route,
            "allowed_regions",
            route.allowed_regions,
            expected,
        )


def _find_unusable_attempts(
    route: declarations.HttpRoute, checked: CheckedSet
) -> Iterator[Finding]:
    limit = route.attempt_limit
    if limit > 1 and route.work != "repeatable" and not route.resumable:
        expected = f"1, because calls of work {route.work!r} run at most once"
        yield finding(
            "attempts-without-budget", route, "attempt_limit", limit, expected
        )
    settings = checked.known.settings
    if settings is not None and limit > settings.streams.attempt_limit:
        expected = (
            f"at most {settings.streams.attempt_limit}, the setting "
            "streams.attempt_limit"
        )
        yield finding(
            "attempts-without-budget", route, "attempt_limit", limit, expected
        )


def _find_unknown_regions(declaration: Any, checked: CheckedSet) -> Iterator[Finding]:
    settings = checked.known.settings
    if settings is None or not settings.gateway.regions_by_zone:
        return
    regions = sorted(set(settings.gateway.regions_by_zone.values()))
    for index, region in enumerate(declaration.allowed_regions):
        if region not in regions:
            yield finding(
                "region-without-servers",
                declaration,
                f"allowed_regions[{index}]",
                region,
                f"one of {', '.join(regions)}",
            )


@find_contradictions.register
def _find_group_contradictions(
    group: declarations.ServingGroup, checked: CheckedSet
) -> Iterator[Finding]:
    warm_up, rate = group.warm_up_seconds, group.cold_requests_per_second
    if warm_up > 0 and rate == 0:
        expected = "above 0 where warm_up_seconds is set"
        yield finding(
            "warm-up-without-rate", group, "cold_requests_per_second", rate, expected
        )
    if rate > 0 and warm_up == 0:
        expected = "above 0 where cold_requests_per_second is set"
        yield finding(
            "rate-without-warm-up", group, "warm_up_seconds", warm_up, expected
        )


@find_contradictions.register
def _find_rank_contradictions(
    rank: declarations.RankClass, checked: CheckedSet
) -> Iterator[Finding]:
    target = rank.first_token_target_seconds
    if rank.maximum_wait_seconds < target:
        expected = f"at least first_token_target_seconds, which is {target!r}"
        yield finding(
            "wait-under-target",
            rank,
            "maximum_wait_seconds",
            rank.maximum_wait_seconds,
            expected,
        )


@find_contradictions.register
def _find_account_contradictions(
    account: declarations.ClientAccount, checked: CheckedSet
) -> Iterator[Finding]:
    yield from _find_unknown_regions(account, checked)
    ranks = checked.names("rank_class")
    limits = [
        ranks[binding.rank].queue_limit
        for binding in checked.names("binding").values()
        if binding.rank in ranks
        and account.name in checked.accounts_by_binding[binding.name]
    ]
    if checked.names("http_route"):
        # The ranks of calls on HTTP routes have the default limit.
        limits.append(DEFAULT_RANK_QUEUE_LIMIT)
    is_default = account.queue_limit == DEFAULT_ACCOUNT_QUEUE_LIMIT
    if limits and not is_default and account.queue_limit > max(limits):
        expected = f"at most {max(limits)}, the largest queue_limit of its ranks"
        yield finding(
            "quota-over-capacity", account, "queue_limit", account.queue_limit, expected
        )
    routes = checked.names("http_route").values()
    if routes and all(zones.common_regions(route, account) is None for route in routes):
        expected = "a region that at least one http_route allows"
        yield finding(
            "no-common-region",
            account,
            "allowed_regions",
            account.allowed_regions,
            expected,
        )
