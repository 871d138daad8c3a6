"""Front end for calls on declared HTTP routes, as the users' platform sends them."""

from __future__ import annotations

import time
from typing import Any
from uuid import uuid4

from sanic import Request, Sanic
from sanic.compat import Header
from sanic.response import HTTPResponse, empty

from carawayhitch import platform
from carawayhitch.backends import CallContent
from carawayhitch.core import actions, errors, events, result_codes
from carawayhitch.frontend._caller import SanicCaller
from carawayhitch.frontend._receiving import check_head, receive_body
from carawayhitch.frontend._refusals import record_handler_error
from carawayhitch.frontend._sanic import (
    close_connection_after_response,
    new_sanic_application,
)
from carawayhitch.node import Node, OpenCall

METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
UNUSED_LIMIT_SECONDS = 86400
# The limits that operators declare hold for each call. The library reads at most this
# much of a request's head, whatever they declare.
HEADER_BYTES_LIMIT = 16_384


class GatewayCaller(SanicCaller):
    """Writes the outcome of a call on a route to its HTTP response.

    A stream that breaks off ends without its last chunk, because bytes of our own
    would not be the upstream's.
    """

    def refuse(self, action: actions.RefuseCall) -> None:
        """Send an error, or break off a started stream."""
        if self._begun.done():
            self._end(complete=False)
            return
        self._begin(action)

    async def respond(self) -> HTTPResponse | None:
        """Send the outcome; return a response if it is not a stream."""
        action = await self._begun
        if isinstance(action, actions.StartStream):
            await self.respond_stream(action)
            return None
        if isinstance(action, actions.SendAnswer):
            return RelayedResponse(
                action.body, action.status, headers=Header(action.headers)
            )
        return refusal_response(action)

    async def open_stream(self, action: actions.StartStream) -> Any:
        """Send status and headers of a stream; return its response."""
        return await self.request.respond(
            RelayedResponse(None, 200, headers=Header(action.headers))
        )


# On routes, some statuses promise that the call did not run and never will, and any
# other 4xx says that the call itself is wrong. A resent call that is suspected of
# crashes may be innocent and was not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
UNKNOWN_STATUS = 502
STATUSES_BY_CODE = {result_codes.SUSPECT_REFUSED: 503}


class RelayedResponse(HTTPResponse):
    """An upstream's answer; the library adds no content type of its own."""

    @property
    def processed_headers(self) -> Any:
        """Return the headers as bytes."""
        return (
            (name.encode("latin-1"), str(value).encode("utf-8", "surrogateescape"))
            for name, value in self.headers.items()
            if value != ""
        )


def refusal_response(action: actions.RefuseCall) -> HTTPResponse:
    """Return the answer of a refused call; ``Retry-After`` may have a fraction."""
    headers = {}
    if action.retry_after and action.code.ran == "no":
        headers["Retry-After"] = f"{action.retry_after:.3f}"
    status = STATUSES_BY_CODE.get(action.code, action.code.http_status)
    if action.code.ran != "no" and status in NOT_RUN_STATUSES:
        status = UNKNOWN_STATUS
    return HTTPResponse(
        f"{action.code.name}\n",
        status or UNKNOWN_STATUS,
        headers=headers,
        content_type="text/plain",
    )


def new_gateway_application(node: Node) -> Sanic:
    """Return the HTTP application for calls on routes."""
    application = new_sanic_application(node)
    config = application.config
    # Calls end by the deadlines of routes and callers.
    config.RESPONSE_TIMEOUT = UNUSED_LIMIT_SECONDS
    config.REQUEST_MAX_HEADER_SIZE = HEADER_BYTES_LIMIT
    config.REQUEST_MAX_SIZE = node.settings.limits.body_bytes
    config.GRACEFUL_SHUTDOWN_TIMEOUT = node.settings.drain.limit_seconds
    config.KEEP_ALIVE = True
    apply_caller_limits(application, node)
    for path in ("/", "/<path:path>"):
        application.add_route(
            _call_handler(node),
            path,
            methods=METHODS,
            name=f"route{len(path)}",
            stream=True,
            unquote=False,
        )
    application.exception(Exception)(_error_handler(node))
    return application


def apply_caller_limits(application: Sanic, node: Node) -> None:
    """Set the times of connections to what operators declare now."""
    configuration = node.board.configuration
    if configuration is None:
        return
    limits = configuration.caller_limits
    application.config.KEEP_ALIVE_TIMEOUT = limits.idle_seconds
    application.config.REQUEST_TIMEOUT = limits.header_seconds


def _error_handler(node: Node) -> Any:
    async def handle_error(request: Request, error: Exception) -> HTTPResponse:
        refused = record_handler_error(node, request, error)
        if refused.code in (
            result_codes.MALFORMED_REQUEST,
            result_codes.HEADERS_TOO_LARGE,
        ):
            close_connection_after_response(request)
        return refusal_response(refused)

    return handle_error


def _call_handler(node: Node) -> Any:
    async def handle_call(request: Request, path: str = "") -> HTTPResponse | None:
        check_head(request)
        apply_caller_limits(request.app, node)
        _check_header_size(node, request)
        await receive_body(node, request, _body_limit(node))
        return await _serve(node, request)

    return handle_call


def _check_header_size(node: Node, request: Request) -> None:
    """Refuse more bytes of headers than operators declare."""
    configuration = node.board.configuration
    if configuration is None:
        return
    limit_bytes = configuration.caller_limits.header_bytes
    _, _, headers = request.head.partition(b"\r\n")
    if len(headers) > limit_bytes:
        raise errors.CallRefusedError(
            result_codes.HEADERS_TOO_LARGE,
            f"headers take {len(headers)} bytes, the limit is {limit_bytes}",
        )


def _body_limit(node: Node) -> int:
    configuration = node.board.configuration
    own = node.settings.limits.body_bytes
    return min(own, configuration.caller_limits.body_bytes) if configuration else own


def _split_target(request: Request) -> tuple[str, str]:
    """Return path and query as the caller sent them."""
    target = request.raw_url.decode("ascii", "surrogateescape")
    path, _, query = target.partition("?")
    if not path.startswith("/"):
        raise errors.MalformedMessageError(
            result_codes.MALFORMED_REQUEST, f"request target is {path[:80]!r}"
        )
    return path, query


async def _serve(node: Node, request: Request) -> HTTPResponse | None:
    path, query = _split_target(request)
    headers = tuple(request.headers.items())
    head = platform.CallHead(request.method, path, headers)
    event = platform.decode_call(head, request.body, uuid4().hex[:16])
    if event.request_id in node.calls_by_request_id:
        # Another attempt with the same id is open here; each is a call of its own.
        event = event._replace(request_id=f"{event.request_id}.{uuid4().hex[:8]}")
    request_id = event.request_id
    content = CallContent(
        method=request.method,
        path=path,
        query=query,
        content_type="",
        body=request.body,
        headers=headers,
    )
    caller = GatewayCaller(request, lambda: node.settings, time.time)
    node.calls_by_request_id[request_id] = OpenCall(content, caller)
    _close_when_draining(node, request)
    try:
        node.submit(event)
        return await caller.respond()
    finally:
        node.submit(events.CallerGone(request_id))
        _close_when_draining(node, request)
        node.calls_by_request_id.pop(request_id, None)


def _close_when_draining(node: Node, request: Request) -> None:
    """Have the caller open its next connection at another entry."""
    if node.board.lifecycle.state in ("draining", "refusing"):
        close_connection_after_response(request)


def new_readiness_application(node: Node) -> Sanic:
    """Return the application that the balancer asks."""
    application = new_sanic_application(node)

    async def handle_readiness(request: Request) -> HTTPResponse:
        return empty(200 if node.board.lifecycle.state == "ready" else 503)

    application.add_route(handle_readiness, platform.READINESS_PATH, name="readiness")
    return application
