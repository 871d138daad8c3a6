"""Checks of request heads, and receipt of bodies within size, time and count limits."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from sanic import Request
from sanic.exceptions import PayloadTooLarge

from carawayhitch import codecs
from carawayhitch.backends import SMALL_BODY_BYTES, RequestBody
from carawayhitch.core import errors, result_codes
from carawayhitch.core import settings as settings_types
from carawayhitch.node import Node

# Headers that may occur only once: with two values, a proxy and this entry could each
# use a different one.
SINGLE_HEADERS = (
    "authorization",
    "idempotency-key",
    "carawayhitch-labels",
    "carawayhitch-wait-seconds",
    "carawayhitch-resume",
    "last-event-id",
    "content-type",
)
# Line breaks and header names that other HTTP parsers may interpret differently, which
# allows request smuggling: bare line feeds or carriage returns, NUL, folded lines,
# whitespace before the colon, empty names.
AMBIGUOUS_HEAD_PATTERN = re.compile(
    rb"(?<!\r)\n|\r(?!\n)|\x00|\r\n[ \t]|\r\n[^:\r]*[ \t]:|\r\n:"
)
# Time in which a displaced body is given up.
PLACE_WAIT_SECONDS = 0.01
# Bytes of an oversized body that are read and discarded so that the caller receives the
# refusal.
DISCARDED_BODY_LIMIT_BYTES = 64 * 1024 * 1024


def malformed_request_error(message: str) -> errors.MalformedMessageError:
    return errors.MalformedMessageError(result_codes.MALFORMED_REQUEST, message)


def check_head(request: Request) -> None:
    """Refuse requests that another HTTP parser may interpret differently."""
    if request.version != "1.1":
        raise errors.CallRefusedError(
            result_codes.HTTP_VERSION_REFUSED,
            f"HTTP version is {request.version}, expected 1.1",
        )
    if AMBIGUOUS_HEAD_PATTERN.search(request.head):
        raise malformed_request_error(
            "request head has ambiguous line breaks or header names"
        )
    headers = request.headers
    for name in SINGLE_HEADERS:
        values = headers.getall(name, ())
        if len(values) > 1:
            raise malformed_request_error(
                f"{len(values)} headers named {name}, expected at most one"
            )
        if values and not values[0].isascii():
            raise malformed_request_error(
                f"value of header {name} has characters other than ASCII"
            )


def refuse_before_receiving_body(node: Node) -> None:
    """Refuse a generation that this entry would refuse regardless of its body.

    Decoding and hashing the body cost more than the refusal. Calls with idempotency
    keys are not refused here, because one of them may repeat a call that is running.
    """
    code = node.find_refusal()
    if code is not None:
        raise errors.CallRefusedError(code, code.meaning)


def check_account(node: Node, request: Request, host: str = "", path: str = "") -> None:
    """Refuse a caller without a valid key, or a call without a route.

    Parameters
    ----------
    host, path : str
        Where a call on a declared route is sent.
    """
    token_sha256 = codecs.bearer_token_sha256(request.headers.get("authorization", ""))
    code = node.find_caller_refusal(token_sha256, host, path)
    if code is not None:
        raise errors.CallRefusedError(code, code.meaning)


async def receive_body(
    node: Node,
    request: Request,
    limit_bytes: int | None = None,
    check_caller: Callable[[Node, Request], None] | None = None,
) -> None:
    """Receive a body within the limits on size, time, memory and concurrent requests.

    Parameters
    ----------
    limit_bytes : int, optional
        Largest body in bytes; that of the settings by default.
    check_caller : callable, optional
        Raises the refusal of a caller whose body must not be received. It is left out
        for a small body that came with its head, as the call itself is checked too.
    """
    # sanic annotates the stream as its base class, without the attributes of HTTP/1.1.
    stream: Any = request.stream
    transport: Any = request.transport
    limits = node.settings.limits
    limit_bytes = limits.body_bytes if limit_bytes is None else limit_bytes
    stream.request_max_size = limit_bytes
    if not stream.request_body:
        return
    context = request.app.ctx
    if not _is_received(request):
        if check_caller is not None:
            check_caller(node, request)
        await _wait_for_place(node, request)
    protocol: Any = request.protocol
    context.receiving_count += 1
    body = RequestBody(memory=node.body_memory)
    refusal: errors.CallRefusedError | None = None
    try:
        async with asyncio.timeout(limits.receive_timeout_seconds) as limit:
            protocol.begin_receiving(body, limit)
            refusal = await _read_body(node, request, body, limit_bytes, limit)
            if refusal is not None:
                await _discard_body(stream)
    except TimeoutError:
        stream.request_body = None
        refusal = refusal or _timeout_error(protocol.displaced_code, limits)
    finally:
        context.receiving_count -= 1
        protocol.end_receiving()
    if refusal is not None:
        body.drop()
        stream.keep_alive = False
        raise refusal
    request.body = body.data
    request.ctx.kept_body = body
    # sanic pauses reading at 64 KB and would then not detect that the caller has
    # disconnected.
    if transport is not None:
        transport.resume_reading()


def _is_received(request: Request) -> bool:
    """Return whether a small body came together with its head."""
    stream: Any = request.stream
    declared = request.headers.get("content-length", "")
    received = min(len(stream.recv_buffer), SMALL_BODY_BYTES)
    return declared.isdecimal() and int(declared) <= received


async def _wait_for_place(node: Node, request: Request) -> None:
    """Refuse a body if too many that move are being received."""
    context, limit = request.app.ctx, node.settings.limits.receiving_requests
    if context.receiving_count >= limit:
        node.make_room_for_connection(1, is_receiving=True)
        await asyncio.sleep(PLACE_WAIT_SECONDS)
    if context.receiving_count >= limit:
        stream: Any = request.stream
        stream.keep_alive = False
        raise errors.CallRefusedError(
            result_codes.ENTRY_OVERLOADED,
            f"{context.receiving_count} request bodies are already being received",
        )


def _timeout_error(
    displaced_code: result_codes.ResultCode | None,
    limits: settings_types.LimitSettings,
) -> errors.CallRefusedError:
    if displaced_code is not None:
        return errors.CallRefusedError(displaced_code, displaced_code.meaning)
    return errors.CallRefusedError(
        result_codes.REQUEST_TIMEOUT,
        f"request body was not received within {limits.receive_timeout_seconds} s",
    )


def take_body(request: Request) -> RequestBody:
    """Return the received body, if any, to which the request refers no longer."""
    request.body = b""
    return getattr(request.ctx, "kept_body", None) or RequestBody()


async def _read_body(
    node: Node,
    request: Request,
    body: RequestBody,
    limit_bytes: int,
    limit: asyncio.Timeout,
) -> errors.CallRefusedError | None:
    """Read a body within its limit and the memory; return its refusal, if any."""
    stream: Any = request.stream
    declared = request.headers.get("content-length", "")
    expected_bytes = min(int(declared), limit_bytes) if declared.isdecimal() else 0
    if not await body.reserve_in_time(expected_bytes, 0.0):
        return _no_memory_error(expected_bytes)
    received = bytearray()
    limits, window_bytes = node.settings.limits, 0
    try:
        async for part in stream:
            size = len(received) + len(part)
            if size > expected_bytes:
                # A body in chunks counts as small or as the largest one, so that it is
                # not refused after most of it has been received.
                expected_bytes = size if size <= SMALL_BODY_BYTES else limit_bytes
                if not await body.reserve_in_time(expected_bytes, 0.0):
                    return _no_memory_error(expected_bytes)
            received += part
            window_bytes = _renew_limit(limit, window_bytes + len(part), limits)
    except PayloadTooLarge:
        return errors.CallRefusedError(
            result_codes.BODY_TOO_LARGE,
            f"request body exceeds the limit of {limit_bytes} bytes",
        )
    body.fill(bytes(received))
    return None


def _renew_limit(
    limit: asyncio.Timeout, window_bytes: int, limits: settings_types.LimitSettings
) -> int:
    """Renew a time limit if enough has arrived; return what counts for the next one."""
    if window_bytes < 2 * limits.progress_bytes or limit.expired():
        return window_bytes
    now = asyncio.get_running_loop().time()
    limit.reschedule(now + limits.receive_timeout_seconds)
    return 0


def _no_memory_error(size: int) -> errors.CallRefusedError:
    return errors.CallRefusedError(
        result_codes.ENTRY_OVERLOADED, f"no memory for a request body of {size} bytes"
    )


async def _discard_body(stream: Any) -> None:
    """Discard the rest of a body.

    If the connection closed while the caller still sends, the caller would see a
    connection reset instead of the refusal.
    """
    if stream.expecting_continue:
        return
    stream.request_max_size = DISCARDED_BODY_LIMIT_BYTES
    with suppress(PayloadTooLarge):
        while stream.request_body:
            await stream.read()


async def discard_answered_body(
    stream: Any, limits: settings_types.LimitSettings
) -> None:
    """Discard the body of a call that is answered; close the connection if it stalls.

    The time limit is that of a body in receipt, so that no caller keeps its place by
    single bytes.
    """
    stream.request_max_size = DISCARDED_BODY_LIMIT_BYTES
    window_bytes = 0
    try:
        async with asyncio.timeout(limits.receive_timeout_seconds) as limit:
            while stream.request_body:
                part = await stream.read()
                window_bytes = _renew_limit(
                    limit, window_bytes + len(part or b""), limits
                )
    except TimeoutError:
        stream.request_body = None
        stream.keep_alive = False
