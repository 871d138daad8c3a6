"""Cost of membership and peer messages over real entry processes on loopback.

For each size it starts that many entries, measures an idle and a loaded interval, kills
one entry, starts one more, and reads from the logs when all others knew. A straight
line through the sizes gives the values to expect at the target of 390 nodes.
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
BYTES_BOUND = 11_000.0
CPU_BOUND = 0.042
START_BATCH = 8
COUNTER = re.compile(
    r'^carawayhitch_peer_(messages|bytes)_total\{direction="sent",type="(\w+)"\} (\S+)',
    re.MULTILINE,
)
SETTINGS = '[logs]\nlevel = "debug"\n[drain]\nreadiness_grace_seconds = 0.5\n'


class Usage(NamedTuple):
    """Counters of one process at one time."""

    cpu_seconds: float
    resident_bytes: int
    sent_messages: float
    sent_bytes: float


class Figures(NamedTuple):
    """Means over the nodes of one fleet.

    Parameters
    ----------
    cpu_share : float
        Part of one core, all work of the process included.
    dead_seconds, alive_seconds : float
        From the kill, and from the start of the process, until the last other entry
        knew.
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


def read_usage(fleet: Fleet, name: str) -> Usage:
    """Return the counters of an entry from /proc and its metrics."""
    pid = fleet.processes_by_name[name].pid
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    text = call("GET", fleet.url(name) + "/metrics")[1].decode()
    totals = {"messages": 0.0, "bytes": 0.0}
    for kind, _, value in COUNTER.findall(text):
        totals[kind] += float(value)
    return Usage(
        ticks / os.sysconf("SC_CLK_TCK"),
        pages * os.sysconf("SC_PAGE_SIZE"),
        totals["messages"],
        totals["bytes"],
    )


def measure(
    fleet: Fleet, names: list[str], work: Callable[[], None]
) -> tuple[float, float, float]:
    """Return bytes/s, datagrams/s and CPU share of a node while `work` runs."""
    before = {name: (time.monotonic(), read_usage(fleet, name)) for name in names}
    work()
    found = []
    for name in names:
        started, usage = before[name]
        seconds = time.monotonic() - started
        now = read_usage(fleet, name)
        found.append(
            (
                (now.sent_bytes - usage.sent_bytes) / seconds,
                (now.sent_messages - usage.sent_messages) / seconds,
                (now.cpu_seconds - usage.cpu_seconds) / seconds,
            )
        )
    return (
        mean(f[0] for f in found),
        mean(f[1] for f in found),
        mean(f[2] for f in found),
    )


async def send_requests(
    fleet: Fleet, names: list[str], rate: float, seconds: float
) -> None:
    """Send short generations at a constant total rate to entries in turn."""
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


def logged_times(
    fleet: Fleet, observers: list[str], member: str, state: str, timeout: float
) -> list[float]:
    """Return when each observer logged a member's state, in seconds of Unix time."""
    line = re.compile(
        rf'"member": "{member}", "state": "{state}".*"timestamp": "([^"]+)"'
    )
    deadline = time.monotonic() + timeout
    found: dict[str, float] = {}
    while time.monotonic() < deadline and len(found) < len(observers):
        for name in observers:
            lines = [] if name in found else line.findall(fleet.log_text(name))
            if lines:
                found[name] = datetime.fromisoformat(lines[-1]).timestamp()
        time.sleep(0.1)
    if len(found) < len(observers):
        print(f"{len(observers) - len(found)} of {len(observers)} never saw {state}")
    return list(found.values())


def measure_fleet(nodes: int, idle_seconds: float, rate_per_node: float) -> Figures:
    """Return the figures of one fleet."""
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
        idle = measure(fleet, names, lambda: time.sleep(idle_seconds))
        resident = mean(read_usage(fleet, name).resident_bytes for name in names)
        rate = nodes * rate_per_node
        requests = send_requests(fleet, names, rate, idle_seconds / 2)
        loaded = measure(fleet, names, lambda: asyncio.run(requests))
        victim = random.choice(names)
        others = [name for name in names if name != victim]
        killed_at = time.time()
        fleet.kill(victim)
        dead = logged_times(fleet, others, victim, "dead", 40.0)
        started_at = time.time()
        fleet.start_entry("entry-new")
        seen = logged_times(fleet, others, "entry-new", "alive", 20.0)
        own = logged_times(fleet, ["entry-new"], "entry-new", "alive", 5.0)
        return Figures(
            nodes,
            *idle,
            resident / 1e6,
            rate,
            *loaded,
            max(dead) - killed_at,
            max(seen) - started_at,
            max(seen) - own[0],
        )


def message_samples() -> list[messages.PeerMessage]:
    """Return one message of each type with values of usual length."""
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


def seconds_of(work: Callable[[], object], count: int = 300) -> float:
    """Return the median time of five rounds, in seconds a call."""
    rounds = []
    for _ in range(5):
        started = time.process_time()
        for _ in range(count):
            work()
        rounds.append((time.process_time() - started) / count)
    return median(rounds)


def print_message_costs() -> None:
    """Print size and CPU time of one message of each type."""
    key = settings_types.PeerKey(1, "k" * 40)
    place = codecs.PeerAddress("10.1.2.117", 8081)
    print(f"{'message':18} {'bytes':>6} {'send us':>8} {'receive us':>10}")
    for message in message_samples():

        def encode(message: messages.PeerMessage = message) -> bytes:
            return codecs.encode_message(message, 1, 1, place, key, 0.0)

        datagram = encode()

        def decode(datagram: bytes = datagram) -> codecs.Received:
            return codecs.decode_message(datagram, place, (key,), 0.0)

        name = codecs.message_type_name(message)
        sent, received = seconds_of(encode) * 1e6, seconds_of(decode) * 1e6
        print(f"{name:18} {len(datagram):6} {sent:8.0f} {received:10.0f}")


def print_slopes(found: list[Figures]) -> None:
    """Print a straight line through each figure and its value at the target."""
    sizes = [float(figures.nodes) for figures in found]
    print(f"{'figure':30} {'a node':>10} {'constant':>10} {'at 390':>10}")
    for name in Figures._fields[1:]:
        values = [getattr(figures, name) for figures in found]
        slope, constant = linear_regression(sizes, values)
        target = constant + slope * TARGET_NODES
        print(f"{name:30} {slope:10.5f} {constant:10.4f} {target:10.4f}")
    print(f"bounds for all control work: {BYTES_BOUND} bytes/s, CPU {CPU_BOUND}")


def main() -> None:
    """Print figures of every size, slopes and message costs."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="*", default=[3, 6, 12, 18])
    parser.add_argument("--idle-seconds", type=float, default=15.0)
    parser.add_argument("--rate-per-node", type=float, default=2.0)
    options = parser.parse_args()
    print_message_costs()
    found = []
    for nodes in options.sizes:
        figures = measure_fleet(nodes, options.idle_seconds, options.rate_per_node)
        print(
            " ".join(
                f"{name}={value:.4g}" for name, value in figures._asdict().items()
            ),
            flush=True,
        )
        found.append(figures)
    if len(found) > 1:
        print_slopes(found)


if __name__ == "__main__":
    main()
