"""Processor time of an entry by cause, and its memory at rest.

It starts a fleet on the stand-ins of the users' platform and measures one cause after
the other, from /proc. Causes beside calls are given above the idle fleet: the share of
a core that an idle entry takes is measured first and subtracted. A call takes
processor time of the entry that receives it and of the scheduler of its cell, so its
cost is the sum over all entries.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import time
from collections.abc import Awaitable, Callable
from statistics import mean, median
from typing import NamedTuple

import aiohttp

from experiments._processes import anonymous_bytes, cpu_seconds, resident_bytes
from fakes.platform_fleet import (
    HOST,
    KEY,
    MODEL_SERVICE,
    PLAIN_SERVICE,
    STORE_TEXT,
    PlatformFleet,
)

CONCURRENT_CALLS = 4
STREAM_EVENTS = (2, 102)
# After a start, until peers and registrations are known.
SETTLE_SECONDS = 6.0
START_SETTLE_SECONDS = 0.5


class Kind(NamedTuple):
    """A kind of call and the status that it is answered with."""

    name: str
    path: str
    status: int


KINDS = (
    Kind("safe call", "/look/x", 200),
    Kind("unsafe call", "/order/x", 200),
    Kind("refused call", "/none/x", 404),
    Kind("stream of 2 events", f"/draft/x?events={STREAM_EVENTS[0]}", 200),
    Kind("stream of 102 events", f"/draft/x?events={STREAM_EVENTS[1]}", 200),
)


class Figure(NamedTuple):
    """One line of the result."""

    cause: str
    value: float
    unit: str


def fleet_cpu_seconds(fleet: PlatformFleet) -> float:
    """Return the processor time of all entries that run."""
    return sum(cpu_seconds(pid) for pid in entry_pids(fleet))


def entry_pids(fleet: PlatformFleet) -> list[int]:
    """Return the process ids of the entries that run."""
    processes = (fleet.processes_by_name[name] for name in fleet.gateways_by_name)
    return [process.pid for process in processes if process.poll() is None]


def start_entries(fleet: PlatformFleet, count: int) -> Figure:
    """Start the entries one by one; the first one fills the bytecode cache."""
    found = []
    for index in range(count + 1):
        name = f"entry-{index}"
        fleet.start_gateway(name)
        time.sleep(START_SETTLE_SECONDS)
        found.append(cpu_seconds(fleet.processes_by_name[name].pid))
        if index == 0:
            fleet.kill(name)
    return Figure("start", median(found[1:]), "s")


def extra_cpu_seconds(fleet: PlatformFleet, idle_share: float, seconds: float) -> float:
    """Return the mean processor time of an entry above the idle one."""
    before = {pid: cpu_seconds(pid) for pid in entry_pids(fleet)}
    started_at = time.monotonic()
    time.sleep(seconds)
    elapsed = time.monotonic() - started_at
    used = mean(cpu_seconds(pid) - start for pid, start in before.items())
    return used - idle_share * elapsed


async def send_calls(fleet: PlatformFleet, kind: Kind, count: int) -> None:
    """Send calls of one kind to the entries in turn, a few at a time."""
    names = [name for name, port in fleet.gateways_by_name.items()][1:]
    indexes = iter(range(count))
    headers = {
        "Host": HOST,
        "Authorization": f"Bearer {KEY}",
        "Carawayhitch-Deadline-Ms": "30000",
    }

    async def work(session: aiohttp.ClientSession) -> None:
        for index in indexes:
            url = fleet.url(names[index % len(names)]) + kind.path
            async with session.post(url, data=b"body", headers=headers) as answer:
                await answer.read()
                if answer.status != kind.status:
                    raise RuntimeError(f"{kind.name}: status {answer.status}")

    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    ) as session:
        works: list[Awaitable[None]] = [work(session) for _ in range(CONCURRENT_CALLS)]
        await asyncio.gather(*works)


def measure_calls(
    fleet: PlatformFleet, kind: Kind, count: int, idle_share: float
) -> Figure:
    """Return the processor time of one call, summed over the fleet."""
    asyncio.run(send_calls(fleet, kind, len(fleet.gateways_by_name)))
    before, started_at = fleet_cpu_seconds(fleet), time.monotonic()
    asyncio.run(send_calls(fleet, kind, count))
    # Ends of calls are reported to schedulers within a second.
    time.sleep(1.0)
    idle = idle_share * len(entry_pids(fleet)) * (time.monotonic() - started_at)
    used = fleet_cpu_seconds(fleet) - before - idle
    return Figure(kind.name, 1e3 * used / count, "ms")


def measure_trouble(
    fleet: PlatformFleet, idle_share: float, seconds: float
) -> list[Figure]:
    """Return the extra processor time of an entry by a change, an outage, a loss."""

    def measure(cause: str, action: Callable[[], object]) -> Figure:
        action()
        extra = extra_cpu_seconds(fleet, idle_share, seconds)
        return Figure(f"{cause}, {seconds:.0f} s", 1e3 * extra, "ms an entry")

    names = list(fleet.gateways_by_name)
    return [
        measure("configuration change", fleet.configure),
        measure("store down", lambda: fleet.kill("store")),
        measure("store back, empty", lambda: restart_store(fleet)),
        measure("peer lost", lambda: fleet.kill(names[-1])),
    ]


def restart_store(fleet: PlatformFleet) -> None:
    """Start the store again; its stand-in keeps nothing, so declare all again."""
    fleet.start_store()
    fleet.configure()
    fleet.register("orders-0", PLAIN_SERVICE)
    fleet.register("model-0", MODEL_SERVICE)


def run(entries: int, options: argparse.Namespace) -> None:
    """Print the figures of one fleet size."""
    print(f"entries={entries} machine load {os.getloadavg()[0]:.1f}", flush=True)
    with PlatformFleet(store_text=STORE_TEXT + options.store_text) as fleet:
        fleet.start_store()
        fleet.configure()
        fleet.start_server("orders-0", PLAIN_SERVICE, event_seconds=0.002)
        fleet.start_server("model-0", MODEL_SERVICE)
        figures = [start_entries(fleet, entries)]
        time.sleep(SETTLE_SECONDS)
        idle = extra_cpu_seconds(fleet, 0.0, options.seconds) / options.seconds
        figures.append(Figure("idle entry", 1e3 * idle, "thousandths of a core"))
        resident = mean(resident_bytes(pid) for pid in entry_pids(fleet))
        figures.append(Figure("memory at rest", resident / 1e6, "MB"))
        anonymous = mean(anonymous_bytes(pid) for pid in entry_pids(fleet))
        figures.append(Figure("of it not of files", anonymous / 1e6, "MB"))
        for kind in KINDS:
            figures.append(measure_calls(fleet, kind, options.calls, idle))
        streams = [figure.value for figure in figures[-2:]]
        event = (streams[1] - streams[0]) / (STREAM_EVENTS[1] - STREAM_EVENTS[0])
        figures.append(Figure("event of a stream", 1e3 * event, "us"))
        figures.extend(measure_trouble(fleet, idle, options.seconds))
        for figure in figures:
            print(f"{figure.cause:28} {figure.value:9.2f} {figure.unit}", flush=True)
    print(f"machine load at the end {os.getloadavg()[0]:.1f}", flush=True)


def main() -> None:
    """Print the figures of each fleet size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=[3, 12])
    parser.add_argument("--calls", type=int, default=300)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--store-text", default="", help="further TOML for the store")
    options = parser.parse_args()
    # As in deployments: cached bytecode, and no certificates (deploy/system.toml).
    os.environ.pop("PYTHONDONTWRITEBYTECODE", None)
    os.environ["SSL_CERT_FILE"] = os.devnull
    for entries in options.sizes:
        run(entries, options)


if __name__ == "__main__":
    main()
