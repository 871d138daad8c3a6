"""Run, resume and cancel generations on model engines."""

from __future__ import annotations

from functools import partial

import aiohttp

from carawayhitch.backends._bodies import BodyTooLargeError
from carawayhitch.backends._calls import (
    STREAM_READ_BYTES,
    UpstreamCall,
    new_call_failure,
    read_body,
    submit_failures,
)
from carawayhitch.codecs import (
    decode_completion_token_count,
    encode_engine_request,
    split_events,
)
from carawayhitch.core import actions, errors, events, result_codes

REFUSED_STATUSES = frozenset({429, 503})
STREAM_CONTENT_TYPE = "text/event-stream"
GENERATION_HEADER = "X-Generation-Id"


async def run_generation(call: UpstreamCall, action: actions.OpenUpstream) -> None:
    """Start a generation on an engine and submit its response as events."""
    url = f"http://{action.address}{call.content.path}"
    body = encode_engine_request(call.content.body.data, action.priority)
    headers = {"Content-Type": "application/json"}
    with submit_failures(call):
        async with call.session.post(url, data=body, headers=headers) as response:
            if response.status in REFUSED_STATUSES:
                call.submit(new_call_failure(call, "refused", False, response.status))
            elif response.status >= 500:
                call.submit(new_call_failure(call, "link_lost", True, response.status))
            elif response.content_type == STREAM_CONTENT_TYPE:
                await _relay_stream(call, response, action.address)
            else:
                await _receive_complete_answer(call, response)


async def resume_generation(call: UpstreamCall, action: actions.ResumeUpstream) -> None:
    """Resume a stream after the last event that the caller received."""
    url = f"http://{action.address}/v1/generations/{action.generation_id}/stream"
    headers = {"Last-Event-ID": str(action.last_sequence)}
    try:
        async with call.session.get(url, headers=headers) as response:
            if response.status in (404, 410):
                call.submit(
                    new_call_failure(call, "generation_gone", True, response.status)
                )
            elif response.status != 200:
                call.submit(new_call_failure(call, "connect", True, response.status))
            else:
                await _relay_stream(call, response, action.address)
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        call.submit(new_call_failure(call, "connect", True, error))


async def cancel_generation(
    session: aiohttp.ClientSession, address: str, generation_id: str
) -> None:
    """Cancel a generation on an engine, which frees its memory."""
    url = f"http://{address}/v1/generations/{generation_id}"
    timeout = aiohttp.ClientTimeout(total=2.0)
    try:
        async with session.delete(url, timeout=timeout):
            return
    except (aiohttp.ClientError, TimeoutError, OSError):
        # The engine cancels abandoned generations by itself after some time.
        return


async def _relay_stream(
    call: UpstreamCall, response: aiohttp.ClientResponse, address: str
) -> None:
    generation_id = response.headers.get(GENERATION_HEADER, "")
    submit, caller = call.submit, call.caller
    submit(
        events.UpstreamOpened(
            call.request_id, call.attempt, generation_id, STREAM_CONTENT_TYPE, address
        )
    )
    received_chunk = partial(events.ChunkReceived, call.request_id, call.attempt)
    pending = b""
    try:
        while received := await response.content.read(STREAM_READ_BYTES):
            block, pending = split_events(pending + received if pending else received)
            if block is None:
                continue
            submit(received_chunk(*block))
            if block.is_final:
                submit(events.StreamEnded(call.request_id, call.attempt))
                return
            if caller.is_paused:
                submit(events.CallerPaused(call.request_id))
                await caller.writable()
                submit(events.CallerResumed(call.request_id))
    except errors.MalformedMessageError as error:
        submit(new_call_failure(call, "truncated", True, error.message))
        return
    submit(
        new_call_failure(
            call, "link_lost", True, "connection closed before the final event"
        )
    )


async def _receive_complete_answer(
    call: UpstreamCall, response: aiohttp.ClientResponse
) -> None:
    try:
        body = await read_body(call, response)
        generation_id = response.headers.get(GENERATION_HEADER, "")
        token_count = decode_completion_token_count(body, generation_id)
    except BodyTooLargeError as error:
        call.submit(new_call_failure(call, "oversized", True, error.message))
        return
    except errors.MalformedMessageError as error:
        foreign = error.code is result_codes.ANSWER_FOREIGN
        kind: events.FailureKind = "foreign" if foreign else "truncated"
        call.submit(new_call_failure(call, kind, True, error.message))
        return
    call.submit(
        events.AnswerReceived(
            call.request_id,
            call.attempt,
            response.status,
            response.content_type,
            body,
            token_count,
        )
    )
