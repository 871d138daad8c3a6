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


class ArrivingWorkRow(NamedTuple):
    """Work of a rank that arrives in a cell, smoothed exponentially.

    Parameters
    ----------
    engines : float
        Number of engines that the arriving work would keep busy.
    """

    engines: float
    updated_at: float


class EngineTimeRow(NamedTuple):
    """Smoothed time from the grant of a binding's request to the end of its answer."""

    mean_seconds: float
