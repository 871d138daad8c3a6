"""Measures the propagation delay and the cost of configuration changes.

Run ``python -m experiments.configuration_propagation`` from the root. It starts the
platform stand-ins and several entry processes on loopback, writes changes through one
entry, and restarts all entries at once. The CPU time of applying a configuration with
many accounts is measured in the process of this module.
"""

from __future__ import annotations

import argparse
import json
import os
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from random import Random
from statistics import quantiles
from typing import Any

from carawayhitch import codecs, controllers
from carawayhitch.board import Board, new_board
from carawayhitch.core import actions, events, settings
from fakes.processes import ADMIN_TOKEN, Fleet, call, token_hash

ADMIN_HEADERS = {"Authorization": f"Bearer {ADMIN_TOKEN}"}
ZONES = "abc"
POLL_SECONDS = 0.02
# Entries not chosen to watch keep their open watches until the 30 s watch timeout.
SETTLE_SECONDS = 35.0
CHANGES_PER_DAY = 4100


def format_percentiles(values: list[float]) -> str:
    """Format median, 99th percentile and maximum."""
    if len(values) < 2:
        return f"only {len(values)} values"
    cuts = quantiles(values, n=100, method="inclusive")
    return f"p50 {cuts[49]:.3f}, p99 {cuts[98]:.3f}, maximum {max(values):.3f}"


def read_json(url: str) -> Any:
    """Return the decoded JSON answer of an admin or stand-in URL."""
    return json.loads(call("GET", url, None, ADMIN_HEADERS, timeout=10.0)[1])


def read_store_calls(fleet: Fleet) -> dict[str, int]:
    """Return the number of calls that the store has received, by kind."""
    return read_json(fleet.url("store") + "/fake/calls")


def subtract_counts(after: dict[str, int], before: dict[str, int]) -> dict[str, int]:
    """Return the increase of each count."""
    return {kind: count - before.get(kind, 0) for kind, count in after.items()}


def read_cpu_seconds(process_id: int) -> float:
    """Return the CPU time that a process has used."""
    fields = Path(f"/proc/{process_id}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def start_fleet(entry_count: int) -> tuple[Fleet, list[str]]:
    """Start a fleet and return it with the names of its entries."""
    fleet = Fleet()
    fleet.start_platform()
    fleet.put_defaults()
    names = [f"entry-{index}" for index in range(entry_count)]
    for name in names:
        fleet.reserve_entry_ports(name)
    start_entries(fleet, names)
    return fleet, names


def start_entries(fleet: Fleet, names: list[str]) -> None:
    """Start all entries at once and wait until they are ready."""
    for index, name in enumerate(names):
        fleet.start_entry(name, zone=ZONES[index % len(ZONES)], wait=False)
    for name in names:
        fleet.wait_ready(name)


def time_one_change(fleet: Fleet, names: list[str], version: int, index: int) -> Any:
    """Write one change; return its version and the delay until in force everywhere."""
    body = {
        "change_id": f"measured-{index}",
        "expected_version": version,
        "declaration": {
            "name": "hotel",
            "token_sha256s": [token_hash("hotel-token")],
            "quota_weight": 1.0 + index,
        },
    }
    url = fleet.url(names[0]) + "/admin/v1/objects/client_account/hotel"
    status, answer, _ = call("PUT", url, body, ADMIN_HEADERS)
    accepted_at = time.monotonic()
    if status != 200:
        raise RuntimeError(f"change {index}: {status} {answer!r}")
    version = json.loads(answer)["version"]

    def seconds_until_in_force(name: str) -> float:
        while time.monotonic() - accepted_at < 60:
            status = read_json(fleet.url(name) + "/admin/v1/status")
            if status["in_force_revision"] >= version:
                return time.monotonic() - accepted_at
            time.sleep(POLL_SECONDS)
        raise RuntimeError(f"{name}: revision {version} is not in force after 60 s")

    with ThreadPoolExecutor(len(names)) as pool:
        return version, max(pool.map(seconds_until_in_force, names))


def read_exchanged_bytes(fleet: Fleet, name: str) -> float:
    """Return the bytes that an entry sent and received in configuration exchanges."""
    text = call("GET", fleet.url(name) + "/metrics")[1].decode()
    prefix = "carawayhitch_exchange_bytes_total"
    return sum(
        float(line.split()[-1]) for line in text.splitlines() if line.startswith(prefix)
    )


def measure_changes(fleet: Fleet, names: list[str], count: int) -> None:
    """Print the propagation delay of changes, their store calls and their bytes."""
    calls_before = read_store_calls(fleet)
    bytes_before = {name: read_exchanged_bytes(fleet, name) for name in names}
    started = time.monotonic()
    objects = read_json(fleet.url(names[0]) + "/admin/v1/objects")["objects"]
    version = next(item["version"] for item in objects if item["name"] == "hotel")
    delays = []
    for index in range(count):
        version, delay = time_one_change(fleet, names, version, index)
        delays.append(delay)
    elapsed = time.monotonic() - started
    call_counts = subtract_counts(read_store_calls(fleet), calls_before)
    exchanged_by_entry = [
        read_exchanged_bytes(fleet, name) - bytes_before[name] for name in names
    ]
    print(f"{count} changes in {elapsed:.1f} s with {len(names)} entries")
    print(f"  seconds until in force everywhere: {format_percentiles(delays)}")
    print(f"  store calls: {call_counts}")
    print(
        f"  exchanged bytes per entry: mean "
        f"{sum(exchanged_by_entry) / len(exchanged_by_entry):.0f}, "
        f"maximum {max(exchanged_by_entry):.0f}; "
        f"{sum(exchanged_by_entry) / len(exchanged_by_entry) / count:.0f} per change"
    )


def measure_idle(fleet: Fleet, names: list[str], seconds: float) -> None:
    """Print the cost of an interval without changes, and how many entries watch."""
    time.sleep(SETTLE_SECONDS)
    calls_before = read_store_calls(fleet)
    bytes_before = {name: read_exchanged_bytes(fleet, name) for name in names}
    cpu_before = {
        name: read_cpu_seconds(fleet.processes_by_name[name].pid) for name in names
    }
    time.sleep(seconds)
    exchanged_by_entry = [
        read_exchanged_bytes(fleet, name) - bytes_before[name] for name in names
    ]
    cpu_used = [
        read_cpu_seconds(fleet.processes_by_name[name].pid) - cpu_before[name]
        for name in names
    ]
    watching = [
        name
        for name in names
        if read_json(fleet.url(name) + "/admin/v1/status")["watching"]
    ]
    print(f"idle for {seconds:.0f} s with {len(names)} entries")
    print(f"  entries that watch: {len(watching)} in {len(ZONES)} zones")
    print(f"  store calls: {subtract_counts(read_store_calls(fleet), calls_before)}")
    print(
        f"  exchanged bytes/s per entry: "
        f"{sum(exchanged_by_entry) / len(exchanged_by_entry) / seconds:.0f}"
    )
    print(
        f"  CPU share per entry: "
        f"{sum(cpu_used) / len(cpu_used) / seconds:.2%} (whole process)"
    )


def measure_restart(fleet: Fleet, names: list[str]) -> None:
    """Print the calls to the store while all entries restart at once."""
    for name in names:
        fleet.kill(name)
    before = read_store_calls(fleet)
    started = time.monotonic()
    with ThreadPoolExecutor(1) as pool:
        restarted = pool.submit(start_entries, fleet, names)
        calls_by_second: list[int] = []
        previous = before
        while not restarted.done() or len(calls_by_second) < 6:
            time.sleep(1.0)
            current = read_store_calls(fleet)
            calls_by_second.append(sum(subtract_counts(current, previous).values()))
            previous = current
        restarted.result()
    print(f"restart of {len(names)} entries at once")
    print(f"  sampled for {time.monotonic() - started:.1f} s until all were ready")
    print(f"  store calls in each second: {calls_by_second}")
    print(f"  store calls by kind: {subtract_counts(previous, before)}")


def stored_account(index: int, weight: float) -> events.StoredObject:
    """Return a generated client account as a stored object."""
    name = f"account-{index:05}"
    value = {
        "name": name,
        "token_sha256s": [token_hash(f"token-{index}"), token_hash(f"spare-{index}")],
        "labels": {"tier": "abc"[index % 3], "country": f"c{index % 40}"},
        "quota_weight": weight,
    }
    body = json.dumps(value).encode()
    return events.StoredObject("client_account", name, index + 1, body)


def measure_apply_cost(account_count: int, repeats: int) -> None:
    """Print the CPU time of applying a configuration with many accounts."""
    board = new_board(
        settings.Settings(
            node=settings.NodeSettings("n1", "a", "r1"),
            peers=settings.PeerSettings(keys=(settings.PeerKey(1, "k" * 32),)),
            store=settings.StoreSettings("http://127.0.0.1:1"),
            platform=settings.PlatformSettings("http://127.0.0.1:1"),
        ),
        1,
    )
    other_declarations: tuple[tuple[str, dict[str, Any]], ...] = (
        ("rank_class", {"name": "urgent", "priority": 0}),
        ("serving_group", {"name": "quotes", "selector": {"model": "quotes"}}),
        ("binding", {"name": "all", "group": "quotes", "rank": "urgent"}),
    )
    objects = [stored_account(index, 1.0) for index in range(account_count)]
    objects += (
        events.StoredObject(
            kind, value["name"], account_count + 1 + index, json.dumps(value).encode()
        )
        for index, (kind, value) in enumerate(other_declarations)
    )
    random = Random(1)
    revision = account_count + len(other_declarations)
    started = time.process_time()
    process_event(board, events.ObjectsListed(revision, tuple(objects)), random)
    full_set_seconds = time.process_time() - started
    assert board.configuration is not None
    change_seconds: list[float] = []
    for repeat in range(repeats):
        revision += 1
        changed = stored_account(repeat % account_count, 2.0 + repeat)
        changed = changed._replace(version=revision)
        event = events.ObjectsChanged("store", revision, (changed,))
        started = time.process_time()
        process_event(board, event, random)
        change_seconds.append(time.process_time() - started)
    assert board.configuration.revision == revision
    started = time.process_time()
    for stored in objects:
        codecs.decode_object(stored)
    decoding_seconds = time.process_time() - started
    mean_change_seconds = sum(change_seconds) / len(change_seconds)
    print(f"{account_count} accounts, {sum(len(o.value) for o in objects)} bytes")
    print(f"  CPU seconds, whole set: {full_set_seconds:.4f}")
    print(f"  CPU seconds, decoding of all objects: {decoding_seconds:.4f}")
    print(f"  CPU seconds, one change: {format_percentiles(change_seconds)}")
    print(
        f"  CPU share at {CHANGES_PER_DAY} changes a day: "
        f"{mean_change_seconds * CHANGES_PER_DAY / 86400:.4%}, "
        f"{(mean_change_seconds + decoding_seconds) * CHANGES_PER_DAY / 86400:.4%} "
        "if each change decoded every object"
    )


def process_event(board: Board, event: Any, random: Random) -> None:
    """Run the controllers on an event and its follow-ups, decoding as the node does."""
    pending = [event]
    while pending:
        decisions = controllers.decide(pending.pop(0), board, 1.0, random)
        for action in decisions:
            if isinstance(action, actions.Emit):
                pending.append(action.event)
            elif isinstance(action, actions.DecodeObjects):
                decoded = tuple(map(codecs.decode_object, action.objects))
                pending.append(events.ObjectsDecoded(action.operation_id, decoded))


def main() -> None:
    """Run all measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=int, default=12)
    parser.add_argument("--changes", type=int, default=200)
    parser.add_argument("--accounts", type=int, default=1200)
    parser.add_argument("--idle-seconds", type=float, default=20.0)
    options = parser.parse_args()
    measure_apply_cost(options.accounts, 200)
    fleet, names = start_fleet(options.entries)
    with fleet:
        measure_idle(fleet, names, options.idle_seconds)
        measure_changes(fleet, names, options.changes)
        measure_restart(fleet, names)


if __name__ == "__main__":
    main()
