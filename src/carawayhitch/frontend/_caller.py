"""The caller's side of a call over a sanic request."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import singledispatch
from typing import Any

from sanic import Request
from sanic.response import HTTPResponse, raw

from carawayhitch import codecs
from carawayhitch.core import actions, result_codes
from carawayhitch.core import settings as settings_types
from carawayhitch.frontend._refusals import refusal_response

RESUME_HEADER = "Carawayhitch-Resume"


class SanicCaller:
    """Writes the outcome of one call to its HTTP response.

    The node calls the plain methods; the request handler awaits `respond`. Chunks go
    straight to the transport, because the library's send path costs more than the
    rest of the relay together.
    """

    def __init__(
        self,
        request: Request,
        settings_in_force: Callable[[], settings_types.Settings],
        unix_time: Any,
    ) -> None:
        self.request = request
        self.settings_in_force = settings_in_force
        self.unix_time = unix_time
        self._begun: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._ended: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._unsent: list[bytes] = []
        self._transport: Any = None
        self._protocol: Any = request.protocol

    def start_stream(self, action: actions.StartStream) -> None:
        """Send status and headers of a stream."""
        self._begin(action)

    def answer(self, action: actions.SendAnswer) -> None:
        """Send a whole answer."""
        self._begin(action)

    def refuse(self, action: actions.RefuseCall) -> None:
        """Send an error; a started stream ends without its final chunk."""
        if not self._begun.done():
            self._begin(action)
            return
        self.write(codecs.encode_error_event(action.code, action.message))
        self._end(complete=False)

    def write(self, data: bytes) -> None:
        """Send bytes of a stream."""
        if self._transport is None:
            self._unsent.append(data)
        elif not self._transport.is_closing():
            self._transport.write(b"%x\r\n%b\r\n" % (len(data), data))

    def finish_stream(self) -> None:
        """End a stream."""
        self._end(complete=True)

    @property
    def is_paused(self) -> bool:
        """Whether the caller has not taken enough of what was written."""
        return self._protocol.is_paused

    async def writable(self) -> None:
        """Wait until the caller has taken enough of what was written."""
        await self._protocol.writable()

    def defer_reading(self) -> None:
        """Read the next request of this caller later, because the entry is full."""
        self._protocol.defer_reading()

    def _begin(self, action: Any) -> None:
        if not self._begun.done():
            self._begun.set_result(action)

    def _end(self, complete: bool) -> None:
        if not self._ended.done():
            self._ended.set_result(complete)

    async def respond(self) -> HTTPResponse | None:
        """Send the outcome; return a response if it is not a stream."""
        return await _respond(await self._begun, self)

    async def open_stream(self, action: actions.StartStream) -> Any:
        """Send status and headers of a stream; return its response."""
        # Read here: the keys may have changed while the call was queued.
        settings = self.settings_in_force()
        token = codecs.ResumeToken(
            action.upstream_id,
            action.address,
            action.generation_id,
            action.account,
            action.group,
            self.unix_time() + settings.streams.resume_lifetime_seconds,
        )
        signed = codecs.sign_resume_token(token, settings.peers.keys)
        headers = {"Cache-Control": "no-store"}
        if action.generation_id:
            headers[RESUME_HEADER] = signed
        return await self.request.respond(
            content_type=action.content_type, headers=headers
        )

    async def respond_stream(self, action: actions.StartStream) -> None:
        """Send a stream until it ends."""
        response = await self.open_stream(action)
        await response.send(b"")
        self._transport = self.request.transport
        unsent, self._unsent = self._unsent, []
        for data in unsent:
            self.write(data)
        if await self._ended:
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
async def _respond_whole(
    action: actions.SendAnswer, caller: SanicCaller
) -> HTTPResponse | None:
    return raw(
        action.body,
        action.status,
        headers=dict(action.headers),
        content_type=action.content_type,
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
