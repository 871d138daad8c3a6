"""HTTP routes of the admin interface, which operators use."""

from __future__ import annotations

import hmac
from collections.abc import Callable, Coroutine
from typing import Any
from uuid import uuid4

from sanic import Request, Sanic
from sanic.response import HTTPResponse, raw

from carawayhitch import codecs
from carawayhitch.core import actions, errors, result_codes
from carawayhitch.frontend._receiving import receive_body
from carawayhitch.frontend._refusals import JSON_CONTENT_TYPE, refusal_response
from carawayhitch.node import Node, describe_status

Handler = Callable[..., Coroutine[Any, Any, HTTPResponse]]


def add_operator_routes(application: Sanic, node: Node) -> None:
    """Add the routes of the admin interface; each requires the operators' token."""
    routes: tuple[tuple[str, str, Handler], ...] = (
        ("GET", "/admin/v1/objects", _objects_handler(node)),
        ("PUT", "/admin/v1/objects/<kind:str>/<name:str>", _change_handler(node)),
        ("GET", "/admin/v1/status", _status_handler(node)),
    )
    for method, path, handler in routes:
        name = f"admin_{method}_{path.split('/')[3]}".lower()
        application.add_route(
            _require_operators_token(node, handler),
            path,
            methods=[method],
            name=name,
            stream=True,
        )


def _require_operators_token(node: Node, handler: Handler) -> Handler:
    async def handle(request: Request, **arguments: Any) -> HTTPResponse:
        expected = node.settings.admin.token_sha256
        presented = codecs.bearer_token_sha256(request.headers.get("authorization", ""))
        if not expected or not hmac.compare_digest(presented, expected.lower()):
            message = "bearer token missing or wrong, expected the operators' token"
            return _count_refusal(node, result_codes.OPERATOR_REFUSED, message)
        await receive_body(node, request)
        return await handler(request, **arguments)

    return handle


def _count_refusal(
    node: Node, code: result_codes.ResultCode, message: str
) -> HTTPResponse:
    node.count(code, "")
    return refusal_response(actions.RefuseCall("", code, message))


def _json_response(body: bytes) -> HTTPResponse:
    return raw(body, content_type=JSON_CONTENT_TYPE)


def _objects_handler(node: Node) -> Handler:
    async def handle_objects(request: Request) -> HTTPResponse:
        object_set = node.board.object_set
        body: codecs.ObjectsBody = {
            "node": node.board.node_id,
            "revision": object_set.revision,
            "complete": object_set.complete_revision >= 0,
            "objects": codecs.object_bodies_from_rows(
                node.board.objects_by_key.values()
            ),
        }
        return _json_response(codecs.encode_json(body))

    return handle_objects


def _change_handler(node: Node) -> Handler:
    async def handle_change(request: Request, kind: str, name: str) -> HTTPResponse:
        operation_id = f"change/{uuid4().hex}"
        try:
            change = codecs.decode_change(request.body, kind, name, operation_id)
        except (errors.MalformedMessageError, errors.InvalidValueError) as error:
            return _count_refusal(node, error.code, error.message)
        answer = await node.run_operation(operation_id, change)
        if answer.code is not None:
            refusal = actions.RefuseCall("", answer.code, answer.message)
            return refusal_response(refusal)
        return _json_response(codecs.encode_change_answer(answer))

    return handle_change


def _status_handler(node: Node) -> Handler:
    async def handle_status(request: Request) -> HTTPResponse:
        return _json_response(
            codecs.encode_json(describe_status(node.board, node.now()))
        )

    return handle_status
