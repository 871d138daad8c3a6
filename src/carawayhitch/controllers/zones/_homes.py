"""Regions in which the calls of routes and of client accounts have to stay."""

from __future__ import annotations

from collections.abc import Sequence

from carawayhitch.core import declarations


def common_regions(
    route: declarations.HttpRoute, account: declarations.ClientAccount | None
) -> tuple[str, ...] | None:
    """Return the regions that a route and an account both allow.

    Returns
    -------
    tuple of str or None
        Empty if neither restricts its calls; None if no region is allowed by both.
    """
    of_account = account.allowed_regions if account is not None else ()
    if not route.allowed_regions or not of_account:
        return route.allowed_regions or of_account
    common = tuple(name for name in route.allowed_regions if name in of_account)
    return common or None


def is_allowed_region(allowed_regions: Sequence[str], region: str) -> bool:
    """Return whether a call may be sent to the upstreams of a region."""
    return not allowed_regions or region in allowed_regions
