"""Statistics of a finished run."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence

from experiments._rows import Simulation


def quantile(values: Iterable[float], share: float) -> float:
    """Return a quantile of values, or NaN if there are none."""
    ordered = sorted(values)
    if not ordered:
        return float("nan")
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def quantile_of_counts(counts: Counter[float], share: float) -> float:
    """Return a quantile of values that occur with the given counts."""
    total = sum(counts.values())
    cumulative_count = 0
    for value in sorted(counts):
        cumulative_count += counts[value]
        if cumulative_count >= share * total:
            return value
    return float("nan")


def first_token_seconds(
    simulation: Simulation, rank: str, start: float, end: float
) -> list[float]:
    """Return the times to first token of calls that arrived in an interval.

    An accepted call without a token counts with its waiting time so far. Otherwise a
    policy would look better for calls that it never serves.
    """
    now = simulation.clock["now"]
    return [
        (outcome.first_token_at or now) - outcome.arrival.at
        for outcome in simulation.outcomes_by_request_id.values()
        if outcome.arrival.rank == rank
        and start <= outcome.arrival.at < end
        and not outcome.refused_code
    ]


def refused_share(simulation: Simulation, rank: str, start: float, end: float) -> float:
    """Return the share of calls of an interval that were refused or expired."""
    refusals = [
        bool(outcome.refused_code)
        for outcome in simulation.outcomes_by_request_id.values()
        if outcome.arrival.rank == rank and start <= outcome.arrival.at < end
    ]
    return sum(refusals) / len(refusals) if refusals else 0.0


def tokens(
    simulation: Simulation, start: float, end: float, account: str = "", rank: str = ""
) -> int:
    """Return the prompt and output tokens served in an interval."""
    return sum(
        served
        for (second, name, served_rank), served in simulation.tokens_by_second.items()
        if start <= second < end and account in ("", name) and rank in ("", served_rank)
    )


def jain_index(values: Sequence[float]) -> float:
    """Return Jain's fairness index: 1 for equal values, 1/n if one has it all."""
    squares = sum(value * value for value in values)
    return sum(values) ** 2 / (len(values) * squares) if squares else float("nan")
