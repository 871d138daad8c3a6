"""HTTP client sessions without the library limits that break long streams."""

from __future__ import annotations

from functools import partial
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from carawayhitch.core import settings as settings_types

READ_BUFFER_BYTES = 65536
# The library's default.
IDLE_SECONDS = 15.0


class StrictResponseHandler(ResponseHandler):
    """aiohttp's connection that tells a reset from the end of an answer.

    aiohttp 3.14 takes any end of a connection for the end of an answer without a
    length, so that an answer cut by a reset would look complete.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the answer, as broken if the connection was not closed in order."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError(f"connection lost in the answer: {exc!r}")
            )
        super().connection_lost(exc)


class StrictConnector(aiohttp.TCPConnector):
    """aiohttp's connector with connections that notice resets."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        factory: Any = partial(StrictResponseHandler, loop=self._loop)
        self._factory = factory


def open_session(
    settings: settings_types.Settings,
    fresh_connections: bool,
    idle_seconds: float = IDLE_SECONDS,
) -> aiohttp.ClientSession:
    """Return a client session.

    Parameters
    ----------
    fresh_connections : bool
        Whether each call has a connection of its own.
    idle_seconds : float
        Time after which an idle connection is not used again.

    aiohttp allows 100 connections and 300 s a call unless told otherwise. Calls that
    must not be repeated use a session with fresh connections and `send_once`.
    """
    # The library refuses a time for connections that are not kept.
    kept = {} if fresh_connections else {"keepalive_timeout": idle_seconds}
    connector = StrictConnector(
        limit=0,
        limit_per_host=0,
        force_close=fresh_connections,
        ttl_dns_cache=None,
        **kept,
    )
    timeout = aiohttp.ClientTimeout(
        total=None, sock_connect=settings.streams.connect_timeout_seconds
    )
    return aiohttp.ClientSession(
        connector=connector,
        timeout=timeout,
        auto_decompress=False,
        read_bufsize=READ_BUFFER_BYTES,
        cookie_jar=aiohttp.DummyCookieJar(),
    )


def send_once() -> Any:
    """Return a middleware for one call that lets the library send it only once.

    aiohttp 3.14 sends GET, HEAD, PUT and DELETE again when a connection closes without
    an answer, on fresh connections as well. The second time, this middleware raises
    the error of the first time instead.
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
