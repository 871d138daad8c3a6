"""HTTP client sessions without the library limits that break long streams."""

from __future__ import annotations

import aiohttp

from carawayhitch.core import settings as settings_types

READ_BUFFER_BYTES = 65536


def open_session(
    settings: settings_types.Settings, fresh_connections: bool
) -> aiohttp.ClientSession:
    """Return a client session.

    aiohttp allows 100 connections and 300 s a call unless told otherwise, and sends an
    idempotent method again by itself when a reused connection closes. Calls that must
    not be repeated use a session with fresh connections, which cannot do that.
    """
    connector = aiohttp.TCPConnector(
        limit=0, limit_per_host=0, force_close=fresh_connections, ttl_dns_cache=None
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
