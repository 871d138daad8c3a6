"""Functions shared by all HTTP applications of an entry."""

from __future__ import annotations

from typing import Any
from uuid import uuid4

from sanic import Request, Sanic

from carawayhitch.node import Node


def new_sanic_application(node: Node) -> Sanic:
    """Return an application without routes.

    Its name is random, because sanic requires a unique name for each application.
    """
    application = Sanic(f"carawayhitch-{uuid4().hex}", configure_logging=False)
    application.ctx.node = node
    application.ctx.receiving_count = 0
    application.ctx.refused_read_at = 0.0
    application.config.ACCESS_LOG = False
    return application


def close_connection_after_response(request: Request) -> None:
    """Close the connection of a request once its response is sent."""
    # sanic annotates the stream as its base class, without the attributes of HTTP/1.1.
    stream: Any = request.stream
    if stream is not None:
        stream.keep_alive = False
