"""Connections between a call of a caller and its upstream."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, NamedTuple, Protocol

import aiohttp

from carawayhitch.core import errors, events, result_codes
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

    @property
    def is_paused(self) -> bool:
        """Whether the caller has not taken enough of what was written."""

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


# Headers that concern one connection only.
CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def failure(
    call: UpstreamCall, kind: events.FailureKind, sent: bool, detail: object = ""
) -> events.UpstreamCallFailed:
    """Return the event of a failed attempt."""
    return events.UpstreamCallFailed(
        call.request_id, call.attempt, kind, sent, str(detail)[:200]
    )


@contextmanager
def failures_submitted(call: UpstreamCall) -> Iterator[None]:
    """Submit what ends an attempt before its answer is whole, by what it says of it."""
    try:
        yield
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        call.submit(failure(call, "connect", False, error))
    except (errors.MalformedMessageError, aiohttp.ClientPayloadError) as error:
        call.submit(failure(call, "truncated", True, error))
    except TimeoutError as error:
        call.submit(failure(call, "stalled", True, error))
    except (aiohttp.ClientError, OSError, ValueError) as error:
        call.submit(failure(call, "link_lost", True, error))


async def read_body(call: UpstreamCall, response: aiohttp.ClientResponse) -> bytes:
    """Return the whole body of an answer.

    Raises
    ------
    MalformedMessageError
        If nothing in the answer tells where its body ends: a cut would look complete.
    TimeoutError
        If no byte arrives for the stall timeout.
    """
    has_body = response.method != "HEAD" and response.status not in (204, 304)
    framing = response.headers.get("Transfer-Encoding", "").lower()
    if has_body and "Content-Length" not in response.headers and framing != "chunked":
        raise errors.MalformedMessageError(
            result_codes.ANSWER_TRUNCATED,
            "answer with neither Content-Length nor chunked Transfer-Encoding",
        )
    stall_timeout = call.settings.streams.stall_timeout_seconds
    loop = asyncio.get_running_loop()
    parts: list[bytes] = []
    async with asyncio.timeout(stall_timeout) as limit:
        async for part in response.content.iter_any():
            parts.append(part)
            limit.reschedule(loop.time() + stall_timeout)
    return b"".join(parts)
