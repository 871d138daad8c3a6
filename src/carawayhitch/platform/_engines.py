"""Model engines of the platform: load reports."""

from __future__ import annotations

from typing import Any, NotRequired, TypedDict

import aiohttp
import msgspec

from carawayhitch.core import events
from carawayhitch.platform import _names

REPORT_TIMEOUT = aiohttp.ClientTimeout(total=1.0)
# Reports hold the values of some hundred milliseconds ago.
REPORT_LAG_SECONDS = 0.5
DRAINING = "draining"


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
    leaves_ms = body.get("leaves_ms")
    return events.LoadReported(
        upstream_id=upstream_id,
        reported_at=now - REPORT_LAG_SECONDS,
        memory_capacity=body["kvTotal"],
        memory_used=body["kvUsed"],
        running_count=body["active"],
        running_limit=0,
        waiting_count=body["queued"],
        preemption_count=0,
        leaving=body.get("state") == DRAINING,
        polled_at=now,
        incarnation=body.get("born", 0),
        leaves_at=now + leaves_ms / 1000.0 if leaves_ms is not None else 0.0,
    )
