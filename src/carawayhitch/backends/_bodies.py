"""Reading of response bodies up to a limit, so that no sender can fill the memory."""

from __future__ import annotations

from collections.abc import Callable

import aiohttp

from carawayhitch.backends._body_memory import BodyMemory
from carawayhitch.core import errors, result_codes

# Longer than callers that do not read their answers keep their memory; servers cut off
# what nobody reads for seconds.
MEMORY_WAIT_SECONDS = 4.0


class BodyTooLargeError(errors.MalformedMessageError):
    """A response body exceeds its limit and was not read to its end."""

    def __init__(self, limit_bytes: int) -> None:
        super().__init__(
            result_codes.ANSWER_TOO_LARGE,
            f"body exceeds {limit_bytes} bytes; the connection was closed",
        )


async def read_limited(
    response: aiohttp.ClientResponse,
    limit_bytes: int,
    handle_progress: Callable[[], None] = lambda: None,
    memory: BodyMemory | None = None,
) -> bytes:
    """Return the complete body of a response.

    Parameters
    ----------
    handle_progress : callable
        Is called after each part of the body.
    memory : BodyMemory, optional
        Memory that the body takes while it is received.

    Raises
    ------
    BodyTooLargeError
        If the body or its declared length exceeds the limit or the memory.
    """
    if (response.content_length or 0) > limit_bytes:
        raise BodyTooLargeError(limit_bytes)
    body = bytearray()
    try:
        async for part in response.content.iter_any():
            size = len(body) + len(part)
            if size > limit_bytes:
                raise BodyTooLargeError(limit_bytes)
            if memory is not None and not await memory.reserve_in_time(
                size, len(body), MEMORY_WAIT_SECONDS
            ):
                raise BodyTooLargeError(len(body))
            body += part
            handle_progress()
        return bytes(body)
    finally:
        if memory is not None:
            memory.release(len(body))
