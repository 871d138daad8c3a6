"""HTTP routes for exchanges between entries."""

from __future__ import annotations

from typing import Any
from uuid import uuid4

from sanic import Request, Sanic
from sanic.response import HTTPResponse, raw

from carawayhitch import codecs
from carawayhitch.core import actions, errors
from carawayhitch.frontend._refusals import JSON_CONTENT_TYPE, refusal_response
from carawayhitch.node import Node

PEER_ERROR_STATUS = 403


def add_peer_routes(application: Sanic, node: Node) -> None:
    """Add the route on which entries exchange declared objects."""
    application.add_route(
        _exchange_handler(node), "/peer/v1/objects", methods=["POST"], name="objects"
    )


def _exchange_handler(node: Node) -> Any:
    async def handle_exchange(request: Request) -> HTTPResponse:
        keys = node.settings.peers.keys
        signature = request.headers.get(codecs.EXCHANGE_SIGNATURE_HEADER, "")
        try:
            codecs.verify_exchange(request.body, signature, keys)
            exchange = codecs.decode_exchange(request.body, uuid4().hex)
        except errors.MalformedMessageError as error:
            node.count(error.code, "")
            code = error.code._replace(http_status=PEER_ERROR_STATUS)
            return refusal_response(actions.RefuseCall("", code, error.message))
        exchanged = await node.run_operation(exchange.exchange_id, exchange)
        body = codecs.encode_exchange(exchanged.answer)
        node.count_exchange_bytes(len(body), len(request.body))
        response_signature = codecs.sign_exchange(body, keys, signature)
        return raw(
            body,
            content_type=JSON_CONTENT_TYPE,
            headers={codecs.EXCHANGE_SIGNATURE_HEADER: response_signature},
        )

    return handle_exchange
