"""Figures of a finished run."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence

from experiments._rows import World


def quantile(values: Iterable[float], share: float) -> float:
    """Return a quantile; not a number if there are no values."""
    ordered = sorted(values)
    if not ordered:
        return float("nan")
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def quantile_of_counts(counts: Counter[float], share: float) -> float:
    """Return a quantile of values with counts."""
    total = sum(counts.values())
    passed = 0
    for value in sorted(counts):
        passed += counts[value]
        if passed >= share * total:
            return value
    return float("nan")


def first_token_seconds(
    world: World, rank: str, start: float, end: float
) -> list[float]:
    """Return times to first token of calls that arrived in an interval.

    A call that was accepted and has no token yet counts with the time it has waited,
    so that a policy does not look better for calls that it never served.
    """
    now = world.clock["now"]
    return [
        (outcome.first_token_at or now) - outcome.arrival.at
        for outcome in world.outcomes_by_request_id.values()
        if outcome.arrival.rank == rank
        and start <= outcome.arrival.at < end
        and not outcome.refused_code
    ]


def refused_share(world: World, rank: str, start: float, end: float) -> float:
    """Return the share of calls that were refused or expired."""
    found = [
        bool(outcome.refused_code)
        for outcome in world.outcomes_by_request_id.values()
        if outcome.arrival.rank == rank and start <= outcome.arrival.at < end
    ]
    return sum(found) / len(found) if found else 0.0


def tokens(
    world: World, start: float, end: float, account: str = "", rank: str = ""
) -> int:
    """Return the prompt and output tokens served in an interval."""
    return sum(
        amount
        for (second, name, served_rank), amount in world.tokens_by_second.items()
        if start <= second < end and account in ("", name) and rank in ("", served_rank)
    )


def jain_index(values: Sequence[float]) -> float:
    """Return Jain's index: 1 for equal values, 1/n if one has all."""
    squares = sum(value * value for value in values)
    return sum(values) ** 2 / (len(values) * squares) if squares else float("nan")
