"""Measures how fast, and at what cost, configuration changes are in force everywhere.

Run ``python -m experiments.configuration_propagation`` from the root. It starts the
stand-ins and some entry processes on loopback, writes changes through one entry, and
restarts all entries at once. The cost of putting a configuration of many accounts in
force is measured in this process.
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
from fakes.processes import ADMIN_TOKEN, Fleet, call, free_port, token_hash

ADMIN_HEADERS = {"Authorization": f"Bearer {ADMIN_TOKEN}"}
ZONES = "abc"
POLL_SECONDS = 0.02
# Watches of entries that need not watch end with their timeout of 30 s.
SETTLE_SECONDS = 35.0
CHANGES_A_DAY = 4100


def summary(values: list[float]) -> str:
    """Return median, 99th percentile and maximum."""
    if len(values) < 2:
        return f"only {len(values)} values"
    cuts = quantiles(values, n=100, method="inclusive")
    return f"p50 {cuts[49]:.3f}, p99 {cuts[98]:.3f}, maximum {max(values):.3f}"


def read_json(url: str) -> Any:
    """Return the decoded JSON of an operators' or stand-in's address."""
    return json.loads(call("GET", url, None, ADMIN_HEADERS, timeout=10.0)[1])


def store_calls(fleet: Fleet) -> dict[str, int]:
    """Return the store's calls so far, by kind."""
    return read_json(fleet.url("store") + "/fake/calls")


def difference(after: dict[str, int], before: dict[str, int]) -> dict[str, int]:
    """Return how much each count grew."""
    return {kind: count - before.get(kind, 0) for kind, count in after.items()}


def processor_seconds(process_id: int) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{process_id}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def start_fleet(entry_count: int) -> tuple[Fleet, list[str]]:
    """Return a running fleet and the names of its entries."""
    fleet = Fleet()
    fleet.start_platform()
    fleet.put_defaults()
    names = [f"entry-{index}" for index in range(entry_count)]
    for name in names:
        fleet.entry_ports[name] = (free_port(), free_port())
    start_entries(fleet, names)
    return fleet, names


def start_entries(fleet: Fleet, names: list[str]) -> None:
    """Start all entries at once and wait until they are ready."""
    for index, name in enumerate(names):
        fleet.start_entry(name, zone=ZONES[index % len(ZONES)], wait=False)
    for name in names:
        fleet.wait_ready(name)


def change_once(fleet: Fleet, names: list[str], version: int, index: int) -> Any:
    """Write one change and return its version and the seconds until in force."""
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


def exchanged_bytes(fleet: Fleet, name: str) -> float:
    """Return the bytes of exchanges that an entry has sent and received."""
    text = call("GET", fleet.url(name) + "/metrics")[1].decode()
    prefix = "carawayhitch_exchange_bytes_total"
    return sum(
        float(line.split()[-1]) for line in text.splitlines() if line.startswith(prefix)
    )


def measure_changes(fleet: Fleet, names: list[str], count: int) -> None:
    """Print how fast changes are in force, and their calls and bytes."""
    calls = store_calls(fleet)
    sent = {name: exchanged_bytes(fleet, name) for name in names}
    started = time.monotonic()
    objects = read_json(fleet.url(names[0]) + "/admin/v1/objects")["objects"]
    version = next(item["version"] for item in objects if item["name"] == "hotel")
    seconds = []
    for index in range(count):
        version, taken = change_once(fleet, names, version, index)
        seconds.append(taken)
    elapsed = time.monotonic() - started
    counted = difference(store_calls(fleet), calls)
    grown = [exchanged_bytes(fleet, name) - sent[name] for name in names]
    print(f"{count} changes in {elapsed:.1f} s at {len(names)} entries")
    print(f"  seconds until in force everywhere: {summary(seconds)}")
    print(f"  store calls: {counted}")
    print(
        f"  exchanged bytes an entry: mean {sum(grown) / len(grown):.0f}, "
        f"maximum {max(grown):.0f}; {sum(grown) / len(grown) / count:.0f} a change"
    )


def measure_idle(fleet: Fleet, names: list[str], seconds: float) -> None:
    """Print the cost of entries without changes, and who watches the store."""
    time.sleep(SETTLE_SECONDS)
    calls = store_calls(fleet)
    sent = {name: exchanged_bytes(fleet, name) for name in names}
    used = {
        name: processor_seconds(fleet.processes_by_name[name].pid) for name in names
    }
    time.sleep(seconds)
    grown = [exchanged_bytes(fleet, name) - sent[name] for name in names]
    busy = [
        processor_seconds(fleet.processes_by_name[name].pid) - used[name]
        for name in names
    ]
    watching = [
        name
        for name in names
        if read_json(fleet.url(name) + "/admin/v1/status")["watching"]
    ]
    print(f"idle for {seconds:.0f} s at {len(names)} entries")
    print(f"  entries that watch: {len(watching)} in {len(ZONES)} zones")
    print(f"  store calls: {difference(store_calls(fleet), calls)}")
    print(
        f"  exchanged bytes a second an entry: {sum(grown) / len(grown) / seconds:.0f}"
    )
    print(f"  share of a core an entry: {sum(busy) / len(busy) / seconds:.2%} (whole)")


def measure_restart(fleet: Fleet, names: list[str]) -> None:
    """Print the store's calls when all entries restart at once."""
    for name in names:
        fleet.kill(name)
    before = store_calls(fleet)
    started = time.monotonic()
    with ThreadPoolExecutor(1) as pool:
        restarted = pool.submit(start_entries, fleet, names)
        rates: list[int] = []
        last = before
        while not restarted.done() or len(rates) < 6:
            time.sleep(1.0)
            now = store_calls(fleet)
            rates.append(sum(difference(now, last).values()))
            last = now
        restarted.result()
    print(f"restart of {len(names)} entries at once")
    print(f"  polled for {time.monotonic() - started:.1f} s until all were ready")
    print(f"  store calls in each second: {rates}")
    print(f"  store calls by kind: {difference(last, before)}")


def account(index: int, weight: float) -> events.StoredObject:
    """Return one of many accounts as the store holds it."""
    name = f"account-{index:05}"
    value = {
        "name": name,
        "token_sha256s": [token_hash(f"token-{index}"), token_hash(f"spare-{index}")],
        "labels": {"tier": "abc"[index % 3], "country": f"c{index % 40}"},
        "quota_weight": weight,
    }
    body = json.dumps(value).encode()
    return events.StoredObject("client_account", name, index + 1, body)


def measure_cost(account_count: int, repeats: int) -> None:
    """Print the time to put a configuration of many accounts in force."""
    board = new_board(
        settings.Settings(
            node=settings.NodeSettings("n1", "a", "r1"),
            peers=settings.PeerSettings(keys=(settings.PeerKey(1, "k" * 32),)),
            store=settings.StoreSettings("http://127.0.0.1:1"),
            platform=settings.PlatformSettings("http://127.0.0.1:1"),
        ),
        1,
    )
    others: tuple[tuple[str, dict[str, Any]], ...] = (
        ("rank_class", {"name": "urgent", "priority": 0}),
        ("serving_group", {"name": "quotes", "selector": {"model": "quotes"}}),
        ("binding", {"name": "all", "group": "quotes", "rank": "urgent"}),
    )
    objects = [account(index, 1.0) for index in range(account_count)]
    objects += (
        events.StoredObject(
            kind, value["name"], account_count + 1 + index, json.dumps(value).encode()
        )
        for index, (kind, value) in enumerate(others)
    )
    random = Random(1)
    revision = account_count + len(others)
    started = time.process_time()
    decide_all(board, events.ObjectsListed(revision, tuple(objects)), random)
    whole = time.process_time() - started
    assert board.configuration is not None
    single: list[float] = []
    for repeat in range(repeats):
        revision += 1
        changed = account(repeat % account_count, 2.0 + repeat)
        changed = changed._replace(version=revision)
        event = events.ObjectsChanged("store", revision, (changed,))
        started = time.process_time()
        decide_all(board, event, random)
        single.append(time.process_time() - started)
    assert board.configuration.revision == revision
    started = time.process_time()
    for stored in objects:
        codecs.decode_object(stored)
    decoding = time.process_time() - started
    mean = sum(single) / len(single)
    print(f"{account_count} accounts, {sum(len(o.value) for o in objects)} bytes")
    print(f"  processor seconds, whole set: {whole:.4f}")
    print(f"  processor seconds, decoding of all objects: {decoding:.4f}")
    print(f"  processor seconds, one change: {summary(single)}")
    print(
        f"  share of a core at {CHANGES_A_DAY} changes a day: "
        f"{mean * CHANGES_A_DAY / 86400:.4%}, "
        f"{(mean + decoding) * CHANGES_A_DAY / 86400:.4%} if all were decoded"
    )


def decide_all(board: Board, event: Any, random: Random) -> None:
    """Run the controllers until nothing is left, decoding as the node does."""
    pending = [event]
    while pending:
        decided = controllers.decide(pending.pop(0), board, 1.0, random)
        for action in decided:
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
    measure_cost(options.accounts, 200)
    fleet, names = start_fleet(options.entries)
    with fleet:
        measure_idle(fleet, names, options.idle_seconds)
        measure_changes(fleet, names, options.changes)
        measure_restart(fleet, names)


if __name__ == "__main__":
    main()
