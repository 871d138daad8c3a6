"""Rows of a scheduler whose cells get more work than they can serve."""

from __future__ import annotations

from typing import NamedTuple


class ReturnPlaceRow(NamedTuple):
    """Place of a refused ask, kept for the time at which its client comes back.

    Parameters
    ----------
    queued_at : float
        Arrival of the first ask (seconds of the node clock).
    goal_deadline : float
        Time by which the answer should have begun, counted from the first ask; 0 for no
        target.
    deadline : float
        Time at which the place is given up.
    """

    queued_at: float
    goal_deadline: float
    deadline: float


class ReturnsRow(NamedTuple):
    """Times of return that the next refused clients of a rank are told, by account.

    Parameters
    ----------
    weight : float
        Sum of the quota weights of the accounts.
    """

    next_times_by_account: dict[str, float]
    weight: float


class ArrivingWorkRow(NamedTuple):
    """Work of a rank that arrives in a cell, smoothed exponentially.

    Parameters
    ----------
    engines : float
        Number of engines that the arriving work would keep busy.
    """

    engines: float
    updated_at: float


class WaitingWorkRow(NamedTuple):
    """Work that waits in a cell, in seconds of one engine, by rank and account.

    Parameters
    ----------
    in_time : dict
        Work of the asks that could still meet their goal when they were counted.
    late : dict
        Work of the others.
    late_request_ids : set of str
        Requests counted as late.
    deadline : float
        Time at which the asks are counted anew, since some have become late.
    """

    in_time: dict[tuple[str, str], float]
    late: dict[tuple[str, str], float]
    late_request_ids: set[str]
    deadline: float


class EngineTimeRow(NamedTuple):
    """Smoothed time from the grant of a binding's request to the end of its answer."""

    mean_seconds: float
