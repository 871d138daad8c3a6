"""Runtime of an entry process: event loop, actions, logs, metrics and replay."""

from __future__ import annotations

from carawayhitch.node._logs import configure_logs
from carawayhitch.node._metrics import render_metrics
from carawayhitch.node._node import CallerConnection, Node, OpenCall
from carawayhitch.node._replay import Difference, ReplayResult, replay_trace
from carawayhitch.node._start_costs import StartCosts, read_start_costs
from carawayhitch.node._status import describe_status

__all__ = [
    "CallerConnection",
    "Difference",
    "Node",
    "OpenCall",
    "ReplayResult",
    "StartCosts",
    "configure_logs",
    "describe_status",
    "read_start_costs",
    "render_metrics",
    "replay_trace",
]
