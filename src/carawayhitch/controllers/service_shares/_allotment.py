"""Capacity of a plain service and the part of it that each account gets.

Functions of numbers alone. Load pattern: a few accounts send far more calls than the
servers can answer, over entries that each see a small part of them.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple

# With a smaller part of the slots in use, the ends of calls show the demand instead of
# the capacity.
BUSY_SHARE = 0.5
# A server that answers less than this part of the mean has stopped answering.
ANSWERING_SHARE = 0.1
# Calls at the servers, as a multiple of their slots, above which fewer are sent than
# end. Entries choose servers independently, so that with fewer calls some servers would
# be idle while others have a queue. At this number a call waits for one answer time.
RUNNING_TARGET = 2.0
# Some calls of each account are always accepted, so that answers show it when servers
# that had stopped answering are back.
MINIMUM_SHARE = 0.05


class ServerState(NamedTuple):
    """Calls of all entries at a server.

    Parameters
    ----------
    running : float
        Calls at the server, those in its own queue included.
    answers_per_second : float
        Calls that end there per second.
    """

    slots: int
    running: float
    answers_per_second: float


class RankDemand(NamedTuple):
    """New calls of a rank.

    Parameters
    ----------
    priority : int
        Ranks with lower values are served first.
    floor : float
        Part of the capacity that the rank gets in any case while it has calls.
    rates_by_account : dict of str to float
        Calls per second.
    """

    rank: str
    priority: int
    floor: float
    rates_by_account: Mapping[str, float]


def service_capacity(servers: Sequence[ServerState]) -> float | None:
    """Return the calls per second that servers can answer; None if they are not busy.

    Servers that stopped answering count with nothing, however many calls they hold.
    """
    mean_answers = _answers_per_slot(servers)
    answering = [
        row
        for row in servers
        if row.answers_per_second >= ANSWERING_SHARE * mean_answers * row.slots
    ]
    slots = sum(row.slots for row in answering)
    running = sum(row.running for row in answering)
    if running < BUSY_SHARE * slots or not slots:
        return None
    answers = sum(row.answers_per_second for row in answering)
    capacity = answers * slots / min(running, slots)
    return capacity * min(1.0, RUNNING_TARGET * slots / running)


def _answers_per_slot(servers: Sequence[ServerState]) -> float:
    slots = sum(row.slots for row in servers)
    return sum(row.answers_per_second for row in servers) / slots if slots else 0.0


def accepted_shares(
    ranks: Sequence[RankDemand],
    weights_by_account: Mapping[str, float],
    capacity: float,
) -> dict[tuple[str, str], float]:
    """Return the accepted share of new calls by rank and account, where it is below 1.

    Ranks get capacity by priority, after the floors of all of them. Within a rank each
    account gets its demand, but no more than a level that is the same for all accounts
    in proportion to their quota weights.

    Parameters
    ----------
    weights_by_account : dict of str to float
        Quota weights; 1 for accounts that are not named.
    capacity : float
        Calls per second.
    """
    capacities = _capacities_by_rank(ranks, capacity)
    shares: dict[tuple[str, str], float] = {}
    for demand in ranks:
        level = _fair_level(
            demand.rates_by_account, weights_by_account, capacities[demand.rank]
        )
        for account, rate in demand.rates_by_account.items():
            allotted = level * weights_by_account.get(account, 1.0)
            if rate > allotted:
                shares[demand.rank, account] = max(MINIMUM_SHARE, allotted / rate)
    return shares


def _capacities_by_rank(
    ranks: Sequence[RankDemand], capacity: float
) -> dict[str, float]:
    demands = {row.rank: sum(row.rates_by_account.values()) for row in ranks}
    capacities = {
        row.rank: min(demands[row.rank], row.floor * capacity) for row in ranks
    }
    left = max(0.0, capacity - sum(capacities.values()))
    for row in sorted(ranks, key=lambda row: row.priority):
        more = min(left, demands[row.rank] - capacities[row.rank])
        capacities[row.rank] += more
        left -= more
    return capacities


def _fair_level(
    rates_by_account: Mapping[str, float],
    weights_by_account: Mapping[str, float],
    capacity: float,
) -> float:
    """Return the calls per second and weight up to which each account is served."""

    def weight(account: str) -> float:
        return weights_by_account.get(account, 1.0)

    left = capacity
    weight_left = sum(weight(account) for account in rates_by_account)
    by_need = sorted(
        rates_by_account,
        key=lambda account: rates_by_account[account] / weight(account),
    )
    for account in by_need:
        if rates_by_account[account] * weight_left > left * weight(account):
            return left / weight_left
        left -= rates_by_account[account]
        weight_left -= weight(account)
    return float("inf")
