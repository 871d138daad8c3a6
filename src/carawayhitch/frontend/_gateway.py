"""HTTP applications for the users' platform: calls on routes, readiness checks."""

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
from carawayhitch.frontend._receiving import (
    check_account,
    check_head,
    receive_body,
    take_body,
)
from carawayhitch.frontend._refusals import record_handler_error
from carawayhitch.frontend._sanic import (
    close_connection_after_response,
    new_sanic_application,
)
from carawayhitch.node import Node, OpenCall

METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
# Long enough that sanic's own response timeout never applies.
RESPONSE_TIMEOUT_SECONDS = 86400
# Upper bound on the head of a request that sanic reads. Each call is also checked
# against the limit that operators declare, which has no effect above this bound.
HEADER_BYTES_LIMIT = 16_384


class GatewayCaller(SanicCaller):
    """Writes the outcome of a call on a declared route to its HTTP response.

    An incomplete stream ends without its final chunk and without an error event,
    because the response body must contain only bytes from the upstream.
    """

    def refuse(self, action: actions.RefuseCall) -> None:
        """Send an error, or end a started stream without its final chunk."""
        if self._outcome.done():
            self._set_stream_completion(complete=False)
            return
        self._set_outcome(action)

    async def respond(self) -> HTTPResponse | None:
        """Send the outcome; return the response, or None if it was streamed."""
        action = await self._outcome
        if isinstance(action, actions.StartStream):
            await self.respond_stream(action)
            return None
        if isinstance(action, actions.SendAnswer):
            response = RelayedResponse(
                action.body, action.status, headers=Header(action.headers)
            )
            try:
                return await self.respond_complete(response)
            finally:
                self._protocol.release_answer()
        return refusal_response(action)

    async def open_stream(self, action: actions.StartStream) -> Any:
        """Send the status line and the headers of a stream; return its response."""
        return await self.request.respond(
            RelayedResponse(None, 200, headers=Header(action.headers))
        )


# Callers of routes rely on these statuses: the call did not run and will not run, so
# that it is safe to send it again. Any other 4xx status means that the call is invalid.
NOT_RUN_STATUSES = (408, 421, 429, 503)
OUTCOME_UNKNOWN_STATUS = 502
# A call that is refused because it is suspected of crashing upstreams was not run and
# may be valid, so it must not get a 4xx status that marks it as invalid.
STATUSES_BY_RESULT_CODE = {result_codes.SUSPECT_REFUSED: 503}


class RelayedResponse(HTTPResponse):
    """An upstream's response; prevents sanic from adding a default content type."""

    @property
    def processed_headers(self) -> Any:
        """Header names and values as bytes, without empty values."""
        return (
            (name.encode("latin-1"), str(value).encode("utf-8", "surrogateescape"))
            for name, value in self.headers.items()
            if value != ""
        )


def refusal_response(action: actions.RefuseCall) -> HTTPResponse:
    """Return the response of a refused call.

    ``Retry-After`` has three decimals, although HTTP defines whole seconds.
    """
    headers = {}
    if action.retry_after and action.code.ran == "no":
        headers["Retry-After"] = f"{action.retry_after:.3f}"
    status = STATUSES_BY_RESULT_CODE.get(action.code, action.code.http_status)
    if action.code.ran != "no" and status in NOT_RUN_STATUSES:
        status = OUTCOME_UNKNOWN_STATUS
    return HTTPResponse(
        f"{action.code.name}\n",
        status or OUTCOME_UNKNOWN_STATUS,
        headers=headers,
        content_type="text/plain",
    )


def new_gateway_application(node: Node) -> Sanic:
    """Return the application for calls on declared routes."""
    application = new_sanic_application(node)
    config = application.config
    # The deadlines of routes and callers limit the time of a call.
    config.RESPONSE_TIMEOUT = RESPONSE_TIMEOUT_SECONDS
    config.REQUEST_MAX_HEADER_SIZE = HEADER_BYTES_LIMIT
    config.REQUEST_MAX_SIZE = node.settings.limits.body_bytes
    config.GRACEFUL_SHUTDOWN_TIMEOUT = node.settings.drain.limit_seconds
    config.KEEP_ALIVE = True
    application.ctx.caller_limits = None
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
    """Apply the declared header and idle timeouts to new connections."""
    configuration = node.board.configuration
    if configuration is None:
        return
    limits = configuration.caller_limits
    # The two assignments took 6% of the instructions of a refused call.
    if application.ctx.caller_limits is limits:
        return
    application.ctx.caller_limits = limits
    application.config.KEEP_ALIVE_TIMEOUT = limits.idle_seconds
    application.config.REQUEST_TIMEOUT = limits.header_seconds


def _error_handler(node: Node) -> Any:
    async def handle_error(request: Request, error: Exception) -> HTTPResponse:
        headers = tuple(request.headers.items())
        request_id = platform.valid_request_id(headers, "")
        refused = record_handler_error(node, request, error, request_id)
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
        await receive_body(node, request, _body_limit(node), _check_route)
        return await _serve_call(node, request)

    return handle_call


def _check_route(node: Node, request: Request) -> None:
    path, _ = _split_target(request)
    check_account(node, request, request.headers.get("host", ""), path)


def _check_header_size(node: Node, request: Request) -> None:
    """Refuse a request whose headers exceed the declared limit."""
    configuration = node.board.configuration
    if configuration is None:
        return
    limit_bytes = configuration.caller_limits.header_bytes
    _, _, headers = request.head.partition(b"\r\n")
    if len(headers) > limit_bytes:
        raise errors.CallRefusedError(
            result_codes.HEADERS_TOO_LARGE,
            f"headers have {len(headers)} bytes, the limit is {limit_bytes}",
        )


def _body_limit(node: Node) -> int:
    configuration = node.board.configuration
    entry_limit_bytes = node.settings.limits.body_bytes
    return (
        min(entry_limit_bytes, configuration.caller_limits.body_bytes)
        if configuration
        else entry_limit_bytes
    )


def _split_target(request: Request) -> tuple[str, str]:
    """Return the path and the query of the request target without decoding them."""
    target = request.raw_url.decode("ascii", "surrogateescape")
    path, _, query = target.partition("?")
    if not path.startswith("/"):
        raise errors.MalformedMessageError(
            result_codes.MALFORMED_REQUEST,
            f"request target does not start with a slash: {path[:80]!r}",
        )
    return path, query


async def _serve_call(node: Node, request: Request) -> HTTPResponse | None:
    path, query = _split_target(request)
    headers = tuple(request.headers.items())
    head = platform.CallHead(request.method, path, headers)
    event = platform.decode_call(head, request.body, uuid4().hex[:16])
    event = event._replace(body_bytes=len(request.body))
    if event.request_id in node.calls_by_request_id:
        # A call with the same id is open on this entry. Each attempt is a separate
        # call, so this one gets an id with a suffix.
        event = event._replace(request_id=f"{event.request_id}.{uuid4().hex[:8]}")
    request_id = event.request_id
    content = CallContent(
        method=request.method,
        path=path,
        query=query,
        content_type="",
        body=take_body(request),
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
        content.body.drop()


def _close_when_draining(node: Node, request: Request) -> None:
    """Close the connection so that the caller reconnects to another entry."""
    if node.board.lifecycle.state in ("draining", "refusing", "stopped"):
        close_connection_after_response(request)


def new_readiness_application(node: Node) -> Sanic:
    """Return the application that answers the readiness checks of load balancers."""
    application = new_sanic_application(node)

    async def handle_readiness(request: Request) -> HTTPResponse:
        return empty(200 if node.board.lifecycle.state == "ready" else 503)

    application.add_route(handle_readiness, platform.READINESS_PATH, name="readiness")
    application.exception(Exception)(_error_handler(node))
    return application
