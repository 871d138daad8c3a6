"""The runtime of one process."""

from __future__ import annotations

from carawayhitch.node._metrics import render_metrics
from carawayhitch.node._node import CallerConnection, Node, OpenCall
from carawayhitch.node._replay import Difference, ReplayResult, replay_trace

__all__ = [
    "CallerConnection",
    "Difference",
    "Node",
    "OpenCall",
    "ReplayResult",
    "render_metrics",
    "replay_trace",
]
