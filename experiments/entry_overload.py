"""Overload of one entry: CPU time of refusals, token gaps of running streams.

The flood is sent from separate processes. Each caller sends its next request as soon
as the previous one is answered.
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
from experiments.relay_cost import encode_completion_request
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
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
ERROR_NAME = re.compile(rb'"name":\s*"(\w+)"')
LARGE_PROMPT = "x" * 100_000


async def send_requests_until(
    port: int, request: bytes, end: float, counts: Counter
) -> None:
    """Repeat a request on one connection until ``end``, reconnecting when closed."""
    while time.monotonic() < end:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            while time.monotonic() < end:
                writer.write(request)
                head = await reader.readuntil(b"\r\n\r\n")
                length = re.search(rb"(?i)content-length: (\d+)", head)
                body = await reader.readexactly(int(length[1])) if length else b""
                name_match = ERROR_NAME.search(body)
                counts[name_match[1].decode() if name_match else COMPLETE] += 1
                if b"connection: close" in head.lower() or not length:
                    break
            writer.close()
        except (OSError, asyncio.IncompleteReadError):
            counts["NO_ANSWER"] += 1


async def send_request_count(port: int, request: bytes, count: int) -> None:
    """Send ``count`` requests on one connection, reconnecting when closed."""
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


def run_request_senders(
    port: int, request: bytes, count: int, callers: int, done_connection: Any
) -> None:
    """Send requests on ``callers`` connections and report when all are answered."""

    async def send_all() -> None:
        requests_per_caller = count // callers
        await asyncio.gather(
            *(
                send_request_count(port, request, requests_per_caller)
                for _ in range(callers)
            )
        )

    uvloop.run(send_all())
    done_connection.send(count)


def run_flood(port: int, callers: int, seconds: float, connection: Any) -> None:
    """Flood an entry and send the answer counts by result code to the parent."""

    async def count_answers() -> Counter:
        counts: Counter = Counter()
        end = time.monotonic() + seconds
        body = {"model": "quotes", "prompt": f"length=5 flood {os.getpid()}"}
        request = encode_completion_request(body)
        senders = [
            send_requests_until(port, request, end, counts) for _ in range(callers)
        ]
        _, unfinished = await asyncio.wait(
            [asyncio.create_task(work) for work in senders], timeout=seconds + 1.0
        )
        counts["LEFT_WAITING"] += len(unfinished)
        for task in unfinished:
            task.cancel()
        await asyncio.gather(*unfinished, return_exceptions=True)
        return counts

    connection.send(dict(uvloop.run(count_answers())))


class OverloadedEntry:
    """A fleet of one entry and four engines."""

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

    def entry_cpu_seconds(self) -> float:
        """Return the user and system CPU time of the entry since its start."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rsplit(") ", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND

    def stream_class(
        self, name: str, rate: float, begin: float, end: float, length: int
    ) -> CallClass:
        """Return a class of streamed calls of a fixed output length."""
        token = ACCOUNT_TOKENS["inspection"]
        urls = (self.fleet.url("entry-1"),)
        return CallClass(
            name, token, "", urls, rate, begin, end, median_tokens=float(length)
        )

    def measure_flood(self, processes: int, callers: int, seed: int) -> None:
        """Print token gaps of running streams before, during and after an 8 s flood."""
        flood_processes: list[tuple[Any, Any]] = []

        def start_flood() -> None:
            for _ in range(processes):
                parent_end, child_end = multiprocessing.Pipe()
                process = multiprocessing.get_context("spawn").Process(
                    target=run_flood, args=(self.port, callers, 8.0, child_end)
                )
                process.start()
                flood_processes.append((process, parent_end))

        cpu_samples: list[float] = []
        timers = [
            threading.Timer(6.0, start_flood),
            threading.Timer(9.0, lambda: cpu_samples.append(self.entry_cpu_seconds())),
            threading.Timer(13.0, lambda: cpu_samples.append(self.entry_cpu_seconds())),
        ]
        for timer in timers:
            timer.start()
        classes = [
            self.stream_class("running", 12.0, 0.0, 2.0, 900),
            self.stream_class("after", 10.0, 18.0, 23.0, 20),
        ]
        records = load(classes, seed, 15.0)
        counts: Counter = Counter()
        for process, parent_end in flood_processes:
            counts.update(parent_end.recv())
            process.join()
        answered = sum(counts.values()) - counts["LEFT_WAITING"]
        print(
            f"flood of {processes * callers} callers, "
            f"limit of {OPEN_REQUESTS} open requests"
        )
        print(f"  answers {dict(counts)}, {answered / 8.0:.0f}/s")
        print(f"  CPU share of the entry {(cpu_samples[1] - cpu_samples[0]) / 4.0:.2f}")
        running = [r for r in records if r.call.call_class.name == "running"]
        for label, start, end in (
            ("before", 3.0, 6.0),
            ("during the flood", 8.0, 14.0),
            ("after", 16.0, 19.0),
        ):
            print(
                f"  token gaps {label}, p50 p95 p99 max ms: "
                f"{format_gaps(running, start, end)}"
            )
        print(f"  running streams: {codes(running)}")
        after = [r for r in records if r.call.call_class.name == "after"]
        first_token_times = [r.first_token_seconds for r in after if r.token_times]
        first_token_text = " ".join(
            f"{value:.0f}" for value in percentiles(first_token_times)
        )
        print(
            f"  calls from 4 s after the flood: {codes(after)}, "
            f"first token ms {first_token_text}"
        )

    def measure_refusals(self, count: int) -> None:
        """Print the CPU time of each kind of refusal in microseconds."""
        body = {"model": "quotes", "prompt": "length=5"}
        self.measure_request_cost(
            "unknown account", encode_completion_request(body, ""), count
        )
        self.measure_request_cost(
            "malformed body", encode_completion_request({"model": 1}), count
        )
        unserved = encode_completion_request(body).replace(
            b"/v1/completions", b"/v1/unserved"
        )
        self.measure_request_cost("unserved path", unserved, count)
        filling = self.stream_class("filling", 40.0, 0.0, 4.0, 2000)
        thread = threading.Thread(target=load, args=([filling], 1, 25.0))
        thread.start()
        time.sleep(6.0)
        self.measure_request_cost(
            "open requests, small body", encode_completion_request(body), count
        )
        large = encode_completion_request({**body, "prompt": LARGE_PROMPT})
        self.measure_request_cost("open requests, 100 kB body", large, count // 4)
        thread.join()

    def measure_request_cost(self, name: str, request: bytes, count: int) -> None:
        """Print the CPU time per request, less that of the background load."""
        parent_end, child_end = multiprocessing.Pipe()
        status = describe_answer(self.port, request)
        background_cpu_share = self.entry_cpu_seconds()
        time.sleep(1.0)
        background_cpu_share = self.entry_cpu_seconds() - background_cpu_share
        before, started_at = self.entry_cpu_seconds(), time.monotonic()
        process = multiprocessing.get_context("spawn").Process(
            target=run_request_senders, args=(self.port, request, count, 4, child_end)
        )
        process.start()
        parent_end.recv()
        process.join()
        elapsed = time.monotonic() - started_at
        cpu_seconds = self.entry_cpu_seconds() - before - background_cpu_share * elapsed
        print(f"  {name}: {1e6 * cpu_seconds / count:.0f} us, {status}", flush=True)


def describe_answer(port: int, request: bytes) -> str:
    """Return the HTTP status and the error name of one request's answer."""

    async def send() -> str:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(request)
        head = await reader.readuntil(b"\r\n\r\n")
        length = re.search(rb"(?i)content-length: (\d+)", head)
        body = await reader.readexactly(int(length[1])) if length else b"{}"
        writer.close()
        return f"{head[9:12].decode()} {json.loads(body)['error']['name']}"

    return uvloop.run(send())


def format_gaps(records: list[CallRecord], start: float, end: float) -> str:
    """Return p50, p95, p99 and maximum of the gaps ending in an interval, in ms."""
    gaps = [
        later - earlier
        for record in records
        for earlier, later in zip(
            record.token_times, record.token_times[1:], strict=False
        )
        if start <= later < end
    ]
    highest = max(gaps, default=float("nan")) * 1000
    return " ".join(f"{value:.0f}" for value in (*percentiles(gaps), highest))


def main() -> None:
    """Measure the flood and then the cost of refusals."""
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
        print(f"  readiness status after the flood {status}")
        entry.measure_refusals(options.requests)


if __name__ == "__main__":
    main()
