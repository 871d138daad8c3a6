"""Connections of callers: bounded in number, in time and in memory."""

from __future__ import annotations

import asyncio
from typing import Any

from sanic.http import Stage
from sanic.server import HttpProtocol

from carawayhitch import codecs
from carawayhitch.core import result_codes

# Refused callers are read in turn at this interval: 200 refusals a second take less
# than a tenth of a core.
REFUSED_READ_INTERVAL_SECONDS = 0.005
# The most that a caller who waits for Retry-After (1 s) or longer can be delayed.
REFUSED_READ_LIMIT_SECONDS = 5.0


class CallerProtocol(HttpProtocol):
    """sanic's connection with a limit on connections and on slow senders.

    sanic renews its request timeout with every byte, so that a caller which sends one
    byte a minute would hold its connection forever.
    """

    # sanic's metaclass leaves no attributes but slots.
    __slots__ = ("_read_at", "_refused", "_resumed", "is_paused")

    def __init__(self, **keywords: Any) -> None:
        super().__init__(**keywords)
        self._resumed = asyncio.Event()
        self._resumed.set()
        self._refused = False
        self._read_at = 0.0
        self.is_paused = False

    def connection_made(self, transport: Any) -> None:
        """Take the connection, or refuse it if there are too many."""
        node = self.app.ctx.node
        if len(self.connections) >= node.settings.limits.connections:
            self._refused = True
            node.count(result_codes.ENTRY_OVERLOADED, "")
            node.log.info("connection refused", code="ENTRY_OVERLOADED")
            transport.write(_refusal(result_codes.ENTRY_OVERLOADED))
            transport.close()
            return
        super().connection_made(transport)
        transport.set_write_buffer_limits(high=node.settings.streams.buffer_bytes)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the call of this connection."""
        if not self._refused:
            super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Take bytes; the time of a request's headers runs from their first byte."""
        if self._refused:
            return
        started_at = self._time
        super().data_received(data)
        if self.http is not None and self.http.stage is Stage.REQUEST:
            self._time = started_at

    def defer_reading(self) -> None:
        """Read the next request of a caller refused for overload later.

        Callers that send again at once would otherwise take the time that running
        streams need: 180 of them raised the p95 gap between tokens from 24 to 75 ms.
        """
        context = self.app.ctx
        now = self.loop.time()
        slot = max(now, context.refused_read_at) + REFUSED_READ_INTERVAL_SECONDS
        context.refused_read_at = self._read_at = min(
            slot, now + REFUSED_READ_LIMIT_SECONDS
        )

    async def receive_more(self) -> None:
        """Wait for bytes, after a refusal for overload not before its time."""
        delay = self._read_at - self.loop.time()
        if delay > 0:
            transport: Any = self.transport
            transport.pause_reading()
            await asyncio.sleep(delay)
        await super().receive_more()

    def pause_writing(self) -> None:
        """Note that the caller has not taken what was written."""
        self.is_paused = True
        self._resumed.clear()
        super().pause_writing()

    def resume_writing(self) -> None:
        """Note that the caller has taken what was written."""
        self.is_paused = False
        self._resumed.set()
        super().resume_writing()

    async def writable(self) -> None:
        """Wait until the caller has taken what was written."""
        await self._resumed.wait()


def _refusal(code: result_codes.ResultCode) -> bytes:
    body = codecs.encode_error_body(code, code.meaning)
    head = (
        f"HTTP/1.1 {code.http_status} Refused\r\ncontent-type: application/json\r\n"
        f"carawayhitch-ran: {code.ran}\r\nretry-after: 1\r\nconnection: close\r\n"
        f"content-length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body
