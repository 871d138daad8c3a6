"""The runtime of one process."""

from __future__ import annotations

from carawayhitch.node._metrics import render_metrics
from carawayhitch.node._node import CallerConnection, Node, OpenCall

__all__ = ["CallerConnection", "Node", "OpenCall", "render_metrics"]
