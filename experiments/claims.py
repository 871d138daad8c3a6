"""Cost of claims: store calls and added latency by rate, service in a store outage.

Sends calls at fixed rates to three entries, with the store, a plain service and the
load in processes of their own, and prints one line for each rate and kind of call:
``lookup`` (idempotent, no claim), ``caller`` (keys of the caller), ``issued``.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import time
from collections import Counter
from typing import NamedTuple
from uuid import uuid4

import aiohttp

from fakes.processes import ACCOUNT_TOKENS, Fleet, call

ENTRIES = ("entry-1", "entry-2", "entry-3")
PATHS = {
    "lookup": "/services/register/search",
    "caller": "/services/register/guides",
    "issued": "/services/register/guides",
}
HEADERS = {
    "Authorization": f"Bearer {ACCOUNT_TOKENS['hotel']}",
    "Content-Type": "application/json",
}
KEY_BATCH = 100
# Answers are written up to a second after their calls.
SETTLE_SECONDS = 1.5


class Load(NamedTuple):
    """Calls of one kind at one rate."""

    kind: str
    rate: float
    seconds: float


class Outcome(NamedTuple):
    """What the calls of one load got."""

    statuses: Counter[int]
    latencies: list[float]
    seconds: float


def percentile(values: list[float], share: float) -> float:
    """Return a percentile in milliseconds."""
    ordered = sorted(values)
    index = min(len(ordered) - 1, int(share * len(ordered)))
    return ordered[index] * 1000 if ordered else float("nan")


async def issue_keys(
    session: aiohttp.ClientSession, fleet: Fleet, count: int
) -> list[str]:
    """Return keys issued by all entries in turn."""
    keys: list[str] = []
    while len(keys) < count:
        entry = ENTRIES[len(keys) // KEY_BATCH % len(ENTRIES)]
        url = fleet.url(entry) + "/v1/idempotency-keys"
        async with session.post(url, json={"count": KEY_BATCH}) as response:
            keys.extend((await response.json())["keys"])
    return keys


async def send_load(fleet: Fleet, load: Load) -> Outcome:
    """Send calls at even intervals, whether or not earlier ones were answered."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector, headers=HEADERS) as session:
        count = int(load.rate * load.seconds)
        keys = [str(uuid4()) for _ in range(count)]
        if load.kind == "issued":
            keys = await issue_keys(session, fleet, count)
        statuses: Counter[int] = Counter()
        latencies: list[float] = []

        async def send(number: int) -> None:
            url = fleet.url(ENTRIES[number % len(ENTRIES)]) + PATHS[load.kind]
            headers = {"Idempotency-Key": keys[number]}
            began = time.perf_counter()
            async with session.post(url, data=b"{}", headers=headers) as response:
                await response.read()
            statuses[response.status] += 1
            if response.status == 200:
                latencies.append(time.perf_counter() - began)

        started = time.perf_counter()
        tasks = []
        for number in range(count):
            pause = started + number / load.rate - time.perf_counter()
            if pause > 0:
                await asyncio.sleep(pause)
            tasks.append(asyncio.create_task(send(number)))
        await asyncio.gather(*tasks)
        return Outcome(statuses, latencies, time.perf_counter() - started)


def store_calls(fleet: Fleet) -> Counter[str]:
    """Return the calls that the store has counted."""
    return Counter(json.loads(call("GET", fleet.url("store") + "/fake/calls")[1]))


def measure(fleet: Fleet, load: Load) -> None:
    """Send one load and print what it cost."""
    before = store_calls(fleet)
    outcome = asyncio.run(send_load(fleet, load))
    time.sleep(SETTLE_SECONDS)
    used = store_calls(fleet) - before
    answered = outcome.statuses[200]
    print(
        f"{load.kind:7} {load.rate:6.0f} calls/s offered"
        f" {answered / outcome.seconds:7.1f} served/s"
        f" statuses {dict(outcome.statuses)}"
        f" p50 {percentile(outcome.latencies, 0.5):6.1f} ms"
        f" p99 {percentile(outcome.latencies, 0.99):6.1f} ms"
        f" writes/call {used['PUT objects'] / max(1, answered):.3f}"
        f" reads/call {used['GET objects'] / max(1, answered):.3f}"
        f" store calls/s {sum(used.values()) / outcome.seconds:.0f}",
        flush=True,
    )


def measure_outage(fleet: Fleet, load: Load) -> None:
    """Send one load while the store is down and print the share that was served."""
    fleet_url = fleet.url("store") + "/fake/faults"
    call("POST", fleet_url, {"down": True})
    outcome = asyncio.run(send_load(fleet, load))
    call("POST", fleet_url, {"down": False})
    total = sum(outcome.statuses.values())
    print(
        f"outage  {load.kind:7} {outcome.statuses[200]} of {total} served"
        f" statuses {dict(outcome.statuses)}",
        flush=True,
    )
    time.sleep(2.0)


def main() -> None:
    """Run all loads against one fleet."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rates", default="10,50,100,200,400")
    parser.add_argument("--seconds", type=float, default=5.0, help="of each load")
    parser.add_argument("--shards", type=int, default=16)
    parser.add_argument("--batch-seconds", type=float, default=0.02)
    parser.add_argument("--completion-seconds", type=float, default=0.2)
    parser.add_argument("--store-delay", type=float, default=0.003, help="seconds")
    options = parser.parse_args()
    settings = (
        f"[idempotency]\njournal_shards = {options.shards}\n"
        f"batch_interval_seconds = {options.batch_seconds}\n"
        f"completion_interval_seconds = {options.completion_seconds}\n"
    )
    with Fleet(settings) as fleet:
        fleet.start_platform()
        for number in range(3):
            fleet.start_service(f"service-{number}", "register")
        fleet.put_defaults()
        for entry in ENTRIES:
            fleet.start_entry(entry)
        time.sleep(1.0)
        faults = {"delay_seconds": options.store_delay}
        call("POST", fleet.url("store") + "/fake/faults", faults)
        print(vars(options), flush=True)
        for rate in map(float, options.rates.split(",")):
            for kind in PATHS:
                measure(fleet, Load(kind, rate, options.seconds))
        for kind in ("caller", "issued"):
            measure_outage(fleet, Load(kind, 20.0, 5.0))


if __name__ == "__main__":
    main()
