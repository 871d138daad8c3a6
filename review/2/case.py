"""A machine is stopped while requests that it has read wait for an engine."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path
from random import Random

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins import (  # noqa: E402
    BOUNDS,
    MODEL_SERVICE,
    Case,
    Entry,
    event_ids,
    fetch,
    run,
)

ENGINE_COUNT = 6
SLOTS = 4
CLIENT_COUNT = 120
GRACE_SECONDS = BOUNDS["graceS"]


class Play:
    """Clients, and the requests that got no answer."""

    def __init__(self, case: Case, stopped: Entry) -> None:
        self.case = case
        self.stopped = stopped
        self.stopped_at = float("inf")
        self.cut: list[str] = []

    def addresses(self) -> list[Entry]:
        """Return the machines that get new connections: ready ones."""
        gone = time.monotonic() > self.stopped_at + 2.0
        return [
            entry for entry in self.case.entries if not (gone and entry is self.stopped)
        ]

    async def client(self, random: Random) -> None:
        """Ask for quotes of different lengths, one after the other."""
        while True:
            total = random.randint(30, 70)
            headers = self.case.prompt_headers(39_000, 1000, 4 * total)
            request_id = headers["Carawayhitch-Request-Id"]
            entry = random.choice(self.addresses())
            path = f"/draft/{request_id}?events={total}"
            sent_at = time.monotonic()
            self.case.record(f"client sends {request_id} to {entry.name}")
            response = await fetch(entry.address, "POST", path, headers, b"p", 40.0)
            count = len(event_ids(response.body))
            after = time.monotonic() - self.stopped_at
            self.case.record(
                f"client has {request_id} from {entry.name} after "
                f"{response.seconds:.2f} s: status {response.status}, {count} events "
                f"of {total}, complete: {response.complete}"
                + (f", {after:.2f} s after SIGTERM" if after > 0 else "")
            )
            if entry is self.stopped and not response.status and response.seconds > 0.2:
                self.case.record(
                    f"{request_id} was sent {sent_at - self.stopped_at:.2f} s after "
                    "SIGTERM and its connection ended without an answer"
                )
                self.cut.append(request_id)
            retry_after = float(response.headers.get("retry-after", "0"))
            await asyncio.sleep(0.01 + min(retry_after, 5.0))


async def play(case: Case) -> bool:
    """Return whether a request that a process has read ended without an answer."""
    case.engine_figures = {"slots": SLOTS}
    await case.start(["cairo-a", "cairo-b", "cairo-c"], [MODEL_SERVICE] * ENGINE_COUNT)
    stopped = case.entries[0]
    played = Play(case, stopped)
    clients = []
    for number in range(CLIENT_COUNT):
        clients.append(asyncio.create_task(played.client(Random(number))))
        await asyncio.sleep(0.03)
    await asyncio.sleep(8.0)
    if case.trouble:
        stopped.signal(signal.SIGTERM)
        played.stopped_at = time.monotonic()
    await asyncio.sleep(GRACE_SECONDS)
    if case.trouble:
        assert stopped.process is not None
        case.record(f"exit status after graceS: {stopped.process.poll()}")
    await asyncio.sleep(2.0)
    for task in clients:
        task.cancel()
    arrived = {one.request_id for server in case.servers for one in server.runs}
    waiting = [request_id for request_id in played.cut if request_id not in arrived]
    case.record(f"cut without an answer, never at a server: {waiting}")
    case.record(f"cut without an answer, at a server: {len(played.cut) - len(waiting)}")
    return bool(waiting)


if __name__ == "__main__":
    run(FOLDER, play)
