"""Read load reports of the platform's engines and copy memory of generations."""

from __future__ import annotations

from contextlib import suppress
from typing import Any, NotRequired, TypedDict

import aiohttp
import msgspec

from carawayhitch.backends import BodyTooLargeError, CallContent, read_limited
from carawayhitch.core import actions, events
from carawayhitch.platform import _calls, _names, _notices

REPORT_TIMEOUT = aiohttp.ClientTimeout(total=1.0)
# Values in a report are a few hundred milliseconds old.
REPORT_LAG_SECONDS = 0.5
# A report lists some dozen running requests.
BODY_BYTES_LIMIT = 262_144


class ReportBody(TypedDict):
    """Load report of an engine.

    ``kvUsed`` excludes cached prompts, because the engine evicts them when it needs
    memory.
    """

    queued: _names.Count
    active: _names.Count
    kvUsed: _names.Count
    kvTotal: _names.Count
    born: NotRequired[_names.UnixMilliseconds]
    state: NotRequired[str]
    # Time until the engine stops, in milliseconds.
    leaves_ms: NotRequired[_names.Milliseconds | None]
    coldLeftMs: NotRequired[_names.Milliseconds | None]
    runs: NotRequired[list[Any]]


_report_decoder = msgspec.json.Decoder(ReportBody)


async def read_report(
    session: aiohttp.ClientSession, upstream_id: str, address: str, now: float
) -> events.LoadReported | events.LoadUnavailable:
    """Read the load report of an engine."""
    try:
        url = f"http://{address}{_names.REPORT_PATH}"
        async with session.get(url, timeout=REPORT_TIMEOUT) as response:
            response.raise_for_status()
            announces_leaving = _notices.announces_leaving(response)
            cold_seconds = _notices.announced_cold_seconds(response)
            body = _report_decoder.decode(
                await read_limited(response, BODY_BYTES_LIMIT)
            )
    except (
        aiohttp.ClientError,
        TimeoutError,
        OSError,
        msgspec.MsgspecError,
        RecursionError,
        BodyTooLargeError,
    ) as error:
        return events.LoadUnavailable(upstream_id, repr(error)[:200])
    return events.LoadReported(
        upstream_id=upstream_id,
        reported_at=now - REPORT_LAG_SECONDS,
        memory_capacity=int(body["kvTotal"]),
        memory_used=int(body["kvUsed"]),
        running_count=int(body["active"]),
        running_limit=0,
        waiting_count=int(body["queued"]),
        preemption_count=0,
        leaving=announces_leaving or body.get("state") == _names.DRAINING,
        polled_at=now,
        incarnation=body.get("born", 0),
        leaves_at=_stop_time(body, now),
        cold_until=_end_of_cold_time(body, cold_seconds, now),
    )


def _stop_time(body: ReportBody, now: float) -> float:
    leaves_ms = body.get("leaves_ms")
    if leaves_ms is None:
        return 0.0
    # The remaining time counts from when the engine sampled the values.
    return now - REPORT_LAG_SECONDS + leaves_ms / 1000.0


def _end_of_cold_time(body: ReportBody, header_seconds: float, now: float) -> float:
    """Return the end of the time for which the engine is cold; 0 if it is not.

    The header is as old as the response, the body as old as the other values.
    """
    body_seconds = (body.get("coldLeftMs") or 0.0) / 1000.0 - REPORT_LAG_SECONDS
    cold_seconds = max(header_seconds, body_seconds)
    return now + cold_seconds if cold_seconds > 0 else 0.0


class MoveResponseBody(TypedDict):
    """Response to a move request.

    ``created`` is the number of events that the generation has produced so far.
    """

    handle: NotRequired[str]
    created: NotRequired[_names.Count]


_move_response_decoder = msgspec.json.Decoder(MoveResponseBody)
GENERATION_NOT_FOUND_STATUS = 404


async def release_memory(
    session: aiohttp.ClientSession, action: actions.ReleaseMemory
) -> None:
    """Free a copy of a generation's memory at the engines that hold it.

    Errors are ignored, because engines free unused copies later by themselves.
    """
    for address in action.addresses:
        url = f"http://{address}{_names.HANDLE_PATH}/{action.handle}"
        with suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with session.delete(url, timeout=REPORT_TIMEOUT):
                continue


async def copy_memory(
    session: aiohttp.ClientSession,
    content: CallContent,
    action: actions.CopyMemory,
    now: float,
) -> events.MemoryCopied:
    """Copy the memory of a running generation to another engine.

    Parameters
    ----------
    content : CallContent
        Content of the call; the engine identifies the generation by its request id.
    """

    def answer(outcome: Any, handle: str = "") -> events.MemoryCopied:
        return events.MemoryCopied(
            action.request_id,
            action.attempt,
            action.is_final,
            outcome,
            handle,
            (action.address, action.target_address),
        )

    body = {
        "id": _calls.caller_request_id(content.headers),
        "target": action.target_address,
        "last": action.is_final,
    }
    timeout = aiohttp.ClientTimeout(total=max(0.1, action.deadline - now))
    try:
        async with session.post(
            f"http://{action.address}{_names.MOVE_PATH}",
            data=msgspec.json.encode(body),
            headers={"Content-Type": "application/json"},
            timeout=timeout,
        ) as response:
            status = response.status
            received = await read_limited(response, BODY_BYTES_LIMIT)
    except (aiohttp.ClientError, TimeoutError, OSError, BodyTooLargeError):
        return answer("unknown")
    if status == GENERATION_NOT_FOUND_STATUS:
        return answer("gone")
    try:
        handle = _move_response_decoder.decode(received).get("handle", "")
    except (msgspec.MsgspecError, RecursionError):
        handle = ""
    if status != 200:
        return answer("refused", handle)
    return answer("copied", handle) if handle else answer("unknown")
