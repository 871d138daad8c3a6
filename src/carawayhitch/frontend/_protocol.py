"""Connections of callers with limits on their number, time and buffered bytes."""

from __future__ import annotations

import asyncio
from typing import Any

from sanic.compat import Header
from sanic.http import Http, Stage
from sanic.server import HttpProtocol

from carawayhitch import codecs
from carawayhitch.core import result_codes

# Interval between reads of the connections refused for overload. The resulting
# 200 refusals per second use less than a tenth of a CPU core.
REFUSED_READ_INTERVAL_SECONDS = 0.005
# Upper bound on the delay of one read, also for a caller that waits for the
# Retry-After time of 1 s before it sends again.
REFUSED_READ_MAX_DELAY_SECONDS = 5.0


class ResponseHeaders(Header):
    """Headers of a response without the empty ``Alt-Svc`` that sanic sets."""

    def __setitem__(self, name: str, value: Any) -> None:
        """Set a header, unless it is an empty ``Alt-Svc``."""
        if value or name != "alt-svc":
            super().__setitem__(name, value)


class CallerHttp(Http):
    """sanic's HTTP/1.1 stream without the header that is meant for HTTP/3.

    sanic sets ``Alt-Svc`` on every response and removes this statement at the start
    only when it rewrites its source (``TOUCHUP``), which entries leave out.
    """

    __slots__ = ()

    async def http1_response_header(self, data: bytes, end_stream: bool) -> None:
        """Send the status line and the headers, and the first part of the body."""
        response: Any = self.response
        response.headers = ResponseHeaders(response.headers)
        await super().http1_response_header(data, end_stream)


class CallerProtocol(HttpProtocol):
    """sanic's HTTP connection with limits on connections and on slow senders.

    sanic restarts its request timeout with every byte received, so that a caller that
    sends one byte per minute would keep its connection open indefinitely.
    """

    HTTP_CLASS = CallerHttp
    # sanic's metaclass allows no instance attributes other than slots.
    __slots__ = ("_read_at", "_refused", "_resumed", "is_paused")

    def __init__(self, **keywords: Any) -> None:
        super().__init__(**keywords)
        self._resumed = asyncio.Event()
        self._resumed.set()
        self._refused = False
        self._read_at = 0.0
        self.is_paused = False

    def connection_made(self, transport: Any) -> None:
        """Accept the connection, or refuse it if the limit is reached."""
        node = self.app.ctx.node
        if len(self.connections) >= node.settings.limits.connections:
            self._refused = True
            node.count(result_codes.ENTRY_OVERLOADED, "")
            node.log.info("connection refused", code="ENTRY_OVERLOADED")
            transport.write(_encode_refusal(result_codes.ENTRY_OVERLOADED))
            transport.close()
            return
        super().connection_made(transport)
        transport.set_write_buffer_limits(high=node.settings.streams.buffer_bytes)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the call of this connection; a refused connection has none."""
        if not self._refused:
            super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Process bytes; the request timeout runs from the first byte of the head."""
        if self._refused:
            return
        started_at = self._time
        super().data_received(data)
        if self.http is not None and self.http.stage is Stage.REQUEST:
            self._time = started_at

    def defer_reading(self) -> None:
        """Delay reading the next request of a caller that was refused for overload.

        Callers that retry immediately would otherwise take CPU time from running
        streams: 180 of them raised the p95 interval between tokens from 24 to 75 ms.
        """
        context = self.app.ctx
        now = self.loop.time()
        next_read_at = max(now, context.refused_read_at) + REFUSED_READ_INTERVAL_SECONDS
        context.refused_read_at = self._read_at = min(
            next_read_at, now + REFUSED_READ_MAX_DELAY_SECONDS
        )

    async def receive_more(self) -> None:
        """Wait for bytes, after the delay that follows a refusal for overload."""
        delay = self._read_at - self.loop.time()
        if delay > 0:
            transport: Any = self.transport
            transport.pause_reading()
            await asyncio.sleep(delay)
        await super().receive_more()

    def pause_writing(self) -> None:
        """Mark the connection as paused, as its write buffer is above the limit."""
        self.is_paused = True
        self._resumed.clear()
        super().pause_writing()

    def resume_writing(self) -> None:
        """Mark the connection as writable, as its write buffer has drained."""
        self.is_paused = False
        self._resumed.set()
        super().resume_writing()

    async def writable(self) -> None:
        """Wait until the write buffer has drained."""
        await self._resumed.wait()


def _encode_refusal(code: result_codes.ResultCode) -> bytes:
    body = codecs.encode_error_body(code, code.meaning)
    head = (
        f"HTTP/1.1 {code.http_status} Refused\r\ncontent-type: application/json\r\n"
        f"carawayhitch-ran: {code.ran}\r\nretry-after: 1\r\nconnection: close\r\n"
        f"content-length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body
