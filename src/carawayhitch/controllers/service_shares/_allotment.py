"""Capacity of a plain service and the part of it that each account gets.

Functions of numbers alone. Load pattern: a few accounts send far more calls than the
servers can answer, over entries that each see a small part of them.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from math import sqrt
from typing import NamedTuple

# A server that answers less than this part of the mean has stopped answering.
ANSWERING_SHARE = 0.1
# Calls at the servers, as a multiple of their slots, above which fewer are sent than
# end. Entries choose servers independently, so that with fewer calls some servers would
# be idle while others have a queue. At this number a call waits for one answer time.
RUNNING_TARGET = 2.0
# Largest multiple of the answers that is accepted while fewer calls are there. With 1,
# servers that became faster or that limits have emptied would stay partly idle.
LARGEST_GROWTH = 1.15
# Part of the answers that is accepted while the queues are longest. With less, servers
# would run empty before the reports show it.
SMALLEST_GROWTH = 0.7
# Bounds on the change of the capacity from one derivation to the next, by which it at
# most doubles or halves within a second.
LARGEST_RISE = 1.2
LARGEST_FALL = 0.85
# Some calls of each account are always accepted, also of a rank that gets no capacity.
MINIMUM_SHARE = 0.02


class ServerState(NamedTuple):
    """Calls of all entries at a server.

    Parameters
    ----------
    running : float
        Calls at the server, those in its own queue included.
    answers_per_second : float
        Calls that end there per second and were answered.
    busy_seconds : float
        Time that all calls which end within a second have been there, in seconds. This
        is the mean number of calls at the server.
    """

    slots: int
    running: float
    answers_per_second: float
    busy_seconds: float


class PriorityDemand(NamedTuple):
    """New calls of the ranks of one priority.

    Parameters
    ----------
    priority : int
        Lower values are served first.
    floor : float
        Part of the capacity that they get in any case while there are calls.
    rates_by_account : dict of str to float
        Calls per second.
    """

    priority: int
    floor: float
    rates_by_account: Mapping[str, float]


def service_capacity(servers: Sequence[ServerState]) -> float | None:
    """Return the calls per second that servers can answer; None if none answers.

    Free slots count with the answers of the used ones. Servers that stopped answering
    count with nothing, however many calls they hold.
    """
    mean_answers = sum(row.answers_per_second for row in servers) / max(1, len(servers))
    answering = [
        row
        for row in servers
        if row.answers_per_second > ANSWERING_SHARE * mean_answers
    ]
    slots = sum(row.slots for row in answering)
    used_slots = min(slots, sum(row.busy_seconds for row in answering))
    if used_slots <= 0:
        return None
    capacity = sum(row.answers_per_second for row in answering) * slots / used_slots
    running = sum(row.running for row in answering)
    ratio = RUNNING_TARGET * slots / max(1.0, running)
    if ratio < 1.0:
        return capacity * max(SMALLEST_GROWTH, ratio)
    return capacity * min(LARGEST_GROWTH, sqrt(ratio))


def next_capacity(estimate: float | None, previous: float) -> float | None:
    """Return the capacity to use after the previous one, both in calls per second.

    Reports tell of the past second. Without bounds on the change, limits that follow
    them swing between full queues and idle servers.

    Parameters
    ----------
    estimate : float or None
        Capacity by the last reports; None if no server answers.
    previous : float
        Capacity at the last derivation; 0 if it is not known or too old. It holds while
        no server answers.
    """
    if not previous:
        return estimate
    if estimate is None:
        return previous
    return min(max(estimate, previous * LARGEST_FALL), previous * LARGEST_RISE)


def accepted_shares(
    demands: Sequence[PriorityDemand],
    weights_by_account: Mapping[str, float],
    capacity: float,
) -> dict[tuple[int, str], float]:
    """Return the accepted share of new calls, where it is below 1.

    The priorities get capacity in their order, after the floors of all of them. Within
    a priority each account gets its demand, but no more than a level that is the same
    for all accounts in proportion to their quota weights.

    Parameters
    ----------
    weights_by_account : dict of str to float
        Quota weights; 1 for accounts that are not named.
    capacity : float
        Calls per second.

    Returns
    -------
    dict of (int, str) to float
        Shares by priority and account.
    """
    capacities = _capacities_by_priority(demands, capacity)
    shares: dict[tuple[int, str], float] = {}
    for row in demands:
        level = _fair_level(
            row.rates_by_account, weights_by_account, capacities[row.priority]
        )
        for account, rate in row.rates_by_account.items():
            allotted = level * weights_by_account.get(account, 1.0)
            if rate > allotted:
                share = max(MINIMUM_SHARE, allotted / rate)
                shares[row.priority, account] = share
    return shares


def _capacities_by_priority(
    demands: Sequence[PriorityDemand], capacity: float
) -> dict[int, float]:
    totals = {row.priority: sum(row.rates_by_account.values()) for row in demands}
    capacities = {
        row.priority: min(totals[row.priority], row.floor * capacity) for row in demands
    }
    left = max(0.0, capacity - sum(capacities.values()))
    for priority in sorted(totals):
        more = min(left, totals[priority] - capacities[priority])
        capacities[priority] += more
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
