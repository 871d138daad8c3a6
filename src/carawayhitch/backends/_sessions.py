"""HTTP client sessions with this system's limits instead of those of aiohttp."""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from functools import partial
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from carawayhitch.core import settings as settings_types

READ_BUFFER_BYTES = 65536
SMALL_READ_BUFFER_BYTES = 16_384
# uvloop reads up to 256 kB at once of what the kernel holds; the kernel doubles this.
RECEIVE_BUFFER_BYTES = 32_768
# Default of aiohttp.
DEFAULT_IDLE_SECONDS = 15.0


# Bytes of a response beyond its body: heads, informational responses, chunk sizes and
# trailers. The parser of aiohttp may also hold one block of the socket, 0.25 MB.
FRAMING_BYTES_LIMIT = 1_048_576
# The shortest chunk has one byte of the body and five bytes of framing.
FRAMING_BYTES_PER_BODY_BYTE = 8
# Requests here ask for no informational responses, so more than a few are a fault.
INFORMATIONAL_RESPONSE_LIMIT = 16
LOWEST_FINAL_STATUS = 200
SWITCHING_PROTOCOLS_STATUS = 101


class EndlessResponseError(aiohttp.ClientPayloadError):
    """A connection brings bytes without end that are no part of a response's body."""


class StrictResponseHandler(ResponseHandler):
    """Protocol of a client connection that accepts one complete response a request.

    aiohttp 3.14 treats any end of the connection as the end of a response without a
    length, so a response truncated by a reset would look complete. It also takes bytes
    that arrive between two requests for the response to the second one, so a response
    that an upstream sends twice would reach the next caller; and it reads chunk
    extensions and informational responses without end.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._informational_count = 0
        self._has_final_response = False
        self._received_bytes = 0

    def set_response_params(self, **parameters: Any) -> None:
        """Prepare for the response to the next request."""
        self._informational_count = 0
        self._has_final_response = False
        self._received_bytes = 0
        super().set_response_params(**parameters)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Pass on the head of a response, except one that no request is waiting for."""
        status = data[0].code
        if status < LOWEST_FINAL_STATUS and status != SWITCHING_PROTOCOLS_STATUS:
            self._informational_count += 1
            if self._informational_count > INFORMATIONAL_RESPONSE_LIMIT:
                self._end_with(
                    f"more than {INFORMATIONAL_RESPONSE_LIMIT} informational responses"
                )
        elif self._has_final_response:
            # Not used for another request: the connection is one response ahead.
            self._should_close = True
            return
        else:
            self._has_final_response = True
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close a connection that brings unsolicited ones."""
        # aiohttp also calls this without data, to resume a paused parser.
        if data and self._is_idle():
            self._should_close = True
            self.abort()
            return
        self._received_bytes += len(data)
        super().data_received(data)
        if self._received_bytes <= FRAMING_BYTES_LIMIT or self._has_ended():
            return
        body_bytes = self._payload.total_bytes if self._payload is not None else 0
        allowed = FRAMING_BYTES_LIMIT + FRAMING_BYTES_PER_BODY_BYTE * body_bytes
        if self._received_bytes - body_bytes > allowed:
            self._end_with(f"more than {allowed} bytes beside a body of {body_bytes}")

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Resume reading, if it is paused.

        aiohttp calls this after every read of a body and would parse again each time.
        """
        if self._reading_paused or self._buffer_paused:
            super().resume_reading(resume_parser)

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the response, with an error if the connection was not closed cleanly."""
        if exc is not None:
            message = f"connection lost during the response: {exc!r}"
            self._fail_payload(aiohttp.ClientPayloadError(message))
        super().connection_lost(exc)

    def _has_ended(self) -> bool:
        payload = self._payload
        return self._has_final_response and payload is not None and payload.is_eof()

    def _is_idle(self) -> bool:
        """Return whether no request waits for a response on this connection."""
        return self._parser is None or self._has_ended()

    def _fail_payload(self, error: aiohttp.ClientPayloadError) -> None:
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(error)

    def _end_with(self, message: str) -> None:
        error = EndlessResponseError(message)
        self._fail_payload(error)
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()


class StrictConnector(aiohttp.TCPConnector):
    """TCP connector whose connections use `StrictResponseHandler`."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        factory: Any = partial(StrictResponseHandler, loop=self._loop)
        self._factory = factory


def _open_small_socket(address: Any) -> socket.socket:
    """Return a socket that takes little of an answer in advance.

    What is received and not yet read counts toward the memory of a machine.
    """
    family, kind, protocol, *_ = address
    opened = socket.socket(family, kind, protocol)
    with suppress(OSError):
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    return opened


def open_session(
    settings: settings_types.Settings,
    fresh_connections: bool,
    idle_seconds: float = DEFAULT_IDLE_SECONDS,
) -> aiohttp.ClientSession:
    """Open a client session without limits on connections and total time.

    The defaults of aiohttp are 100 connections and 300 s per request. Calls that must
    not be repeated use a session with fresh connections and `single_send_middleware`.

    Parameters
    ----------
    fresh_connections : bool
        Whether to open a new connection for each call.
    idle_seconds : float
        Time after which an idle connection is closed instead of reused.
    """
    # aiohttp rejects keepalive_timeout together with force_close.
    options: dict[str, Any] = (
        {} if fresh_connections else {"keepalive_timeout": idle_seconds}
    )
    read_buffer_bytes = READ_BUFFER_BYTES
    if settings.limits.memory_megabytes:
        read_buffer_bytes = SMALL_READ_BUFFER_BYTES
        options["socket_factory"] = _open_small_socket
    connector = StrictConnector(
        limit=0,
        limit_per_host=0,
        force_close=fresh_connections,
        ttl_dns_cache=None,
        **options,
    )
    timeout = aiohttp.ClientTimeout(
        total=None, sock_connect=settings.streams.connect_timeout_seconds
    )
    return aiohttp.ClientSession(
        connector=connector,
        timeout=timeout,
        auto_decompress=False,
        read_bufsize=read_buffer_bytes,
        cookie_jar=aiohttp.DummyCookieJar(),
    )


def single_send_middleware() -> Any:
    """Return a middleware for one call that prevents aiohttp from sending it again.

    aiohttp 3.14 repeats GET, HEAD, PUT and DELETE when a connection closes without a
    response, even on fresh connections. On the second attempt, this middleware raises
    the error of the first attempt instead.
    """
    failures: list[BaseException] = []

    async def forward(request: Any, handler: Any) -> aiohttp.ClientResponse:
        if failures:
            raise failures[0]
        try:
            return await handler(request)
        except BaseException as error:
            failures.append(error)
            raise

    return forward
