"""Counts of an entry process for its metrics."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter, defaultdict
from typing import NamedTuple

from carawayhitch.board import Board

SECONDS_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 15.0, 60.0, 300.0)

# Values of the labels of a metric, in the order of its label names.
Labels = tuple[str, ...]


class Metrics(NamedTuple):
    """Counts since the start of the process, by label values.

    Attributes
    ----------
    stage_counts : dict
        Observations for each of `SECONDS_BUCKETS` and above the last one.
    stage_seconds : defaultdict
        Sum of the observations, in seconds.
    """

    outcomes: Counter[Labels]
    stage_counts: dict[Labels, list[int]]
    stage_seconds: defaultdict[Labels, float]
    exchange_bytes: Counter[Labels]
    peer_messages: Counter[Labels]
    peer_bytes: Counter[Labels]
    store_calls: Counter[Labels]
    zone_calls: Counter[Labels]
    zone_bytes: defaultdict[Labels, float]


def new_metrics() -> Metrics:
    """Return counts of zero.

    Nodes that run in the same process do not share counts.
    """
    return Metrics(
        outcomes=Counter(),
        stage_counts={},
        stage_seconds=defaultdict(float),
        exchange_bytes=Counter(),
        peer_messages=Counter(),
        peer_bytes=Counter(),
        store_calls=Counter(),
        zone_calls=Counter(),
        zone_bytes=defaultdict(float),
    )


def observe_stage(metrics: Metrics, labels: Labels, seconds: float) -> None:
    """Add the duration of a stage of a request."""
    counts = metrics.stage_counts.get(labels)
    if counts is None:
        counts = metrics.stage_counts[labels] = [0] * (len(SECONDS_BUCKETS) + 1)
    counts[bisect_left(SECONDS_BUCKETS, seconds)] += 1
    metrics.stage_seconds[labels] += seconds


def render_metrics(metrics: Metrics, board: Board, now: float) -> bytes:
    """Return the exposition text of the counts and of gauges from the board."""
    # Imported late, because an entry that nobody scrapes does not need the library.
    from carawayhitch.node._exposition import render_exposition

    return render_exposition(metrics, board, now)
