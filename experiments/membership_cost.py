"""Cost of membership and peer messages between real entry processes on loopback.

For each fleet size it measures an idle and a loaded interval, kills one entry, starts
another, and reads from the logs when all other entries had detected each change. A
linear regression over the sizes extrapolates to the target of 390 nodes.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import random
import re
import time
from collections.abc import Callable
from datetime import datetime
from pathlib import Path
from statistics import linear_regression, mean, median
from typing import NamedTuple

import aiohttp

from carawayhitch import codecs
from carawayhitch.core import messages, result_codes, rows
from carawayhitch.core import settings as settings_types
from fakes.processes import ACCOUNT_TOKENS, Fleet, call

TARGET_NODES = 390
TARGET_REQUESTS_PER_NODE = 9.2
BYTES_PER_SECOND_BOUND = 11_000.0
CPU_SHARE_BOUND = 0.042
START_BATCH = 8
SENT_COUNTER_PATTERN = re.compile(
    r'^carawayhitch_peer_(messages|bytes)_total\{direction="sent",type="(\w+)"\} (\S+)',
    re.MULTILINE,
)
SETTINGS = '[logs]\nlevel = "debug"\n[drain]\nreadiness_grace_seconds = 0.5\n'


class ProcessUsage(NamedTuple):
    """Resource counters of one process at one point in time."""

    cpu_seconds: float
    resident_bytes: int
    sent_messages: float
    sent_bytes: float


class MembershipFigures(NamedTuple):
    """Means over the nodes of one fleet.

    Parameters
    ----------
    cpu_share : float
        Share of one core used by the whole process.
    dead_seconds, joined_seconds : float
        Time from the kill, and from the start of the new process, until the last
        other entry logged the change.
    spread_seconds : float
        Time from the new entry's own log line until that of the last other entry.
    """

    nodes: int
    idle_bytes_per_second: float
    idle_datagrams_per_second: float
    idle_cpu_share: float
    resident_megabytes: float
    request_rate: float
    loaded_bytes_per_second: float
    loaded_datagrams_per_second: float
    loaded_cpu_share: float
    dead_seconds: float
    joined_seconds: float
    spread_seconds: float


def read_usage(fleet: Fleet, name: str) -> ProcessUsage:
    """Read the counters of an entry from /proc and its metrics."""
    pid = fleet.processes_by_name[name].pid
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    text = call("GET", fleet.url(name) + "/metrics")[1].decode()
    totals = {"messages": 0.0, "bytes": 0.0}
    for kind, _, value in SENT_COUNTER_PATTERN.findall(text):
        totals[kind] += float(value)
    return ProcessUsage(
        ticks / os.sysconf("SC_CLK_TCK"),
        pages * os.sysconf("SC_PAGE_SIZE"),
        totals["messages"],
        totals["bytes"],
    )


def measure_node_rates(
    fleet: Fleet, names: list[str], work: Callable[[], None]
) -> tuple[float, float, float]:
    """Return mean bytes/s, datagrams/s and CPU share per node while `work` runs."""
    before = {name: (time.monotonic(), read_usage(fleet, name)) for name in names}
    work()
    node_rates = []
    for name in names:
        started, usage = before[name]
        seconds = time.monotonic() - started
        current = read_usage(fleet, name)
        node_rates.append(
            (
                (current.sent_bytes - usage.sent_bytes) / seconds,
                (current.sent_messages - usage.sent_messages) / seconds,
                (current.cpu_seconds - usage.cpu_seconds) / seconds,
            )
        )
    return (
        mean(rates[0] for rates in node_rates),
        mean(rates[1] for rates in node_rates),
        mean(rates[2] for rates in node_rates),
    )


async def send_requests(
    fleet: Fleet, names: list[str], rate: float, seconds: float
) -> None:
    """Send one-token generations at a constant total rate, round-robin over entries."""
    headers = {"Authorization": f"Bearer {ACCOUNT_TOKENS['hotel']}"}
    body = {"model": "quotes", "prompt": "length=1"}
    failed = 0

    async def send(session: aiohttp.ClientSession, name: str) -> None:
        nonlocal failed
        url = fleet.url(name) + "/v1/completions"
        async with session.post(url, json=body, headers=headers) as response:
            await response.read()
            failed += response.status != 200

    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    ) as session:
        started, tasks = time.monotonic(), []
        for index in range(int(rate * seconds)):
            await asyncio.sleep(max(0.0, started + index / rate - time.monotonic()))
            name = names[index % len(names)]
            tasks.append(asyncio.create_task(send(session, name)))
        await asyncio.gather(*tasks)
    if failed:
        print(f"{failed} of {len(tasks)} requests failed")


def wait_for_logged_state(
    fleet: Fleet, observers: list[str], member: str, state: str, timeout: float
) -> list[float]:
    """Return the Unix times at which the observers logged a state of a member."""
    line = re.compile(rf'"member":"{member}","state":"{state}".*"timestamp":"([^"]+)"')
    deadline = time.monotonic() + timeout
    times_by_observer: dict[str, float] = {}
    while time.monotonic() < deadline and len(times_by_observer) < len(observers):
        for name in observers:
            lines = (
                [] if name in times_by_observer else line.findall(fleet.log_text(name))
            )
            if lines:
                times_by_observer[name] = datetime.fromisoformat(lines[-1]).timestamp()
        time.sleep(0.1)
    if len(times_by_observer) < len(observers):
        print(
            f"{len(observers) - len(times_by_observer)} of {len(observers)} "
            f"observers did not log {state}"
        )
    return list(times_by_observer.values())


def measure_fleet(
    nodes: int, idle_seconds: float, rate_per_node: float
) -> MembershipFigures:
    """Start a fleet and return its measured figures."""
    with Fleet(SETTINGS) as fleet:
        fleet.start_platform()
        fleet.start_engine("engine-1", "--step-seconds", "0.002")
        fleet.put_defaults()
        names = [f"entry-{index}" for index in range(nodes)]
        for first in range(0, nodes, START_BATCH):
            batch = names[first : first + START_BATCH]
            for name in batch:
                fleet.start_entry(name, zone="abc"[first % 3], wait=False)
            for name in batch:
                fleet.wait_ready(name)
        time.sleep(12.0)
        idle = measure_node_rates(fleet, names, lambda: time.sleep(idle_seconds))
        resident = mean(read_usage(fleet, name).resident_bytes for name in names)
        rate = nodes * rate_per_node
        requests = send_requests(fleet, names, rate, idle_seconds / 2)
        loaded = measure_node_rates(fleet, names, lambda: asyncio.run(requests))
        killed_name = random.choice(names)
        surviving_names = [name for name in names if name != killed_name]
        killed_at = time.time()
        fleet.kill(killed_name)
        dead_times = wait_for_logged_state(
            fleet, surviving_names, killed_name, "dead", 40.0
        )
        started_at = time.time()
        fleet.start_entry("entry-new")
        alive_times = wait_for_logged_state(
            fleet, surviving_names, "entry-new", "alive", 20.0
        )
        own_alive_times = wait_for_logged_state(
            fleet, ["entry-new"], "entry-new", "alive", 5.0
        )
        return MembershipFigures(
            nodes,
            *idle,
            resident / 1e6,
            rate,
            *loaded,
            max(dead_times) - killed_at,
            max(alive_times) - started_at,
            max(alive_times) - own_alive_times[0],
        )


def message_samples() -> list[messages.PeerMessage]:
    """Return messages of each type with fields of typical length."""
    member = rows.MemberRow(
        "entry-117",
        1_764_800_000_000_000,
        "suspect",
        "10.1.2.117",
        8081,
        8080,
        "zone-a",
        "region-1",
        12_345,
        "ab" * 8,
    )
    crash = rows.CrashRow("f" * 64, ("engine-17",), False, 600.0)
    running = messages.RunningRequest(
        "c" * 32,
        1,
        "quotes",
        "hotel",
        "patient",
        "quotes",
        "f" * 64,
        "engine-17",
        900,
        4000,
        1200,
    )
    sender, request, cell = "entry-117", ("c" * 32, 1), "quotes/region-1/7"
    blocks = tuple(f"{index:016x}" for index in range(8))
    return [
        messages.AdmissionAsk(
            sender,
            *request,
            cell,
            "quotes",
            "hotel",
            "patient",
            "quotes",
            "f" * 64,
            900,
            4000,
            blocks,
            (),
            60.0,
        ),
        messages.AdmissionGrant(
            sender, *request, cell, "engine-17", "10.1.3.17:8000", 10, 2.0
        ),
        messages.AdmissionQueued(sender, *request, cell),
        messages.AdmissionRefusal(sender, *request, cell, result_codes.QUEUE_FULL, 1.0),
        messages.AskWithdrawn(sender, *request, cell),
        messages.Progress(sender, cell, (running,) * 4, ("d" * 32,) * 4),
        messages.ProgressAck(sender, cell, ()),
        messages.Finished(sender, *request, cell, 1200, True, False),
        messages.Probe(sender, 7, (member,) * 3, ()),
        messages.Probe(sender, 7, (member,) * 10, (crash,) * 4),
        messages.ProbeAck(sender, 7, "entry-118", (member,) * 3, ()),
        messages.IndirectProbe(sender, 7, "entry-118", (member,) * 3),
    ]


def median_cpu_seconds(work: Callable[[], object], count: int = 300) -> float:
    """Return the CPU seconds per call, as the median of five rounds."""
    rounds = []
    for _ in range(5):
        started = time.process_time()
        for _ in range(count):
            work()
        rounds.append((time.process_time() - started) / count)
    return median(rounds)


def print_message_costs() -> None:
    """Print the size and the CPU time of encoding and decoding each message."""
    key = settings_types.PeerKey(1, "k" * 40)
    address = codecs.PeerAddress("10.1.2.117", 8081)
    print(f"{'message':18} {'bytes':>6} {'send us':>8} {'receive us':>10}")
    for message in message_samples():

        def encode(message: messages.PeerMessage = message) -> bytes:
            return codecs.encode_message(message, 1, 1, address, key, 0.0)

        datagram = encode()

        def decode(datagram: bytes = datagram) -> codecs.Received:
            return codecs.decode_message(datagram, address, (key,), 0.0)

        name = codecs.message_type_name(message)
        send_us, receive_us = (
            median_cpu_seconds(encode) * 1e6,
            median_cpu_seconds(decode) * 1e6,
        )
        print(f"{name:18} {len(datagram):6} {send_us:8.0f} {receive_us:10.0f}")


def print_regressions(fleet_figures: list[MembershipFigures]) -> None:
    """Print slope and intercept of each figure over the size, and the target value."""
    sizes = [float(figures.nodes) for figures in fleet_figures]
    print(f"{'figure':30} {'per node':>10} {'intercept':>10} {'at 390':>10}")
    for name in MembershipFigures._fields[1:]:
        values = [getattr(figures, name) for figures in fleet_figures]
        slope, intercept = linear_regression(sizes, values)
        target = intercept + slope * TARGET_NODES
        print(f"{name:30} {slope:10.5f} {intercept:10.4f} {target:10.4f}")
    print(
        f"bounds for all control work: {BYTES_PER_SECOND_BOUND} bytes/s, "
        f"CPU share {CPU_SHARE_BOUND}"
    )


def main() -> None:
    """Print message costs, the figures of each size and their regression."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="*", default=[3, 6, 12, 18])
    parser.add_argument("--idle-seconds", type=float, default=15.0)
    parser.add_argument("--rate-per-node", type=float, default=2.0)
    options = parser.parse_args()
    print_message_costs()
    fleet_figures = []
    for nodes in options.sizes:
        figures = measure_fleet(nodes, options.idle_seconds, options.rate_per_node)
        print(
            " ".join(
                f"{name}={value:.4g}" for name, value in figures._asdict().items()
            ),
            flush=True,
        )
        fleet_figures.append(figures)
    if len(fleet_figures) > 1:
        print_regressions(fleet_figures)


if __name__ == "__main__":
    main()
