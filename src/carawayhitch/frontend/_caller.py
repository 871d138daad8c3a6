"""Writes the outcome of a call to a sanic request."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import singledispatch
from typing import Any

from sanic import Request
from sanic.response import HTTPResponse, raw

from carawayhitch import codecs
from carawayhitch.backends import SMALL_BODY_BYTES, STREAM_READ_BYTES
from carawayhitch.core import actions, result_codes
from carawayhitch.core import settings as settings_types
from carawayhitch.frontend._refusals import refusal_response

RESUME_HEADER = "Carawayhitch-Resume"


class SanicCaller:
    """Writes the outcome of one call to its HTTP response.

    The node calls the synchronous methods; the request handler awaits `respond`.
    Stream chunks are written directly to the transport, because sanic's send path
    costs more CPU time than the rest of the relay.
    """

    def __init__(
        self,
        request: Request,
        get_settings: Callable[[], settings_types.Settings],
        get_unix_time: Any,
    ) -> None:
        self.request = request
        self.get_settings = get_settings
        self.get_unix_time = get_unix_time
        self._outcome: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._stream_completion: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )
        self._unsent_chunks: list[bytes] = []
        self._transport: Any = None
        self._protocol: Any = request.protocol

    def start_stream(self, action: actions.StartStream) -> None:
        """Send the status line and the headers of a stream."""
        self._set_outcome(action)

    def answer(self, action: actions.SendAnswer) -> None:
        """Send a complete response."""
        if not self._outcome.done() and len(action.body) > SMALL_BODY_BYTES:
            self._protocol.hold_answer(len(action.body))
        self._set_outcome(action)

    def refuse(self, action: actions.RefuseCall) -> None:
        """Send an error.

        A stream that has started gets an error event and then ends without its final
        chunk, so that the caller does not take it for complete.
        """
        if not self._outcome.done():
            self._set_outcome(action)
            return
        self.write(codecs.encode_error_event(action.code, action.message))
        self._set_stream_completion(complete=False)

    def write(self, data: bytes) -> None:
        """Send one chunk of a stream, or buffer it until the headers are sent."""
        if self._transport is None:
            self._unsent_chunks.append(data)
        elif not self._transport.is_closing():
            self._transport.write(b"%x\r\n%b\r\n" % (len(data), data))

    def finish_stream(self) -> None:
        """End a stream with its final chunk."""
        self._set_stream_completion(complete=True)

    @property
    def is_paused(self) -> bool:
        """Whether the write buffer of the connection is above its high-water mark."""
        return self._protocol.is_paused

    async def writable(self) -> None:
        """Wait until the write buffer of the connection has drained."""
        await self._protocol.writable()

    def defer_reading(self) -> None:
        """Delay reading the next request of this caller, because the entry is full."""
        self._protocol.defer_reading()

    def _set_outcome(self, action: Any) -> None:
        if not self._outcome.done():
            self._outcome.set_result(action)

    def _set_stream_completion(self, complete: bool) -> None:
        if not self._stream_completion.done():
            self._stream_completion.set_result(complete)

    async def respond(self) -> HTTPResponse | None:
        """Send the outcome; return the response, or None if it was streamed."""
        action = await self._outcome
        try:
            return await _respond(action, self)
        finally:
            self._protocol.release_answer()

    async def respond_complete(self, response: HTTPResponse) -> HTTPResponse | None:
        """Send a large body in parts, so that no copy of it waits for the caller."""
        body = response.body or b""
        if len(body) <= STREAM_READ_BYTES or self.request.method == "HEAD":
            return response
        response.body = None
        response.headers["content-length"] = str(len(body))
        response = await self.request.respond(response)
        for start in range(0, len(body), STREAM_READ_BYTES):
            await response.send(body[start : start + STREAM_READ_BYTES])
        return None

    async def open_stream(self, action: actions.StartStream) -> Any:
        """Send the status line and the headers of a stream; return its response."""
        # The signing keys may have changed while the call was queued, so the settings
        # are read only now.
        settings = self.get_settings()
        token = codecs.ResumeToken(
            action.upstream_id,
            action.address,
            action.generation_id,
            action.account,
            action.group,
            self.get_unix_time() + settings.streams.resume_lifetime_seconds,
        )
        signed = codecs.sign_resume_token(token, settings.peers.keys)
        headers = {"Cache-Control": "no-store"}
        if action.generation_id:
            headers[RESUME_HEADER] = signed
        return await self.request.respond(
            content_type=action.content_type, headers=headers
        )

    async def respond_stream(self, action: actions.StartStream) -> None:
        """Send a stream until it ends.

        An incomplete stream closes the connection. If the caller does not read, the
        connection is aborted, because a close would wait for the write buffer.
        """
        response = await self.open_stream(action)
        await response.send(b"")
        self._transport = self.request.transport
        self._protocol.relays_stream = True
        unsent_chunks, self._unsent_chunks = self._unsent_chunks, []
        for data in unsent_chunks:
            self.write(data)
        try:
            is_complete = await self._stream_completion
        finally:
            self._protocol.relays_stream = False
        if is_complete:
            await response.eof()
            return
        stream: Any = self.request.stream
        stream.keep_alive = False
        if self._protocol.is_paused:
            self._transport.abort()
        else:
            self._transport.close()


@singledispatch
async def _respond(action: Any, caller: SanicCaller) -> HTTPResponse | None:
    raise TypeError(f"no response for {action!r}")


@_respond.register(actions.SendAnswer)
async def _respond_complete(
    action: actions.SendAnswer, caller: SanicCaller
) -> HTTPResponse | None:
    return await caller.respond_complete(
        raw(
            action.body,
            action.status,
            headers=dict(action.headers),
            content_type=action.content_type,
        )
    )


@_respond.register(actions.RefuseCall)
async def _respond_refusal(
    action: actions.RefuseCall, caller: SanicCaller
) -> HTTPResponse | None:
    if action.code == result_codes.ENTRY_OVERLOADED:
        caller.defer_reading()
    return refusal_response(action)


@_respond.register(actions.StartStream)
async def _respond_streamed(
    action: actions.StartStream, caller: SanicCaller
) -> HTTPResponse | None:
    await caller.respond_stream(action)
    return None
