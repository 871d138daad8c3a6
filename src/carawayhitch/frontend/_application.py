"""HTTP applications for API callers, readiness checks and metrics."""

from __future__ import annotations

import re
import time
from typing import Any
from uuid import uuid4

from sanic import Request, Sanic
from sanic.response import HTTPResponse, json, raw

from carawayhitch import codecs
from carawayhitch.backends import FORWARD_PATH, CallContent
from carawayhitch.core import events, result_codes, rows
from carawayhitch.frontend._caller import SanicCaller
from carawayhitch.frontend._keys import (
    add_idempotency_key,
    issue_keys_handler,
    require_forward_proof,
)
from carawayhitch.frontend._operators import add_operator_routes
from carawayhitch.frontend._peers import add_peer_routes
from carawayhitch.frontend._receiving import (
    check_account,
    check_head,
    malformed_request_error,
    receive_body,
    refuse_before_receiving_body,
    take_body,
)
from carawayhitch.frontend._refusals import error_response, result_code_for_error
from carawayhitch.frontend._sanic import (
    close_connection_after_response,
    new_sanic_application,
)
from carawayhitch.node import Node, OpenCall, describe_status, render_metrics

GENERATION_PATHS = ("/v1/chat/completions", "/v1/completions")
LABELS_HEADER = "Carawayhitch-Labels"
KEY_HEADER = "Idempotency-Key"
WAIT_HEADER = "Carawayhitch-Wait-Seconds"
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
# ASCII digits only; sequence numbers of event streams have at most 15 digits.
SEQUENCE_NUMBER_PATTERN = re.compile(r"[0-9]{1,15}\Z", re.ASCII)
DOT_SEGMENT_PATTERN = re.compile(r"(?:\A|/)(?:\.|%2e){1,2}(?:/|\Z)", re.IGNORECASE)
SERVICE_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")


def new_application(node: Node) -> Sanic:
    """Return the application for API callers, operators and peer entries."""
    application = new_sanic_application(node)
    _set_sanic_limits(application, node)
    for path in GENERATION_PATHS:
        application.add_route(
            _generation_handler(node, path),
            path,
            methods=["POST"],
            name=path[4:],
            stream=True,
        )
    application.add_route(
        _service_handler(node),
        "/services/<service:str>/<path:path>",
        methods=SERVICE_METHODS,
        name="service",
        stream=True,
    )
    add_operator_routes(application, node)
    add_peer_routes(application, node)
    application.exception(Exception)(_error_handler(node))
    application.add_route(
        require_forward_proof(node, _service_handler(node, forwarded=True)),
        FORWARD_PATH + "/<service:str>/<path:path>",
        methods=SERVICE_METHODS,
        name="forwarded",
        stream=True,
    )
    application.add_route(
        issue_keys_handler(node, _serve_call),
        "/v1/idempotency-keys",
        methods=["POST"],
        name="keys",
        stream=True,
    )
    application.add_route(_resume_handler(node), "/v1/streams/resume", name="resume")
    application.add_route(_health_handler(node), "/healthz", name="healthz")
    application.add_route(_ready_handler(node), "/readyz", name="readyz")
    application.add_route(_metrics_handler(node), "/metrics", name="metrics")
    return application


def new_metrics_application(node: Node) -> Sanic:
    """Return the application for the metrics address: metrics and local status."""
    application = new_sanic_application(node)
    add_operator_routes(application, node)
    application.add_route(_health_handler(node), "/healthz", name="healthz")
    application.add_route(_metrics_handler(node), "/metrics", name="metrics")
    application.add_route(_status_handler(node), "/status", name="status")
    application.exception(Exception)(_error_handler(node))
    return application


def _set_sanic_limits(application: Sanic, node: Node) -> None:
    """Replace the sanic limits that would abort queued requests and long streams.

    A queued request may wait as long as the maximum wait of its rank, so sanic's 60 s
    response timeout must not apply. On shutdown, running streams get the whole drain
    limit instead of 15 s. The body limit follows from the memory of an entry instead
    of sanic's 100 MB. Request handlers are registered with ``stream=True`` so that
    they enforce a time limit while they receive the body.
    """
    settings = node.settings
    application.config.RESPONSE_TIMEOUT = 86400
    application.config.GRACEFUL_SHUTDOWN_TIMEOUT = settings.drain.limit_seconds
    application.config.REQUEST_TIMEOUT = settings.limits.receive_timeout_seconds
    application.config.REQUEST_MAX_SIZE = settings.limits.body_bytes
    application.config.FALLBACK_ERROR_FORMAT = "json"


def _error_handler(node: Node) -> Any:
    async def handle_error(request: Request, error: Exception) -> HTTPResponse:
        _close_when_draining(node, request)
        code = result_code_for_error(error, request)
        protocol: Any = request.protocol
        if code is result_codes.ENTRY_OVERLOADED and protocol is not None:
            protocol.defer_reading()
        if code is result_codes.MALFORMED_REQUEST:
            # The bytes that follow may belong to the request that could not be parsed,
            # so the connection must not be reused (request smuggling).
            close_connection_after_response(request)
        return error_response(node, request, error)

    return handle_error


def _close_when_draining(node: Node, request: Request) -> None:
    """Close the connection so that the caller reconnects to another entry."""
    if node.board.lifecycle.state != "ready":
        close_connection_after_response(request)


async def _serve_call(
    node: Node, request: Request, content: CallContent, make_event: Any
) -> HTTPResponse | None:
    request_id = uuid4().hex
    caller = SanicCaller(request, lambda: node.settings, time.time)
    node.calls_by_request_id[request_id] = OpenCall(content, caller)
    _close_when_draining(node, request)
    try:
        node.submit(make_event(request_id))
        return await caller.respond()
    finally:
        # Has no effect on a call that has ended, because its row no longer exists. A
        # stopped process does not cancel its generations, so that callers can resume
        # their streams through another entry.
        if not node.stopped.is_set():
            node.submit(events.CallerGone(request_id))
        _close_when_draining(node, request)
        node.calls_by_request_id.pop(request_id, None)
        content.body.drop()


def _call_content(request: Request, path: str) -> CallContent:
    return CallContent(
        method=request.method,
        path=path,
        query=request.query_string,
        content_type=request.headers.get("content-type", "application/octet-stream"),
        body=take_body(request),
        headers=tuple(request.headers.items()),
    )


def _call_event(
    request: Request,
    request_id: str,
    target: rows.GenerationTarget | rows.ServiceTarget,
    labels: dict[str, str],
    path: str,
) -> events.CallReceived:
    headers = request.headers
    return events.CallReceived(
        request_id=request_id,
        token_sha256=codecs.bearer_token_sha256(headers.get("authorization", "")),
        labels=labels,
        target=target,
        fingerprint=codecs.sha256_hex(path.encode() + b"\0" + request.body),
        body_sha256=codecs.request_sha256(
            request.method, path, request.query_string, request.body
        ),
        idempotency_key=headers.get(KEY_HEADER, ""),
        wait_seconds=_wait_seconds(headers.get(WAIT_HEADER, "")),
        body_bytes=len(request.body),
    )


def _wait_seconds(header: str) -> float:
    if not header:
        return 0.0
    try:
        value = float(header)
    except ValueError:
        value = -1.0
    if not 0.0 < value < 86400.0:
        raise malformed_request_error(
            f"{WAIT_HEADER} is {header!r}, expected a number of seconds "
            "greater than 0 and less than 86400"
        )
    return value


def _generation_handler(node: Node, path: str) -> Any:
    async def handle_generation(request: Request) -> HTTPResponse | None:
        check_head(request)
        refuse_before_receiving_body(node)
        await receive_body(node, request, check_caller=check_account)
        target = codecs.decode_generation_target(path, request.body)
        labels = codecs.parse_labels(request.headers.get(LABELS_HEADER, ""))
        labels = {**labels, "model": target.model, "path": path}
        event = _call_event(request, "", target, labels, path)
        return await _serve_call(
            node,
            request,
            _call_content(request, path),
            lambda request_id: event._replace(request_id=request_id),
        )

    return handle_generation


def _service_handler(node: Node, forwarded: bool = False) -> Any:
    async def handle_service(
        request: Request, service: str, path: str
    ) -> HTTPResponse | None:
        check_head(request)
        await receive_body(node, request, check_caller=check_account)
        if DOT_SEGMENT_PATTERN.search(path):
            raise malformed_request_error(
                f"path {path!r} contains a dot segment (. or ..)"
            )
        target = rows.ServiceTarget(
            service=service,
            method=request.method,
            path=f"/{path}",
        )
        labels = codecs.parse_labels(request.headers.get(LABELS_HEADER, ""))
        labels = {**labels, "service": service, "path": target.path}
        called_path = f"/services/{service}/{path}"
        event = _call_event(request, "", target, labels, called_path)
        event = add_idempotency_key(event, node, forwarded)
        return await _serve_call(
            node,
            request,
            _call_content(request, target.path),
            lambda request_id: event._replace(request_id=request_id),
        )

    return handle_service


def _resume_handler(node: Node) -> Any:
    async def handle_resume(request: Request) -> HTTPResponse | None:
        check_head(request)
        token = codecs.verify_resume_token(
            request.headers.get("Carawayhitch-Resume", ""),
            node.settings.peers.keys,
            time.time(),
        )
        last_event_id = request.headers.get("Last-Event-ID", "0")
        if not SEQUENCE_NUMBER_PATTERN.match(last_event_id):
            raise malformed_request_error(
                f"Last-Event-ID is {last_event_id!r}, expected 1 to 15 decimal digits"
            )
        event = events.ResumeReceived(
            request_id="",
            token_sha256=codecs.bearer_token_sha256(
                request.headers.get("authorization", "")
            ),
            account=token.account,
            group=token.group,
            upstream_id=token.upstream_id,
            address=token.address,
            generation_id=token.generation_id,
            last_sequence=int(last_event_id),
        )
        return await _serve_call(
            node,
            request,
            _call_content(request, ""),
            lambda request_id: event._replace(request_id=request_id),
        )

    return handle_resume


def _health_handler(node: Node) -> Any:
    async def handle_health(request: Request) -> HTTPResponse:
        return json({"state": node.board.lifecycle.state})

    return handle_health


def _ready_handler(node: Node) -> Any:
    async def handle_ready(request: Request) -> HTTPResponse:
        state = node.board.lifecycle.state
        _close_when_draining(node, request)
        return json({"state": state}, status=200 if state == "ready" else 503)

    return handle_ready


def _metrics_handler(node: Node) -> Any:
    async def handle_metrics(request: Request) -> HTTPResponse:
        body = render_metrics(node.metrics, node.board, node.now())
        return raw(body, content_type=METRICS_CONTENT_TYPE)

    return handle_metrics


def _status_handler(node: Node) -> Any:
    async def handle_status(request: Request) -> HTTPResponse:
        body = codecs.encode_json(describe_status(node.board, node.now()))
        return raw(body, content_type="application/json")

    return handle_status
