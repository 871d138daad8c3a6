"""HTTP interface for callers, the balancer and metrics."""

from __future__ import annotations

import asyncio
import time
from typing import Any
from uuid import uuid4

from sanic import Request, Sanic
from sanic.response import HTTPResponse, json, raw

from carawayhitch import codecs
from carawayhitch.backends import CallContent
from carawayhitch.core import actions, errors, events, result_codes, rows
from carawayhitch.frontend._caller import SanicCaller, refusal_response
from carawayhitch.frontend._operators import add_operator_routes
from carawayhitch.frontend._peers import add_peer_routes
from carawayhitch.node import Node, OpenCall, render_metrics

GENERATION_PATHS = ("/v1/chat/completions", "/v1/completions")
LABELS_HEADER = "Carawayhitch-Labels"
KEY_HEADER = "Idempotency-Key"
WAIT_HEADER = "Carawayhitch-Wait-Seconds"
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
SERVICE_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")


def new_application(node: Node) -> Sanic:
    """Return the HTTP application of a node."""
    application = Sanic(f"carawayhitch-{uuid4().hex}", configure_logging=False)
    _configure(application, node)
    for path in GENERATION_PATHS:
        application.add_route(
            _generation_handler(node, path), path, methods=["POST"], name=path[4:]
        )
    application.add_route(
        _service_handler(node),
        "/services/<service:str>/<path:path>",
        methods=SERVICE_METHODS,
        name="service",
    )
    add_operator_routes(application, node)
    add_peer_routes(application, node)
    application.add_route(_resume_handler(node), "/v1/streams/resume", name="resume")
    application.add_route(_health_handler(node), "/healthz", name="healthz")
    application.add_route(_ready_handler(node), "/readyz", name="readyz")
    application.add_route(_metrics_handler(node), "/metrics", name="metrics")
    return application


def _configure(application: Sanic, node: Node) -> None:
    """Replace library limits that would cut queued requests and long streams.

    A queued request may wait for its rank's maximum wait, so the 60 s response
    timeout does not apply; running streams get the whole drain time, not 15 s; and
    bodies are limited to fit the memory of an entry, not to 100 MB.
    """
    settings = node.settings
    application.config.RESPONSE_TIMEOUT = 86400
    application.config.GRACEFUL_SHUTDOWN_TIMEOUT = settings.drain.limit_seconds
    application.config.REQUEST_MAX_SIZE = settings.limits.body_bytes
    application.config.FALLBACK_ERROR_FORMAT = "json"
    application.config.ACCESS_LOG = False


async def _serve(
    node: Node, request: Request, content: CallContent, make_event: Any
) -> HTTPResponse | None:
    request_id = uuid4().hex
    caller = SanicCaller(request, node.settings, time.time)
    node.calls_by_request_id[request_id] = OpenCall(content, caller)
    try:
        node.submit(make_event(request_id))
        return await caller.respond()
    except asyncio.CancelledError:
        node.submit(events.CallerGone(request_id))
        raise
    finally:
        node.calls_by_request_id.pop(request_id, None)


def _malformed(error: errors.MalformedMessageError) -> HTTPResponse:
    return refusal_response(actions.RefuseCall("", error.code, error.message))


def _content(request: Request, path: str) -> CallContent:
    return CallContent(
        method=request.method,
        path=path,
        query=request.query_string,
        content_type=request.headers.get("content-type", "application/octet-stream"),
        body=request.body,
    )


def _call_event(
    request: Request,
    request_id: str,
    target: rows.GenerationTarget | rows.ServiceTarget,
    labels: dict[str, str],
) -> events.CallReceived:
    headers = request.headers
    body_sha256 = codecs.sha256_hex(request.body)
    return events.CallReceived(
        request_id=request_id,
        token_sha256=codecs.bearer_token_sha256(headers.get("authorization", "")),
        labels=labels,
        target=target,
        fingerprint=codecs.sha256_hex(request.path.encode() + b"\0" + request.body),
        body_sha256=body_sha256,
        idempotency_key=headers.get(KEY_HEADER, ""),
        wait_seconds=_wait_seconds(headers.get(WAIT_HEADER, "")),
    )


def _wait_seconds(header: str) -> float:
    if not header:
        return 0.0
    try:
        value = float(header)
    except ValueError:
        value = -1.0
    if not 0.0 < value < 86400.0:
        raise errors.MalformedMessageError(
            result_codes.MALFORMED_REQUEST,
            f"{WAIT_HEADER} is {header!r}, expected seconds between 0 and 86400",
        )
    return value


def _generation_handler(node: Node, path: str) -> Any:
    async def handle_generation(request: Request) -> HTTPResponse | None:
        try:
            target = codecs.generation_target(path, request.body)
            labels = codecs.parse_labels(request.headers.get(LABELS_HEADER, ""))
            labels = {**labels, "model": target.model, "path": path}
            event = _call_event(request, "", target, labels)
        except errors.MalformedMessageError as error:
            node.count(error.code, "")
            return _malformed(error)
        return await _serve(
            node,
            request,
            _content(request, path),
            lambda request_id: event._replace(request_id=request_id),
        )

    return handle_generation


def _service_handler(node: Node) -> Any:
    async def handle_service(
        request: Request, service: str, path: str
    ) -> HTTPResponse | None:
        target = rows.ServiceTarget(
            service=service,
            method=request.method,
            path=f"/{path}",
            idempotent=request.method in ("GET", "HEAD"),
        )
        try:
            labels = codecs.parse_labels(request.headers.get(LABELS_HEADER, ""))
            labels = {**labels, "service": service, "path": target.path}
            event = _call_event(request, "", target, labels)
        except errors.MalformedMessageError as error:
            node.count(error.code, "")
            return _malformed(error)
        return await _serve(
            node,
            request,
            _content(request, target.path),
            lambda request_id: event._replace(request_id=request_id),
        )

    return handle_service


def _resume_handler(node: Node) -> Any:
    async def handle_resume(request: Request) -> HTTPResponse | None:
        try:
            token = codecs.verify_resume_token(
                request.headers.get("Carawayhitch-Resume", ""),
                node.settings.peers.keys,
                time.time(),
            )
            last_sequence = int(request.headers.get("Last-Event-ID", "0"))
        except errors.MalformedMessageError as error:
            node.count(error.code, "")
            return _malformed(error)
        except ValueError:
            code = result_codes.MALFORMED_REQUEST
            return _malformed(
                errors.MalformedMessageError(code, "Last-Event-ID is not a number")
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
            last_sequence=last_sequence,
        )
        return await _serve(
            node,
            request,
            _content(request, ""),
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
        return json({"state": state}, status=200 if state == "ready" else 503)

    return handle_ready


def _metrics_handler(node: Node) -> Any:
    async def handle_metrics(request: Request) -> HTTPResponse:
        body = render_metrics(node.metrics, node.board)
        return raw(body, content_type=METRICS_CONTENT_TYPE)

    return handle_metrics
