"""Connections of clients with limits on their number, time and buffered bytes."""

from __future__ import annotations

import asyncio
import fcntl
import resource
import termios
from collections.abc import AsyncIterator
from itertools import count
from typing import Any

from sanic import Request
from sanic.compat import Header
from sanic.http import Http, Stage
from sanic.server import HttpProtocol

from carawayhitch import codecs
from carawayhitch.backends import (
    SMALL_BODY_BYTES,
    STREAM_READ_BYTES,
    RequestBody,
    write_buffer_bytes,
)
from carawayhitch.core import result_codes, rows
from carawayhitch.core import settings as settings_types
from carawayhitch.frontend._receiving import discard_answered_body, receive_body

# Interval between reads of the connections refused for overload. The resulting
# 200 refusals per second use less than a tenth of a CPU core.
REFUSED_READ_INTERVAL_SECONDS = 0.005
# Upper bound on the delay of one read, also for a caller that waits for the
# Retry-After time of 1 s before it sends again.
REFUSED_READ_MAX_DELAY_SECONDS = 5.0
# Descriptors that the platform reserves for files.
FILE_DESCRIPTORS = 200
# Share of the others for clients; the rest is for upstreams, the store and peers.
CLIENT_DESCRIPTOR_SHARE = 0.75
MINIMUM_CONNECTIONS = 8
# Part of the connections that are closed at once when there are too many.
CLOSED_PART = 16
# A stream that is not read also fills the read buffers of its upstream connection.
UNREAD_STREAM_BYTES = 4 * STREAM_READ_BYTES
# A timer that is this late was held up by a pause of the process, not by the client.
TIMER_TOLERANCE_SECONDS = 1.0

_connection_ids = count(1)


class CountedRequest(Request):
    """Request whose body is received within the limits on all routes."""

    __slots__ = ()

    async def receive_body(self) -> None:
        """Receive the body; sanic calls this on routes without ``stream=True``."""
        if not self.body:
            await receive_body(self.app.ctx.node, self)


def connection_limit(limits: settings_types.LimitSettings) -> int:
    """Return the number of client connections that may be open at all listeners."""
    descriptors = limits.descriptors
    if not descriptors:
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        return limits.connections
    sockets = int(CLIENT_DESCRIPTOR_SHARE * (descriptors - FILE_DESCRIPTORS))
    return min(limits.connections, max(MINIMUM_CONNECTIONS, sockets))


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
        protocol: Any = self.protocol
        protocol.note_answer()
        if self.expecting_continue:
            # The client has no leave to send its body, and may send none, so that the
            # bytes that follow cannot be told from a new request.
            self.expecting_continue = self.keep_alive = False
        response: Any = self.response
        response.headers = ResponseHeaders(response.headers)
        await super().http1_response_header(data, end_stream)

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Return the parts of the body; none once the call is answered.

        sanic then reads the rest of the body, with a time limit that each byte renews.
        """
        if self.stage is Stage.IDLE:
            protocol: Any = self.protocol
            await discard_answered_body(self, protocol.app.ctx.node.settings.limits)
            return
        async for part in super().__aiter__():
            yield part


class CallerProtocol(HttpProtocol):
    """sanic's HTTP connection with limits on connections and on slow clients.

    sanic restarts its request timeout with every byte received, so that a caller that
    sends one byte per minute would keep its connection open indefinitely.
    """

    HTTP_CLASS = CallerHttp
    # sanic's metaclass allows no instance attributes other than slots.
    __slots__ = (
        "_answer_bytes",
        "_body",
        "_buffered_bytes",
        "_connection_id",
        "_has_answered",
        "_moved_bytes",
        "_progress_bytes",
        "_progressed_at",
        "_read_at",
        "_receive_limit",
        "_refused",
        "_resumed",
        "_unread_timer",
        "displaced_code",
        "is_paused",
        "relays_stream",
    )

    def __init__(self, **keywords: Any) -> None:
        super().__init__(**keywords)
        self.request_class = CountedRequest
        self._resumed = asyncio.Event()
        self._resumed.set()
        self._refused = False
        self._read_at = 0.0
        self.is_paused = False
        self.relays_stream = False
        self._has_answered = False
        self.displaced_code: result_codes.ResultCode | None = None
        self._connection_id = next(_connection_ids)
        # Bytes that `_count_buffers` and `hold_answer` have taken from the memory.
        self._buffered_bytes = 0
        self._answer_bytes = 0
        self._body: RequestBody | None = None
        self._receive_limit: asyncio.Timeout | None = None
        self._unread_timer: asyncio.TimerHandle | None = None
        self._moved_bytes = 0
        self._progress_bytes = self._limits.progress_bytes
        self._progressed_at = self._node.now()

    @property
    def _node(self) -> Any:
        return self.app.ctx.node

    @property
    def _limits(self) -> settings_types.LimitSettings:
        return self._node.settings.limits

    def connection_made(self, transport: Any) -> None:
        """Accept the connection, or refuse it if too many are open that move."""
        node = self._node
        limit = connection_limit(self._limits)
        if len(node.connections_by_id) >= limit:
            node.make_room_for_connection(1 + limit // CLOSED_PART)
        if len(node.connections_by_id) >= limit:
            self._refused = True
            node.count(result_codes.ENTRY_OVERLOADED, "")
            node.log.info("connection refused", code="ENTRY_OVERLOADED")
            transport.write(_encode_refusal(result_codes.ENTRY_OVERLOADED))
            transport.close()
            return
        super().connection_made(transport)
        node.connections_by_id[self._connection_id] = self
        transport.set_write_buffer_limits(high=write_buffer_bytes(node.settings, limit))

    def connection_lost(self, exc: Exception | None) -> None:
        """End the call of this connection; a refused connection has none."""
        if self._refused:
            return
        self._node.connections_by_id.pop(self._connection_id, None)
        super().connection_lost(exc)
        self.release_answer()
        self._count_buffers(0)

    def data_received(self, data: bytes) -> None:
        """Process bytes; the request timeout runs from the first byte of the head."""
        if self._refused:
            return
        started_at = self._time
        super().data_received(data)
        if self.http is not None and self.http.stage is Stage.REQUEST:
            self._time = started_at
        if not self.is_paused:
            self._note_progress(len(data))
        if self._body is None and len(self.recv_buffer) > SMALL_BODY_BYTES:
            self._limit_bytes_sent_ahead()

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
        if self._buffered_bytes:
            self._count_buffers(self._unwritten_bytes())
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
        self._progressed_at = self._node.now()
        self._start_unread_timer()
        self._count_buffers(self._unwritten_bytes() + self._bytes_sent_ahead())

    def resume_writing(self) -> None:
        """Mark the connection as writable, as its write buffer has drained."""
        self.is_paused = False
        self._resumed.set()
        super().resume_writing()
        self._progressed_at = self._node.now()
        if self._unread_timer is not None:
            self._unread_timer.cancel()
            self._unread_timer = None
        if self._buffered_bytes:
            self._count_buffers(self._bytes_sent_ahead())

    async def writable(self) -> None:
        """Wait until the write buffer has drained."""
        await self._resumed.wait()

    def begin_receiving(self, body: RequestBody, limit: asyncio.Timeout) -> None:
        """Count a body as held by this connection while it is received."""
        self._body, self._receive_limit = body, limit
        self._moved_bytes = 0
        self._progressed_at = self._node.now()

    def end_receiving(self) -> None:
        """Leave the body to its call."""
        self._body = self._receive_limit = None

    def note_answer(self) -> None:
        """Note that the client is sent an answer."""
        self._has_answered = True
        self._progressed_at = self._node.now()

    def hold_answer(self, size: int) -> None:
        """Count an answer as held by this connection until it is sent."""
        if self.transport is not None and not self.transport.is_closing():
            self._answer_bytes += size
            self._node.body_memory.take(size)

    def release_answer(self) -> None:
        """Free the memory of the answer."""
        self._node.body_memory.release(self._answer_bytes)
        self._answer_bytes = 0

    def describe_use(self) -> rows.ConnectionUse:
        """Return what the connection holds and when its client last moved."""
        stage = self._stage()
        body_bytes = self._body.counted_bytes if self._body is not None else 0
        progressed_at = self._progressed_at
        if self._awaits_request(stage):
            has_sent = stage == "unused" and self._has_unread_bytes()
            progressed_at = self._node.now() if has_sent else self._time
        return rows.ConnectionUse(
            self._connection_id,
            stage,
            self._buffered_bytes + self._answer_bytes + body_bytes,
            progressed_at,
        )

    def close_for(self, code: result_codes.ResultCode) -> None:
        """Close the connection; a body in receipt is refused first."""
        self._node.connections_by_id.pop(self._connection_id, None)
        if self._body is not None and self._receive_limit is not None:
            self.displaced_code = code
            self._body.abandon()
            if not self._receive_limit.expired():
                self._receive_limit.reschedule(self.loop.time())
            return
        self._abort(code)

    def _abort(self, code: result_codes.ResultCode) -> None:
        self._node.log.info("connection closed", code=code.name)
        if self.transport is not None:
            self.transport.abort()

    def _stage(self) -> rows.ConnectionStage:
        http = self.http
        if self.is_paused or self._bytes_sent_ahead():
            return "sending"
        if http is None or http.stage is Stage.IDLE or http.stage is Stage.REQUEST:
            is_reusable = self._has_answered and not self._discards_body()
            return "idle" if is_reusable else "unused"
        return "running" if self._body is None else "receiving"

    def _discards_body(self) -> bool:
        """Return whether a call was answered before its body was received."""
        http = self.http
        return self._has_answered and http is not None and bool(http.request_body)

    def _awaits_request(self, stage: rows.ConnectionStage) -> bool:
        return stage in ("unused", "idle") and not self._discards_body()

    def _has_unread_bytes(self) -> bool:
        """Return whether bytes wait in the kernel, because the event loop is late."""
        if self.transport is None or self.transport.is_closing():
            return False
        endpoint = self.transport.get_extra_info("socket")
        return any(fcntl.ioctl(endpoint.fileno(), termios.FIONREAD, bytes(4)))

    def _note_progress(self, size: int) -> None:
        self._moved_bytes += size
        if self._moved_bytes >= self._progress_bytes:
            self._moved_bytes = 0
            self._progressed_at = self._node.now()

    def _bytes_sent_ahead(self) -> int:
        """Return the received bytes that wait for the end of the running call."""
        size = len(self.recv_buffer)
        return size if self._body is None and size > SMALL_BODY_BYTES else 0

    def _unwritten_bytes(self) -> int:
        if not self.is_paused or self.transport is None:
            return 0
        size = self.transport.get_write_buffer_size()
        return size + (UNREAD_STREAM_BYTES if self.relays_stream else 0)

    def _limit_bytes_sent_ahead(self) -> None:
        """Count bytes that no call reads yet, and read no more of them."""
        if self.http is not None and self.http.stage in (Stage.HANDLER, Stage.RESPONSE):
            if self.http.request_body:
                return
            transport: Any = self.transport
            transport.pause_reading()
            self._count_buffers(self._unwritten_bytes() + self._bytes_sent_ahead())

    def _count_buffers(self, size: int) -> None:
        memory, added = self._node.body_memory, size - self._buffered_bytes
        self._buffered_bytes = size
        if added > 0:
            memory.take(added)
        else:
            memory.release(-added)

    def _start_unread_timer(self) -> None:
        seconds = self._limits.unread_timeout_seconds
        self._unread_timer = self.loop.call_later(
            seconds, self._handle_unread, self._node.now() + seconds
        )

    def _handle_unread(self, deadline: float) -> None:
        """Close the connection, unless the process itself was paused."""
        if self._node.now() > deadline + TIMER_TOLERANCE_SECONDS:
            self._start_unread_timer()
            return
        self._node.count(result_codes.ANSWER_NOT_READ, "")
        self._abort(result_codes.ANSWER_NOT_READ)


def _encode_refusal(code: result_codes.ResultCode) -> bytes:
    body = codecs.encode_error_body(code, code.meaning)
    head = (
        f"HTTP/1.1 {code.http_status} Refused\r\ncontent-type: application/json\r\n"
        f"carawayhitch-ran: {code.ran}\r\nretry-after: 1\r\nconnection: close\r\n"
        f"content-length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body
