"""Model engines of the platform: load reports and moves of generations."""

from __future__ import annotations

from contextlib import suppress
from typing import Any, NotRequired, TypedDict

import aiohttp
import msgspec

from carawayhitch.backends import CallContent
from carawayhitch.core import actions, events
from carawayhitch.platform import _calls, _names

REPORT_TIMEOUT = aiohttp.ClientTimeout(total=1.0)
# Reports hold the values of some hundred milliseconds ago.
REPORT_LAG_SECONDS = 0.5


class ReportBody(TypedDict):
    """Load of an engine. ``kvUsed`` leaves out cached prompts, which yield."""

    queued: int
    active: int
    kvUsed: int
    kvTotal: int
    born: NotRequired[int]
    state: NotRequired[str]
    # Time until the engine is gone, in milliseconds.
    leaves_ms: NotRequired[float | None]
    runs: NotRequired[list[Any]]


_report_decoder = msgspec.json.Decoder(ReportBody)


async def read_report(
    session: aiohttp.ClientSession, upstream_id: str, address: str, now: float
) -> events.LoadReported | events.LoadUnavailable:
    """Return the load of an engine."""
    try:
        url = f"http://{address}{_names.REPORT_PATH}"
        async with session.get(url, timeout=REPORT_TIMEOUT) as response:
            response.raise_for_status()
            body = _report_decoder.decode(await response.read())
    except (aiohttp.ClientError, TimeoutError, OSError, msgspec.MsgspecError) as error:
        return events.LoadUnavailable(upstream_id, repr(error)[:200])
    return events.LoadReported(
        upstream_id=upstream_id,
        reported_at=now - REPORT_LAG_SECONDS,
        memory_capacity=body["kvTotal"],
        memory_used=body["kvUsed"],
        running_count=body["active"],
        running_limit=0,
        waiting_count=body["queued"],
        preemption_count=0,
        leaving=body.get("state") == _names.DRAINING,
        polled_at=now,
        incarnation=body.get("born", 0),
        leaves_at=_leaves_at(body, now),
    )


def _leaves_at(body: ReportBody, now: float) -> float:
    leaves_ms = body.get("leaves_ms")
    if leaves_ms is None:
        return 0.0
    # The time that was left when the values were taken.
    return now - REPORT_LAG_SECONDS + leaves_ms / 1000.0


class MovedBody(TypedDict):
    """Answer to a move; ``created`` is the number of events made so far."""

    handle: NotRequired[str]
    created: NotRequired[int]


_moved_decoder = msgspec.json.Decoder(MovedBody)
# Statuses of a move other than success.
NO_SUCH_RUN = 404


async def release_memory(
    session: aiohttp.ClientSession, action: actions.ReleaseMemory
) -> None:
    """Free a copy of a generation's memory; engines free it later by themselves."""
    for address in action.addresses:
        url = f"http://{address}{_names.HANDLE_PATH}/{action.handle}"
        with suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with session.delete(url, timeout=REPORT_TIMEOUT) as response:
                await response.read()


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
        The call, whose id names the generation at the engine.
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
        "id": _calls.sent_request_id(content.headers),
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
            received = await response.read()
    except (aiohttp.ClientError, TimeoutError, OSError):
        return answer("unknown")
    if status == NO_SUCH_RUN:
        return answer("gone")
    try:
        handle = _moved_decoder.decode(received).get("handle", "")
    except msgspec.MsgspecError:
        handle = ""
    if status != 200:
        return answer("refused", handle)
    return answer("copied", handle) if handle else answer("unknown")
