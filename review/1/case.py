"""Streams without a length that are moved from a draining engine to another one."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins import (  # noqa: E402
    MODEL_SERVICE,
    Case,
    Response,
    event_ids,
    fetch,
    run,
)

EVENT_COUNT = 60
ENGINE_COUNT = 6
STREAM_COUNT = 18


async def draft(case: Case, number: int) -> Response:
    """Ask an entry for one restoration quote and record what came."""
    entry = case.entries[number % len(case.entries)]
    headers = case.prompt_headers(39_000, 1000, 4 * EVENT_COUNT)
    request_id = headers["Carawayhitch-Request-Id"]
    path = f"/draft/{number}?events={EVENT_COUNT}"
    case.record(f"client sends {request_id} to {entry.name}")
    response = await fetch(entry.address, "POST", path, headers, b"prompt", 40.0)
    ids = event_ids(response.body)
    case.record(
        f"client has {request_id}: status {response.status}, {len(ids)} events of "
        f"{EVENT_COUNT}, complete by its framing: {response.complete}"
    )
    return response


async def play(case: Case) -> bool:
    """Return whether a stream ended as complete before its last piece."""
    services = [MODEL_SERVICE] * ENGINE_COUNT
    await case.start(["cairo-a", "cairo-b", "cairo-c"], services)
    for server in case.servers:
        server.unframed = True
    tasks = []
    for number in range(STREAM_COUNT):
        tasks.append(asyncio.create_task(draft(case, number)))
        await asyncio.sleep(0.05)
    await asyncio.sleep(0.5)
    leaving = max(case.servers, key=lambda server: len(server.generations))
    if case.trouble:
        leaving.drain(8.0)
    responses = await asyncio.gather(*tasks)
    moved = sum(one.continued for server in case.servers for one in server.runs)
    case.record(f"{moved} streams went on at another server")
    return any(
        response.complete and len(event_ids(response.body)) < EVENT_COUNT
        for response in responses
        if response.status == 200
    )


if __name__ == "__main__":
    run(FOLDER, play)
