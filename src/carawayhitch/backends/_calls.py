"""Types and helpers that all calls to upstreams share."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, NamedTuple, Protocol

import aiohttp

from carawayhitch.backends._bodies import BodyTooLargeError, read_limited
from carawayhitch.backends._body_memory import BodyMemory, RequestBody
from carawayhitch.backends._sessions import EndlessResponseError
from carawayhitch.core import errors, events, result_codes
from carawayhitch.core import settings as settings_types

# Bounds what is written at once for a caller that does not read.
STREAM_READ_BYTES = 32_768

Submit = Callable[[Any], None]


class CallContent(NamedTuple):
    """Request of a caller; kept outside the board because bodies are large."""

    method: str
    path: str
    query: str
    content_type: str
    body: RequestBody
    headers: tuple[tuple[str, str], ...] = ()


class Caller(Protocol):
    """Connection to the caller of a request, with its flow control."""

    @property
    def is_paused(self) -> bool:
        """Whether too much written data is still buffered for the caller."""

    async def writable(self) -> None:
        """Wait until the caller has read enough of the buffered data."""


class UpstreamSessions(NamedTuple):
    """HTTP sessions to upstreams, with and without connection reuse."""

    reused: aiohttp.ClientSession
    fresh: aiohttp.ClientSession


class UpstreamCall(NamedTuple):
    """One attempt to run a call on an upstream."""

    request_id: str
    attempt: int
    content: CallContent
    caller: Caller
    session: aiohttp.ClientSession
    settings: settings_types.Settings
    submit: Submit
    memory: BodyMemory | None = None


# Headers that apply to one connection and are not forwarded.
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


def new_call_failure(
    call: UpstreamCall, kind: events.FailureKind, sent: bool, detail: object = ""
) -> events.UpstreamCallFailed:
    """Return the event that reports a failed attempt.

    Parameters
    ----------
    sent : bool
        Whether the request may have reached the upstream.
    """
    return events.UpstreamCallFailed(
        call.request_id, call.attempt, kind, sent, str(detail)[:200]
    )


@contextmanager
def submit_failures(call: UpstreamCall) -> Iterator[None]:
    """Submit an event instead of raising errors that end an attempt.

    The kind of failure and whether the request may have been sent follow from the type
    of the error.
    """
    try:
        yield
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        call.submit(new_call_failure(call, "connect", False, error))
    except (BodyTooLargeError, EndlessResponseError) as error:
        call.submit(new_call_failure(call, "oversized", True, error))
    except (errors.MalformedMessageError, aiohttp.ClientPayloadError) as error:
        call.submit(new_call_failure(call, "truncated", True, error))
    except TimeoutError as error:
        call.submit(new_call_failure(call, "stalled", True, error))
    except (aiohttp.ClientError, OSError, ValueError) as error:
        call.submit(new_call_failure(call, "link_lost", True, error))


async def read_body(call: UpstreamCall, response: aiohttp.ClientResponse) -> bytes:
    """Return the complete body of a response.

    Raises
    ------
    MalformedMessageError
        If the headers do not tell where the body ends: a truncated body would look
        complete.
    BodyTooLargeError
        If the body exceeds the limit of the settings.
    TimeoutError
        If no data arrives within the stall timeout.
    """
    has_body = response.method != "HEAD" and response.status not in (204, 304)
    framing = response.headers.get("Transfer-Encoding", "").lower()
    if has_body and "Content-Length" not in response.headers and framing != "chunked":
        raise errors.MalformedMessageError(
            result_codes.ANSWER_TRUNCATED,
            "response has neither Content-Length nor chunked Transfer-Encoding",
        )
    stall_timeout = call.settings.streams.stall_timeout_seconds
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(stall_timeout) as limit:
        return await read_limited(
            response,
            call.settings.limits.answer_bytes,
            lambda: limit.reschedule(loop.time() + stall_timeout),
            call.memory,
        )
