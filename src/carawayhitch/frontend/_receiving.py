"""Receipt of requests: ambiguous heads, and bodies within size, time and number."""

from __future__ import annotations

import asyncio
import re
from contextlib import suppress
from typing import Any

from sanic import Request
from sanic.exceptions import PayloadTooLarge

from carawayhitch.core import errors, result_codes
from carawayhitch.node import Node

# Headers whose repetition would let two readers of a request disagree about it.
SINGLE_HEADERS = (
    "authorization",
    "idempotency-key",
    "carawayhitch-labels",
    "carawayhitch-wait-seconds",
    "carawayhitch-resume",
    "last-event-id",
    "content-type",
)
# Line breaks and header names that other readers could understand differently: bare
# line feeds or carriage returns, NUL, folded lines, blanks before the colon.
AMBIGUOUS_HEAD = re.compile(
    rb"(?<!\r)\n|\r(?!\n)|\x00|\r\n[ \t]|\r\n[^:\r]*[ \t]:|\r\n:"
)
# Bytes of an oversized body that are read so that the caller sees the refusal.
DISCARDED_BYTES_LIMIT = 64 * 1024 * 1024


def malformed_request_error(message: str) -> errors.MalformedMessageError:
    return errors.MalformedMessageError(result_codes.MALFORMED_REQUEST, message)


def check_head(request: Request) -> None:
    """Refuse requests that another reader could understand differently."""
    if request.version != "1.1":
        raise errors.CallRefusedError(
            result_codes.HTTP_VERSION_REFUSED,
            f"HTTP version is {request.version}, expected 1.1",
        )
    if AMBIGUOUS_HEAD.search(request.head):
        raise malformed_request_error("ambiguous line breaks or header names")
    headers = request.headers
    for name in SINGLE_HEADERS:
        values = headers.getall(name, ())
        if len(values) > 1:
            raise malformed_request_error(f"{len(values)} headers {name}, expected one")
        if values and not values[0].isascii():
            raise malformed_request_error(f"header {name} is not ASCII text")


def refuse_before_receiving_body(node: Node) -> None:
    """Refuse a generation that this entry would refuse whatever its body says.

    Decoding and hashing the body cost more than the refusal. Calls with idempotency
    keys are not refused here: one of them may repeat a call that runs.
    """
    code = node.find_refusal()
    if code is not None:
        raise errors.CallRefusedError(code, code.meaning)


async def receive_body(
    node: Node, request: Request, limit_bytes: int | None = None
) -> None:
    """Receive a body within the limits of size, time and number.

    Parameters
    ----------
    limit_bytes : int, optional
        Largest body, if it differs from the settings.
    """
    # sanic types the stream as its base class, which lacks what HTTP/1.1 adds.
    stream: Any = request.stream
    transport: Any = request.transport
    limits = node.settings.limits
    limit_bytes = limits.body_bytes if limit_bytes is None else limit_bytes
    stream.request_max_size = limit_bytes
    if not stream.request_body:
        return
    context = request.app.ctx
    if context.receiving_count >= limits.receiving_requests:
        stream.keep_alive = False
        raise errors.CallRefusedError(
            result_codes.ENTRY_OVERLOADED,
            f"{context.receiving_count} requests are being received",
        )
    context.receiving_count += 1
    refusal: errors.CallRefusedError | None = errors.CallRefusedError(
        result_codes.REQUEST_TIMEOUT,
        f"body did not arrive within {limits.receive_timeout_seconds} s",
    )
    try:
        async with asyncio.timeout(limits.receive_timeout_seconds):
            try:
                await request.receive_body()
                refusal = None
            except PayloadTooLarge:
                refusal = errors.CallRefusedError(
                    result_codes.BODY_TOO_LARGE,
                    f"body exceeds the limit of {limit_bytes} bytes",
                )
                await _discard_body(stream)
    except TimeoutError:
        stream.request_body = None
    finally:
        context.receiving_count -= 1
    if refusal is not None:
        stream.keep_alive = False
        raise refusal
    # sanic pauses reading at 64 KB and would not see the caller leave from then on.
    if transport is not None:
        transport.resume_reading()


async def _discard_body(stream: Any) -> None:
    """Read on after the limit: a caller that still sends would see only a reset."""
    if stream.expecting_continue:
        return
    stream.request_max_size = DISCARDED_BYTES_LIMIT
    with suppress(PayloadTooLarge):
        while stream.request_body:
            await stream.read()
