"""Servers are replaced one by one while serializable calls get data that is old."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path
from random import Random

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins import (  # noqa: E402
    BOUNDS,
    PLAIN_SERVICE,
    Case,
    Entry,
    Server,
    fetch,
    run,
)

# The machines of cairo-a; its server of spares-app is replaced again and again.
ENTRY_COUNT = 7
ZONE = "cairo-a"
# order-hold and stock-look in cairo-a: a third of 20.3 a second, for seven machines.
CALLS_PER_SECOND = 0.9
STALE_SECONDS = 3.0
# A server ends a little later than drainMs after the store has accepted its report.
LINGER_SECONDS = 2.7
RELEASE_COUNT = 6
PAUSE_SECONDS = 4.0


async def client(case: Case, entry: Entry, random: Random, stop: asyncio.Event) -> None:
    """Send orders to an entry at random times."""
    while not stop.is_set():
        await asyncio.sleep(random.expovariate(CALLS_PER_SECOND))
        headers = case.call_headers(1000)
        request_id = headers["Carawayhitch-Request-Id"]
        case.record(f"client sends {request_id} to {entry.name}")
        response = await fetch(entry.address, "POST", "/hold/1", headers, b"o", 2.0)
        case.record(
            f"client has {request_id} from {entry.name}: status {response.status}"
        )


def late_runs(server: Server) -> list[str]:
    """Return the requests that reached a server too late after its report."""
    limit = server.draining_at + BOUNDS["drainMs"] / 1000
    return [one.request_id for one in server.runs if one.at > limit]


async def play(case: Case) -> bool:
    """Return whether a request reached a server later than ``drainMs``."""
    leaving = await case.add_server(PLAIN_SERVICE, zone=ZONE)
    for zone in ("cairo-b", "cairo-c"):
        await case.add_server(PLAIN_SERVICE, zone=zone)
    await case.start([ZONE] * ENTRY_COUNT, [])
    if case.trouble:
        case.store.stale_seconds = STALE_SECONDS
    await asyncio.sleep(4.0)
    stop = asyncio.Event()
    clients = [
        asyncio.create_task(client(case, entry, Random(number), stop))
        for number, entry in enumerate(case.entries)
    ]
    await asyncio.sleep(3.0)
    late: list[str] = []
    for _ in range(RELEASE_COUNT):
        # The new one starts first.
        following = await case.add_server(PLAIN_SERVICE, zone=ZONE)
        await asyncio.sleep(PAUSE_SECONDS)
        leaving.drain(LINGER_SECONDS)
        await asyncio.sleep(leaving.leaves_at - time.monotonic())
        leaving.end()
        late += late_runs(leaving)
        case.record(f"reached {leaving.name} later than drainMs: {late_runs(leaving)}")
        leaving = following
    stop.set()
    await asyncio.gather(*clients)
    return bool(late)


if __name__ == "__main__":
    run(FOLDER, play)
