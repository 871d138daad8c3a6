"""Functions shared by all HTTP applications of an entry."""

from __future__ import annotations

from typing import Any
from uuid import uuid4

from sanic import Request, Sanic

from carawayhitch.node import Node

# All errors are answered by handlers of our own or as JSON.
ERROR_FORMAT = "json"


class EntryApplication(Sanic):
    """A sanic application that starts without reading the source of its handlers.

    By default sanic parses the source of each handler to guess the format of its
    errors, and at the start rewrites its own request handling to leave out signals
    without handlers (``TOUCHUP``). No application of an entry uses signals, so they
    are left out here instead.
    """

    def add_route(self, *arguments: Any, **keywords: Any) -> Any:
        """Add a route with a stated error format."""
        keywords.setdefault("error_format", ERROR_FORMAT)
        return super().add_route(*arguments, **keywords)

    def signalize(self, allow_fail_builtin: bool = True) -> None:
        """Compile no signal router, because no signal has handlers."""

    async def dispatch(self, event: Any, **keywords: Any) -> Any:
        """Ignore a signal, because no signal has handlers."""


def new_sanic_application(node: Node) -> Sanic:
    """Return an application without routes.

    Its name is random, because sanic requires a unique name for each application.
    """
    application = EntryApplication(
        f"carawayhitch-{uuid4().hex}", configure_logging=False
    )
    # A rewritten class would also be shared by all applications of the process.
    application.config.TOUCHUP = False
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
