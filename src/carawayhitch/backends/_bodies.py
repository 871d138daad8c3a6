"""Reading of response bodies up to a limit, so that no sender can fill the memory."""

from __future__ import annotations

from collections.abc import Callable

import aiohttp

from carawayhitch.core import errors, result_codes


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
) -> bytes:
    """Return the complete body of a response.

    Parameters
    ----------
    handle_progress : callable
        Is called after each part of the body.

    Raises
    ------
    BodyTooLargeError
        If the body or its declared length exceeds the limit.
    """
    if (response.content_length or 0) > limit_bytes:
        raise BodyTooLargeError(limit_bytes)
    body = bytearray()
    async for part in response.content.iter_any():
        body += part
        if len(body) > limit_bytes:
            raise BodyTooLargeError(limit_bytes)
        handle_progress()
    return bytes(body)
