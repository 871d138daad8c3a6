"""HTTP client sessions without aiohttp's limits, which break long streams."""

from __future__ import annotations

from functools import partial
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from carawayhitch.core import settings as settings_types

READ_BUFFER_BYTES = 65536
# Default of aiohttp.
DEFAULT_IDLE_SECONDS = 15.0


class ResetDetectingResponseHandler(ResponseHandler):
    """Protocol of a client connection that reports a reset as an error.

    aiohttp 3.14 treats any end of the connection as the end of a response without a
    length, so a response truncated by a reset would look complete.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the response, with an error if the connection was not closed cleanly."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError(
                    f"connection lost during the response: {exc!r}"
                )
            )
        super().connection_lost(exc)


class ResetDetectingConnector(aiohttp.TCPConnector):
    """TCP connector whose connections report resets as errors."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        factory: Any = partial(ResetDetectingResponseHandler, loop=self._loop)
        self._factory = factory


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
    keepalive_options = {} if fresh_connections else {"keepalive_timeout": idle_seconds}
    connector = ResetDetectingConnector(
        limit=0,
        limit_per_host=0,
        force_close=fresh_connections,
        ttl_dns_cache=None,
        **keepalive_options,
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
