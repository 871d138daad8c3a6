"""Connections between a call of a caller and its upstream."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

import aiohttp

from carawayhitch.core import settings as settings_types

Submit = Callable[[Any], None]


class CallContent(NamedTuple):
    """What a caller sent; kept outside the board because bodies are large."""

    method: str
    path: str
    query: str
    content_type: str
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()


class Caller(Protocol):
    """The caller's side of a call."""

    async def writable(self) -> None:
        """Wait until the caller has taken enough of what was written."""


class UpstreamSessions(NamedTuple):
    """HTTP sessions to upstreams."""

    reused: aiohttp.ClientSession
    fresh: aiohttp.ClientSession


class UpstreamCall(NamedTuple):
    """One attempt of a call at an upstream."""

    request_id: str
    attempt: int
    content: CallContent
    caller: Caller
    session: aiohttp.ClientSession
    settings: settings_types.Settings
    submit: Submit
