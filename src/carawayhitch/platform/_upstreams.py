"""Send calls on HTTP routes to upstreams of the platform."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import aiohttp
from yarl import URL

from carawayhitch import codecs
from carawayhitch.backends import (
    STREAM_READ_BYTES,
    UpstreamCall,
    new_call_failure,
    read_limited,
    single_send_middleware,
    submit_failures,
)
from carawayhitch.core import actions, errors, events, result_codes
from carawayhitch.platform import _calls, _names, _notices

EVENT_STREAM = "text/event-stream"
# 421 Misdirected Request: the address belongs to another upstream now.
MISDIRECTED_REQUEST_STATUS = 421
# Headers that aiohttp would add to requests that lack them.
SKIPPED_AUTO_HEADERS = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type")


async def run_routed_call(
    call: UpstreamCall, action: actions.OpenUpstream, now: Callable[[], float]
) -> None:
    """Send a call to an upstream and submit its response as events."""
    content = call.content
    query = f"?{content.query}" if content.query else ""
    # The path is not normalized: a normalized path could name another resource.
    url = URL(f"http://{action.address}{content.path}{query}", encoded=True)
    headers = _calls.upstream_request_headers(content.headers, action, now())
    with submit_failures(call):
        async with call.session.request(
            content.method,
            url,
            data=content.body.data or None,
            headers=headers,
            skip_auto_headers=SKIPPED_AUTO_HEADERS,
            allow_redirects=False,
            middlewares=(single_send_middleware(),),
        ) as response:
            await _receive_response(call, response, action, now)


async def _receive_response(
    call: UpstreamCall,
    response: aiohttp.ClientResponse,
    action: actions.OpenUpstream,
    now: Callable[[], float],
) -> None:
    sent_id = _calls.caller_request_id(call.content.headers)
    # A refusal without an id refuses a request whose head was not read.
    answered_id = response.headers.get(_names.REQUEST_ID) or sent_id
    is_refused = _names.NOT_EXECUTED in response.headers and answered_id == sent_id
    is_from_upstream = _is_from_upstream(call, response)
    # Another upstream may use the address now.
    is_misdirected = response.status == MISDIRECTED_REQUEST_STATUS
    if (is_refused or is_from_upstream) and not is_misdirected:
        _submit_notices(call, response, action.upstream_id, now())
    if is_misdirected or is_refused:
        call.submit(new_call_failure(call, "refused", False, response.status))
        return
    if not is_from_upstream:
        call.submit(
            new_call_failure(call, "foreign", True, f"status {response.status}")
        )
        return
    is_success = 200 <= response.status < 300
    if is_success and response.content_type == EVENT_STREAM:
        await _relay_stream(call, response, action.address)
        return
    limit_bytes = call.settings.limits.answer_bytes
    body = await read_limited(response, limit_bytes, memory=call.memory)
    call.submit(
        events.AnswerReceived(
            call.request_id,
            call.attempt,
            response.status,
            response.headers.get("Content-Type", ""),
            body,
            headers=_calls.forwarded_response_headers(response.headers.items()),
        )
    )


def _submit_notices(
    call: UpstreamCall, response: aiohttp.ClientResponse, upstream_id: str, now: float
) -> None:
    """Submit what an upstream says about itself beside its answer."""
    if _notices.announces_leaving(response):
        call.submit(events.LeavingAnnounced(upstream_id))
    cold_seconds = _notices.announced_cold_seconds(response)
    if cold_seconds:
        call.submit(events.ColdAnnounced(upstream_id, now + cold_seconds))
    backoff = _notices.requested_backoff(response, upstream_id, now)
    if backoff is not None:
        call.submit(backoff)


def _is_from_upstream(call: UpstreamCall, response: aiohttp.ClientResponse) -> bool:
    """Return whether the upstream produced this response to this call.

    Upstreams echo the request id and sign successful responses. A response with
    ``Content-Encoding`` does not contain the body that the upstream produced.
    """
    sent_id = _calls.caller_request_id(call.content.headers)
    received_id = response.headers.get(_names.REQUEST_ID, "")
    is_signed = _names.SIGNATURE in response.headers
    if received_id != sent_id or "Content-Encoding" in response.headers:
        return False
    return is_signed or response.status >= 300


async def _relay_stream(
    call: UpstreamCall, response: aiohttp.ClientResponse, address: str
) -> None:
    caller = call.caller
    call.submit(
        events.UpstreamOpened(
            call.request_id,
            call.attempt,
            "",
            EVENT_STREAM,
            address,
            _calls.forwarded_response_headers(response.headers.items()),
        )
    )
    received_chunk = partial(events.ChunkReceived, call.request_id, call.attempt)
    pending = b""
    while received := await response.content.read(STREAM_READ_BYTES):
        block, pending = codecs.split_events(pending + received)
        if block is None:
            continue
        call.submit(received_chunk(*block[:3]))
        if caller.is_paused:
            call.submit(events.CallerPaused(call.request_id))
            await caller.writable()
            call.submit(events.CallerResumed(call.request_id))
    if pending:
        raise errors.MalformedMessageError(
            result_codes.ANSWER_TRUNCATED, "stream ended in the middle of an event"
        )
    call.submit(
        events.StreamEnded(
            call.request_id, call.attempt, is_delimited=_is_delimited(response)
        )
    )


def _is_delimited(response: aiohttp.ClientResponse) -> bool:
    """Return whether the response marks its own end, by a length or a last chunk."""
    headers = response.headers
    return "Content-Length" in headers or "Transfer-Encoding" in headers
