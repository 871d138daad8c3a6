"""Control traffic and CPU of a node by fleet size, requests/s and running requests.

It starts a fleet, waits until start traffic is over and measures one interval idle, one
with short requests, and two with different numbers of long streams. Every engine is a
cell, so that an entry reports to as many schedulers as there are engines. CPU is that
of the whole process and includes the relay of streams.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import re
import time
from collections import Counter
from collections.abc import Coroutine
from statistics import mean
from typing import Any, NamedTuple

import aiohttp

from experiments._processes import cpu_seconds, resident_bytes
from fakes.processes import ACCOUNT_TOKENS, Fleet, call

START_BATCH = 8
COUNTER = re.compile(
    r'^carawayhitch_peer_(messages|bytes)_total\{direction="sent",type="(\w+)"\} (\S+)',
    re.MULTILINE,
)


class Usage(NamedTuple):
    """Counters of one process at one time; peer counters by kind and message type."""

    at: float
    cpu_seconds: float
    resident_bytes: int
    sent: Counter[tuple[str, str]]


class Interval(NamedTuple):
    """Means over the nodes of one fleet during one interval."""

    bytes_per_second: float
    datagrams_per_second: float
    cpu_share: float
    resident_megabytes: float
    bytes_by_type: dict[str, float]
    datagrams_by_type: dict[str, float]


def read_usage(fleet: Fleet, name: str) -> Usage:
    """Return the counters of an entry from /proc and its metrics."""
    pid = fleet.processes_by_name[name].pid
    text = call("GET", fleet.url(name) + "/metrics")[1].decode()
    sent: Counter[tuple[str, str]] = Counter()
    for kind, message_type, value in COUNTER.findall(text):
        sent[kind, message_type] += float(value)  # type: ignore[assignment]
    return Usage(
        time.monotonic(),
        cpu_seconds(pid),
        resident_bytes(pid),
        sent,
    )


def measure(fleet: Fleet, names: list[str], seconds: float) -> Interval:
    """Return the means of an interval that starts now."""
    before = {name: read_usage(fleet, name) for name in names}
    time.sleep(seconds)
    return difference(before, {name: read_usage(fleet, name) for name in names})


def difference(before: dict[str, Usage], after: dict[str, Usage]) -> Interval:
    """Return the means between two readings of the same nodes."""
    rates: Counter[tuple[str, str]] = Counter()
    for name, start in before.items():
        seconds = (after[name].at - start.at) * len(before)
        for key, value in after[name].sent.items():
            rates[key] += (value - start.sent[key]) / seconds  # type: ignore[assignment]
    by_type: dict[str, dict[str, float]] = {"bytes": {}, "messages": {}}
    for (kind, message_type), rate in rates.items():
        by_type[kind][message_type] = rate
    return Interval(
        sum(by_type["bytes"].values()),
        sum(by_type["messages"].values()),
        mean(
            (after[name].cpu_seconds - start.cpu_seconds) / (after[name].at - start.at)
            for name, start in before.items()
        ),
        mean(usage.resident_bytes for usage in after.values()) / 1e6,
        by_type["bytes"],
        by_type["messages"],
    )


async def generate(session: aiohttp.ClientSession, url: str, tokens: int) -> bool:
    """Read one stream to its end."""
    body = {"model": "quotes", "prompt": f"length={tokens}", "stream": True}
    headers = {"Authorization": f"Bearer {ACCOUNT_TOKENS['hotel']}"}
    try:
        async with session.post(
            url + "/v1/completions", json=body, headers=headers
        ) as response:
            await response.read()
            return response.status == 200
    except aiohttp.ClientError:
        return False


async def under_load(
    fleet: Fleet, names: list[str], rate: float, running: int, seconds: float
) -> Interval:
    """Measure with short requests at a total rate, or with long streams on each node.

    Long streams get a few seconds to start before the interval.
    """
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        timeout=aiohttp.ClientTimeout(total=None),
    ) as session:
        works: list[Coroutine[Any, Any, bool]] = []
        if running:
            tokens = int((seconds + 30.0) / 0.2)
            works = [
                generate(session, fleet.url(name), tokens)
                for _ in range(running)
                for name in names
            ]
        tasks = [asyncio.create_task(work) for work in works]
        await asyncio.sleep(6.0 if running else 0.0)
        interval = asyncio.create_task(
            asyncio.to_thread(measure, fleet, names, seconds)
        )
        started, index = time.monotonic(), 0
        while rate and not interval.done():
            url = fleet.url(names[index % len(names)])
            tasks.append(asyncio.create_task(generate(session, url, 1)))
            index += 1
            await asyncio.sleep(max(0.0, started + index / rate - time.monotonic()))
        found = await interval
        failed = sum(task.done() and not task.result() for task in tasks)
        early = sum(task.done() for task in tasks) if running else 0
        print(f"  {len(tasks)} requests, {failed} failed, {early} ended early")
        for task in tasks if running else ():
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    return found


def show(label: str, interval: Interval) -> None:
    """Print one interval."""
    print(
        f"{label}: {interval.bytes_per_second:.0f} B/s "
        f"{interval.datagrams_per_second:.2f} datagrams/s "
        f"CPU {interval.cpu_share:.4f} resident {interval.resident_megabytes:.1f} MB"
    )
    for name, value in sorted(interval.bytes_by_type.items()):
        datagrams = interval.datagrams_by_type[name]
        if datagrams:
            print(
                f"    {name:16} {value:7.0f} B/s {datagrams:7.2f}/s "
                f"{value / datagrams:6.0f} B"
            )


def run(nodes: int, options: argparse.Namespace) -> None:
    """Measure one fleet."""
    load = f"{os.getloadavg()[0]:.1f}"
    print(f"nodes={nodes} engines={options.engines} machine load {load}", flush=True)
    with Fleet("[scheduling]\ncell_size = 1\n") as fleet:
        fleet.start_platform()
        for index in range(options.engines):
            fleet.start_engine(
                f"engine-{index}",
                *("--step-seconds", "0.2", "--running-limit", "2000"),
                *("--memory-tokens", "100000000"),
            )
        fleet.put_defaults()
        for index in range(options.accounts):
            fleet.put_object(
                "client_account",
                f"account-{index}",
                {"token_sha256s": [f"{index:064x}"]},
            )
        names = [f"entry-{index}" for index in range(nodes)]
        for first in range(0, nodes, START_BATCH):
            batch = names[first : first + START_BATCH]
            for name in batch:
                fleet.start_entry(name, wait=False)
            for name in batch:
                fleet.wait_ready(name)
        time.sleep(options.settle_seconds)
        show("idle", measure(fleet, names, options.seconds))
        if options.rate_per_node:
            rate = options.rate_per_node * nodes
            found = asyncio.run(under_load(fleet, names, rate, 0, options.seconds))
            show(f"{options.rate_per_node} requests/s a node", found)
        for running in options.running_per_node:
            found = asyncio.run(under_load(fleet, names, 0.0, running, options.seconds))
            show(f"{running} running a node", found)
        print(f"machine load at the end {os.getloadavg()[0]:.1f}", flush=True)


def main() -> None:
    """Print the figures of each fleet size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=[8, 24, 48])
    parser.add_argument("--engines", type=int, default=12)
    parser.add_argument("--rate-per-node", type=float, default=4.0)
    parser.add_argument("--running-per-node", type=int, nargs="*", default=[8, 40])
    parser.add_argument("--accounts", type=int, default=0)
    parser.add_argument("--settle-seconds", type=float, default=30.0)
    parser.add_argument("--seconds", type=float, default=15.0)
    options = parser.parse_args()
    for nodes in options.sizes:
        run(nodes, options)


if __name__ == "__main__":
    main()
