"""HTTP handling of idempotency keys: caller keys, issued keys, forwarded calls."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from typing import Any

from sanic import Request
from sanic.response import HTTPResponse

from carawayhitch import codecs
from carawayhitch.backends import (
    FORWARD_PATH,
    PROOF_HEADER,
    CallContent,
    RequestBody,
)
from carawayhitch.core import errors, events, result_codes
from carawayhitch.frontend._receiving import check_account, check_head, receive_body
from carawayhitch.node import Node

Handler = Callable[[Request, str, str], Awaitable[HTTPResponse | None]]
# Largest clock error that is accepted in a UUIDv7 key. The journal keeps a record for
# a time that starts at the creation time of its key, so that a key from the far future
# would keep its record for as long.
MAX_FUTURE_SECONDS = 3600.0


def add_idempotency_key(
    event: events.CallReceived, node: Node, forwarded: bool
) -> events.CallReceived:
    """Return the event with the issued key and the creation time of its key.

    Raises
    ------
    MalformedMessageError
        If the signature of an issued key is invalid, or if the timestamp of a UUIDv7
        key is more than `MAX_FUTURE_SECONDS` ahead.
    """
    key = event.idempotency_key
    unix_time = codecs.uuid7_unix_time(key)
    created_at = None if unix_time is None else node.now() + unix_time - time.time()
    if created_at is not None and created_at > node.now() + MAX_FUTURE_SECONDS:
        raise errors.MalformedMessageError(
            result_codes.MALFORMED_REQUEST,
            f"Idempotency-Key {key!r} has a timestamp too far in the future; "
            "check the clock of the host that generated it",
        )
    return event._replace(
        issued_key=codecs.verify_issued_key(key, node.settings.peers.keys),
        key_created_at=created_at,
        forwarded=forwarded,
    )


def issue_keys_handler(node: Node, serve: Any) -> Any:
    """Return the handler of requests that issue idempotency keys."""

    async def handle_keys(request: Request) -> HTTPResponse | None:
        check_head(request)
        await receive_body(node, request, check_caller=check_account)
        key_count = codecs.decode_key_count(request.body)
        authorization = request.headers.get("authorization", "")
        event = events.KeysRequested(
            "", codecs.bearer_token_sha256(authorization), key_count
        )
        return await serve(
            node,
            request,
            CallContent("POST", request.path, "", "", RequestBody()),
            lambda request_id: event._replace(request_id=request_id),
        )

    return handle_keys


def require_forward_proof(node: Node, handle: Handler) -> Any:
    """Return a handler that accepts only calls with a valid proof of another entry."""

    async def handle_forwarded(
        request: Request, service: str, path: str
    ) -> HTTPResponse | None:
        check_head(request)
        await receive_body(node, request, check_caller=_check_forward_signature)
        expected_proof = codecs.forward_signature_payload(
            request.method,
            request.path.removeprefix(FORWARD_PATH),
            request.query_string,
            request.headers.get("idempotency-key", ""),
            request.headers.get("authorization", ""),
            request.body,
            time.time(),
        )
        presented_proof = request.headers.get(PROOF_HEADER, "")
        try:
            codecs.verify_forwarded_call(
                presented_proof, expected_proof, node.settings.peers.keys
            )
        except errors.MalformedMessageError as error:
            raise _forward_refused(node, error) from None
        return await handle(request, service, path)

    return handle_forwarded


def _check_forward_signature(node: Node, request: Request) -> None:
    """Refuse a call that no entry signed; its body is compared once it is received."""
    presented_proof = request.headers.get(PROOF_HEADER, "")
    try:
        codecs.read_forward_signature(
            presented_proof, node.settings.peers.keys, time.time()
        )
    except errors.MalformedMessageError as error:
        raise _forward_refused(node, error) from None


def _forward_refused(
    node: Node, error: errors.MalformedMessageError
) -> errors.CallRefusedError:
    node.count(error.code, "")
    return errors.CallRefusedError(result_codes.FORWARD_REFUSED, error.message)
