"""One entry with more callers than it takes: cost of refusals, pace of streams.

The flood comes from processes of its own and sends as fast as answers arrive.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import multiprocessing
import os
import re
import threading
import time
from collections import Counter
from pathlib import Path
from typing import Any

import uvloop

from experiments.load import COMPLETE, CallClass, CallRecord, codes, load, percentiles
from experiments.relay_cost import new_request
from fakes.processes import ACCOUNT_TOKENS, Fleet, call

OPEN_REQUESTS = 60
RUNNING_LIMIT = 8
ENGINES = ("engine-1", "engine-2", "engine-3", "engine-4")
SETTINGS = f"""
[limits]
open_requests = {OPEN_REQUESTS}
connections = 1000
[logs]
level = "warning"
"""
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
ERROR_NAME = re.compile(rb'"name":\s*"(\w+)"')
LARGE_PROMPT = "x" * 100_000


async def send_until(port: int, request: bytes, end: float, counts: Counter) -> None:
    """Send a request again and again over one connection, reopened when closed."""
    while time.monotonic() < end:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            while time.monotonic() < end:
                writer.write(request)
                head = await reader.readuntil(b"\r\n\r\n")
                length = re.search(rb"(?i)content-length: (\d+)", head)
                body = await reader.readexactly(int(length[1])) if length else b""
                found = ERROR_NAME.search(body)
                counts[found[1].decode() if found else COMPLETE] += 1
                if b"connection: close" in head.lower() or not length:
                    break
            writer.close()
        except (OSError, asyncio.IncompleteReadError):
            counts["NO_ANSWER"] += 1


async def send_counted(port: int, request: bytes, count: int) -> None:
    """Send a number of requests over one connection, reopened when closed."""
    while count > 0:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        while count > 0:
            writer.write(request)
            head = await reader.readuntil(b"\r\n\r\n")
            length = re.search(rb"(?i)content-length: (\d+)", head)
            assert length is not None
            await reader.readexactly(int(length[1]))
            count -= 1
            if b"connection: close" in head.lower():
                break
        writer.close()


def run_counted(
    port: int, request: bytes, count: int, callers: int, ended: Any
) -> None:
    """Send requests over some connections and tell when all are answered."""

    async def serve() -> None:
        share = count // callers
        await asyncio.gather(
            *(send_counted(port, request, share) for _ in range(callers))
        )

    uvloop.run(serve())
    ended.send(count)


def run_flood(port: int, callers: int, seconds: float, connection: Any) -> None:
    """Flood an entry and send the number of answers of each kind."""

    async def serve() -> Counter:
        counts: Counter = Counter()
        end = time.monotonic() + seconds
        body = {"model": "quotes", "prompt": f"length=5 flood {os.getpid()}"}
        request = new_request(body)
        sending = [send_until(port, request, end, counts) for _ in range(callers)]
        _, waiting = await asyncio.wait(
            [asyncio.create_task(work) for work in sending], timeout=seconds + 1.0
        )
        counts["LEFT_WAITING"] += len(waiting)
        for task in waiting:
            task.cancel()
        await asyncio.gather(*waiting, return_exceptions=True)
        return counts

    connection.send(dict(uvloop.run(serve())))


class OverloadedEntry:
    """One entry before four engines."""

    def __init__(self) -> None:
        self.fleet = Fleet(SETTINGS)
        self.fleet.start_platform()
        for engine in ENGINES:
            self.fleet.start_engine(
                engine,
                *("--running-limit", str(RUNNING_LIMIT)),
                *("--step-seconds", "0.02"),
            )
        self.fleet.put_defaults()
        self.fleet.start_entry("entry-1")
        time.sleep(2.0)
        self.port = self.fleet.ports_by_name["entry-1"]
        self.pid = self.fleet.processes_by_name["entry-1"].pid

    def processor_seconds(self) -> float:
        """Return user and system time of the entry so far."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rsplit(") ", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND

    def streams(
        self, name: str, rate: float, begin: float, end: float, length: int
    ) -> CallClass:
        """Return a class of streams of one length."""
        token = ACCOUNT_TOKENS["inspection"]
        urls = (self.fleet.url("entry-1"),)
        return CallClass(
            name, token, "", urls, rate, begin, end, median_tokens=float(length)
        )

    def measure_flood(self, processes: int, callers: int, seed: int) -> None:
        """Print gaps of running streams before, in and after a flood of 8 s."""
        flooders: list[tuple[Any, Any]] = []

        def begin() -> None:
            for _ in range(processes):
                ours, theirs = multiprocessing.Pipe()
                process = multiprocessing.get_context("spawn").Process(
                    target=run_flood, args=(self.port, callers, 8.0, theirs)
                )
                process.start()
                flooders.append((process, ours))

        used: list[float] = []
        timers = [
            threading.Timer(6.0, begin),
            threading.Timer(9.0, lambda: used.append(self.processor_seconds())),
            threading.Timer(13.0, lambda: used.append(self.processor_seconds())),
        ]
        for timer in timers:
            timer.start()
        classes = [
            self.streams("running", 12.0, 0.0, 2.0, 900),
            self.streams("after", 10.0, 18.0, 23.0, 20),
        ]
        records = load(classes, seed, 15.0)
        counts: Counter = Counter()
        for process, ours in flooders:
            counts.update(ours.recv())
            process.join()
        answered = sum(counts.values()) - counts["LEFT_WAITING"]
        print(f"flood of {processes * callers} callers, limit {OPEN_REQUESTS} open")
        print(f"  answers {dict(counts)}, {answered / 8.0:.0f}/s")
        print(f"  core share of the entry {(used[1] - used[0]) / 4.0:.2f}")
        running = [r for r in records if r.call.call_class.name == "running"]
        for label, start, end in (
            ("before", 3.0, 6.0),
            ("in the flood", 8.0, 14.0),
            ("after", 16.0, 19.0),
        ):
            print(
                f"  gaps {label} p50 p95 p99 max ms {gaps_between(running, start, end)}"
            )
        print(f"  running streams: {codes(running)}")
        after = [r for r in records if r.call.call_class.name == "after"]
        found = [r.first_token_seconds for r in after if r.token_times]
        shown = " ".join(f"{value:.0f}" for value in percentiles(found))
        print(f"  calls from 4 s after: {codes(after)}, first token ms {shown}")

    def measure_refusals(self, count: int) -> None:
        """Print the processor time of each kind of refusal in microseconds."""
        body = {"model": "quotes", "prompt": "length=5"}
        self.measure("unknown account", new_request(body, ""), count)
        self.measure("malformed body", new_request({"model": 1}), count)
        unserved = new_request(body).replace(b"/v1/completions", b"/v1/unserved")
        self.measure("unserved path", unserved, count)
        filling = self.streams("filling", 40.0, 0.0, 4.0, 2000)
        thread = threading.Thread(target=load, args=([filling], 1, 25.0))
        thread.start()
        time.sleep(6.0)
        self.measure("open requests, small body", new_request(body), count)
        large = new_request({**body, "prompt": LARGE_PROMPT})
        self.measure("open requests, 100 kB body", large, count // 4)
        thread.join()

    def measure(self, name: str, request: bytes, count: int) -> None:
        """Print the processor time of one kind of request."""
        ours, theirs = multiprocessing.Pipe()
        status = call_once(self.port, request)
        busy = self.processor_seconds()
        time.sleep(1.0)
        busy = self.processor_seconds() - busy
        before, started_at = self.processor_seconds(), time.monotonic()
        process = multiprocessing.get_context("spawn").Process(
            target=run_counted, args=(self.port, request, count, 4, theirs)
        )
        process.start()
        ours.recv()
        process.join()
        elapsed = time.monotonic() - started_at
        used = self.processor_seconds() - before - busy * elapsed
        print(f"  {name}: {1e6 * used / count:.0f} us, {status}", flush=True)


def call_once(port: int, request: bytes) -> str:
    """Return status and code of one request."""

    async def send() -> str:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(request)
        head = await reader.readuntil(b"\r\n\r\n")
        length = re.search(rb"(?i)content-length: (\d+)", head)
        body = await reader.readexactly(int(length[1])) if length else b"{}"
        writer.close()
        return f"{head[9:12].decode()} {json.loads(body)['error']['name']}"

    return uvloop.run(send())


def gaps_between(records: list[CallRecord], start: float, end: float) -> str:
    """Return p50, p95, p99 and the highest gap that ended in an interval, in ms."""
    found = [
        later - earlier
        for record in records
        for earlier, later in zip(
            record.token_times, record.token_times[1:], strict=False
        )
        if start <= later < end
    ]
    highest = max(found, default=float("nan")) * 1000
    return " ".join(f"{value:.0f}" for value in (*percentiles(found), highest))


def main() -> None:
    """Measure the flood, then the refusals."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--processes", type=int, default=3)
    parser.add_argument("--callers", type=int, default=60)
    parser.add_argument("--requests", type=int, default=2000)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    entry = OverloadedEntry()
    with entry.fleet:
        print(f"machine load {os.getloadavg()[0]:.1f}")
        entry.measure_flood(options.processes, options.callers, options.seed)
        status, _, _ = call("GET", entry.fleet.url("entry-1") + "/readyz")
        print(f"  readiness afterwards {status}")
        entry.measure_refusals(options.requests)


if __name__ == "__main__":
    main()
