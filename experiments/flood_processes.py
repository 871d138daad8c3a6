"""Floods over real processes: three entries before four engines, and a baseline.

Each scenario runs the entries of carawayhitch or entries that forward at once to the
least loaded engine. Tokens are prompt and output tokens as callers received them,
unless they are called output tokens.
"""

from __future__ import annotations

import argparse
import json
import os
import threading
from collections.abc import Sequence
from typing import NamedTuple

from carawayhitch.controllers._cells import order_by_rendezvous
from experiments._figures import jain_index
from experiments.load import (
    LOST_CODES,
    CallClass,
    CallRecord,
    codes,
    load,
    mean_tokens,
    percentiles,
)
from fakes.processes import Fleet, call, token_hash

ENTRIES = ("entry-1", "entry-2", "entry-3")
ENGINES = ("engine-1", "engine-2", "engine-3", "engine-4")
RUNNING_LIMIT = 8
STEP_SECONDS = 0.02
STEP_SECONDS_PER_RUNNING = 0.0002
MEMORY_TOKENS = 2500
ACCOUNTS = ("small-1", "small-2", "small-3", "small-4", "large")
LOOKUP = "work=lookup"
PATIENT_FLOOR = 0.2
PROMPT_TOKENS = 50
SETTINGS = """
[scheduling]
charge_window_seconds = 10.0
[logs]
level = "warning"
"""


class Setup(NamedTuple):
    """What is fixed in one run.

    Parameters
    ----------
    weights : tuple of float
        Quota weights of the accounts.
    queue_limit : int
        Asks that may wait in the patient rank.
    """

    policy: str
    seed: int
    weights: tuple[float, ...] = (1.0,) * 5
    memory_tokens: int = MEMORY_TOKENS
    queue_limit: int = 1000


def capacity_tokens() -> float:
    """Return the output tokens per second of all engines when their slots are full."""
    step = STEP_SECONDS + STEP_SECONDS_PER_RUNNING * RUNNING_LIMIT
    return len(ENGINES) * RUNNING_LIMIT / step


def start(setup: Setup) -> Fleet:
    """Start engines and the entries of a policy; the caller stops the fleet."""
    fleet = Fleet(SETTINGS)
    fleet.start_platform()
    for engine in ENGINES:
        fleet.start_engine(
            engine,
            *("--running-limit", str(RUNNING_LIMIT)),
            *("--step-seconds", str(STEP_SECONDS)),
            *("--memory-tokens", str(setup.memory_tokens)),
        )
    if setup.policy == "least_loaded":
        ports = [str(fleet.ports_by_name[engine]) for engine in ENGINES]
        for entry in ENTRIES:
            fleet.start_module(
                entry, "fakes.least_loaded_entry", "--upstream-ports", *ports
            )
        return fleet
    declare(fleet, setup)
    for entry in ENTRIES:
        fleet.start_entry(entry)
    return fleet


def declare(fleet: Fleet, setup: Setup) -> None:
    """Declare ranks, bindings and accounts."""
    urgent = {"priority": 0, "floor": 0.1, "maximum_wait_seconds": 5.0}
    patient = {
        "priority": 10,
        "floor": PATIENT_FLOOR,
        "maximum_wait_seconds": 10.0,
        "queue_limit": setup.queue_limit,
    }
    fleet.put_object("rank_class", "urgent", urgent)
    fleet.put_object("rank_class", "patient", patient)
    fleet.put_object("serving_group", "quotes", {"selector": {"model": "quotes"}})
    fleet.put_object("binding", "documents", {"group": "quotes", "rank": "patient"})
    fleet.put_object(
        "binding",
        "lookups",
        {
            "group": "quotes",
            "rank": "urgent",
            "request_selector": {"work": "lookup"},
            "precedence": 10,
        },
    )
    for account, weight in zip(ACCOUNTS, setup.weights, strict=True):
        value = {"token_sha256s": [token_hash(account)], "quota_weight": weight}
        fleet.put_object("client_account", account, value)


def urls(fleet: Fleet, *entries: str) -> tuple[str, ...]:
    """Return the addresses of entries, of all without a name."""
    return tuple(fleet.url(entry) for entry in entries or ENTRIES)


def lookups(fleet: Fleet, rate: float, end: float, start: float = 0.0) -> CallClass:
    """Return short urgent calls."""
    return CallClass(
        "urgent",
        "small-1",
        LOOKUP,
        urls(fleet),
        rate,
        start,
        end,
        prompt_tokens=PROMPT_TOKENS,
        median_tokens=8.0,
        spread=0.5,
        maximum_tokens=100,
    )


def documents(
    fleet: Fleet,
    name: str,
    share: float,
    end: float,
    start: float = 0.0,
    account: str = "small-2",
    entries: tuple[str, ...] = (),
) -> CallClass:
    """Return heavy-tailed patient calls, a fifth of them whole, at a share of capacity.

    Parameters
    ----------
    share : float
        Offered output tokens as a multiple of the capacity.
    """
    unit = CallClass(
        name,
        account,
        "",
        urls(fleet, *entries),
        1.0,
        start,
        end,
        prompt_tokens=PROMPT_TOKENS,
        median_tokens=40.0,
        spread=1.0,
        maximum_tokens=600,
        streamed_share=0.8,
    )
    return unit._replace(rate=share * capacity_tokens() / mean_tokens(unit))


def of_class(
    records: Sequence[CallRecord], name: str, start: float = 0.0, end: float = 1e9
) -> list[CallRecord]:
    """Return the records of a class that arrived in an interval."""
    return [
        record
        for record in records
        if record.call.call_class.name == name and start <= record.call.at < end
    ]


def served_tokens(
    records: Sequence[CallRecord], start: float, end: float, output_only: bool = False
) -> int:
    """Return the tokens that callers received in an interval.

    A whole answer counts when it arrives.
    """
    total = 0
    for record in records:
        prompt = 0 if output_only else record.call.call_class.prompt_tokens
        if record.token_times:
            total += sum(start <= at < end for at in record.token_times)
            total += prompt * (start <= record.token_times[0] < end)
        elif record.token_count:
            total += (prompt + record.token_count) * (start <= record.ended_at < end)
    return total


def first_token_ms(records: Sequence[CallRecord]) -> str:
    """Return p50, p95 and p99 of the times to first token.

    Calls that were cancelled without a token at the end of the run count with the time
    that they waited; refused ones do not count.
    """
    found = [
        record.first_token_seconds
        for record in records
        if record.call.streamed and (record.token_times or record.code == "UNFINISHED")
    ]
    return " ".join(f"{value:.0f}" for value in percentiles(found))


def gaps_ms(records: Sequence[CallRecord]) -> str:
    """Return p50, p95, p99 and the highest time between tokens."""
    found = [gap for record in records for gap in record.gaps]
    highest = max(found, default=float("nan")) * 1000
    return " ".join(f"{v:.0f}" for v in (*percentiles(found), highest))


def lost(records: Sequence[CallRecord]) -> int:
    """Return the calls that ended without a code."""
    return sum(record.code in LOST_CODES for record in records)


def lateness_ms(records: Sequence[CallRecord]) -> float:
    """Return the p99 of how late the load tool sent calls."""
    return percentiles([record.started_at - record.call.at for record in records])[2]


def report(setup: Setup, label: str, records: Sequence[CallRecord]) -> None:
    """Print what every scenario has in common."""
    load_1 = os.getloadavg()[0]
    print(
        f"{setup.policy} {label}: {len(records)} calls, lost without a code "
        f"{lost(records)}, sent late p99 {lateness_ms(records):.0f} ms, "
        f"machine load {load_1:.1f}",
        flush=True,
    )
    for name in dict.fromkeys(record.call.call_class.name for record in records):
        found = of_class(records, name)
        print(
            f"  {name}: first token p50 p95 p99 ms {first_token_ms(found)}; gaps p50 "
            f"p95 p99 max ms {gaps_ms(found)}; {codes(found)}",
            flush=True,
        )


def run_patient_flood(setup: Setup) -> None:
    """Lookups beside documents at 0, 0.7 and 5 times the capacity; then recovery."""
    for share in (0.0, 0.7, 5.0):
        with start(setup) as fleet:
            classes = [lookups(fleet, 10.0, 20.0)]
            if share:
                classes.append(documents(fleet, "patient", share, 20.0))
            records = load(classes, setup.seed, 12.0)
        report(setup, f"patient load {share}", records)
        settled = of_class(records, "urgent", 4.0)
        print(f"  urgent from 4 s: first token ms {first_token_ms(settled)}")
        print(f"  output tokens/s {served_tokens(records, 4.0, 20.0, True) / 16:.0f}")


def run_urgent_flood(setup: Setup) -> None:
    """Lookups at 5 times the capacity beside documents at 0.7.

    The lookups are longer than in the other scenarios: with 8 tokens, 820 calls a
    second are needed, and the load tool was 1.3 s late.
    """
    with start(setup) as fleet:
        flood = lookups(fleet, 1.0, 25.0)._replace(median_tokens=24.0)
        rate = 5.0 * capacity_tokens() / mean_tokens(flood)
        classes = [flood._replace(rate=rate), documents(fleet, "patient", 0.7, 25.0)]
        records = load(classes, setup.seed, 6.0)
    report(setup, "urgent flood", records)
    patient = of_class(records, "patient")
    shares = []
    for begin in range(5, 16):
        total = served_tokens(records, begin, begin + 10)
        shares.append(served_tokens(patient, begin, begin + 10) / max(total, 1))
    print(f"  patient share in 10 s: lowest {min(shares):.3f}, floor {PATIENT_FLOOR}")
    print(f"  patient share from 5 to 25 s: {sum(shares) / len(shares):.3f}")


def run_fairness(setup: Setup) -> None:
    """Four small accounts at 80% of their quota, alone and beside one at 10 times."""
    quota = 1.0 / len(ACCOUNTS)
    served_alone: dict[str, int] = {}
    for large_share in (0.0, 10 * quota):
        with start(setup) as fleet:
            classes = [
                documents(
                    fleet,
                    name,
                    0.8 * quota,
                    25.0,
                    account=name,
                    entries=(ENTRIES[1 + index % 2],),
                )
                for index, name in enumerate(ACCOUNTS[:4])
            ]
            if large_share:
                entries = ENTRIES[:2]
                classes.append(
                    documents(
                        fleet,
                        "large",
                        large_share,
                        25.0,
                        account="large",
                        entries=entries,
                    )
                )
            records = load(classes, setup.seed, 12.0)
        report(setup, f"large account at {large_share / quota:.0f} quotas", records)
        for name in ACCOUNTS[:4]:
            served = served_tokens(of_class(records, name, 0.0, 25.0), 0.0, 40.0)
            alone = served_alone.setdefault(name, served)
            print(f"  {name}: {served} tokens, {served / alone:.3f} of alone")
        small = [r for r in records if r.call.call_class.name != "large"]
        print(f"  small accounts: first token ms {first_token_ms(small)}")


def run_quotas(setup: Setup) -> None:
    """Five accounts with weights 1 to 4, all far above their share."""
    weights = (1.0, 1.0, 2.0, 2.0, 4.0)
    with start(setup._replace(weights=weights)) as fleet:
        classes = [
            documents(
                fleet,
                name,
                1.0,
                35.0,
                account=name,
                entries=(ENTRIES[index % 3],),
            )
            for index, name in enumerate(ACCOUNTS)
        ]
        records = load(classes, setup.seed, 1.0)
    report(setup, "quotas", records)
    served = [
        served_tokens(of_class(records, name), 5.0, 35.0) / weight
        for name, weight in zip(ACCOUNTS, weights, strict=True)
    ]
    print(f"  tokens by weight {[round(value) for value in served]}")
    print(f"  Jain's index {jain_index(served):.4f}")


def run_memory(setup: Setup) -> None:
    """Heavy-tailed documents at 1.5 times the capacity on engines with less memory."""
    with start(setup._replace(memory_tokens=900)) as fleet:
        records = load([documents(fleet, "patient", 1.5, 25.0)], setup.seed, 12.0)
        preemptions = sum(
            int(engine_state(fleet, engine)["preemptions"]) for engine in ENGINES
        )
    report(setup, "memory", records)
    print(f"  preemptions {preemptions}")
    print(f"  output tokens/s {served_tokens(records, 5.0, 25.0, True) / 20:.0f}")


def engine_state(fleet: Fleet, engine: str) -> dict[str, int]:
    """Return the counters of an engine."""
    return json.loads(call("GET", fleet.url(engine) + "/fake/state")[1])


def run_recovery(setup: Setup) -> None:
    """Print service in the 5 s intervals around a flood from 5 to 15 s."""
    with start(setup) as fleet:
        classes = [
            lookups(fleet, 10.0, 45.0),
            documents(fleet, "patient", 0.5, 45.0),
            documents(fleet, "flood", 5.0, 15.0, 5.0, account="large"),
        ]
        records = load(classes, setup.seed, 15.0)
    report(setup, "recovery, flood from 5 to 15 s", records)
    for begin in range(0, 45, 5):
        patient = of_class(records, "patient", begin, begin + 5)
        urgent = of_class(records, "urgent", begin, begin + 5)
        complete = sum(record.code == "COMPLETE" for record in patient)
        print(
            f"  from {begin} s: patient complete {complete}/{len(patient)}, first "
            f"token ms {first_token_ms(patient)}; urgent {first_token_ms(urgent)}"
        )


def run_scheduler_kill(setup: Setup) -> None:
    """Kill the scheduler, or the first baseline entry, in a patient flood at 10 s."""
    killed = order_by_rendezvous("quotes/r1/0", ENTRIES)[0]
    others = tuple(entry for entry in ENTRIES if entry != killed)
    with start(setup) as fleet:
        classes = [
            lookups(fleet, 10.0, 30.0)._replace(urls=urls(fleet, *others)),
            documents(fleet, "patient", 4.0, 30.0, entries=others),
            documents(fleet, "at killed entry", 1.0, 10.0, account="large")._replace(
                urls=urls(fleet, killed, *others)
            ),
        ]
        timer = threading.Timer(10.0, fleet.kill, (killed,))
        timer.start()
        try:
            records = load(classes, setup.seed, 12.0)
        finally:
            timer.cancel()
            timer.join()
        dead_url = fleet.url(killed)
    report(setup, f"scheduler {killed} killed at 10 s", records)
    elsewhere = [record for record in records if record.call.url != dead_url]
    own = [record for record in records if record.call.url == dead_url]
    print(f"  calls at other entries lost: {lost(elsewhere)}")
    print(
        f"  calls at the killed entry: {codes(own)}, resumed "
        f"{sum(record.resume_count > 0 for record in own)}, of these complete "
        f"{sum(r.resume_count > 0 and r.code == 'COMPLETE' for r in own)}"
    )
    for begin, end in ((4, 10), (10, 14), (14, 30)):
        urgent = of_class(records, "urgent", begin, end)
        tokens = served_tokens(records, begin, end, True) / (end - begin)
        print(
            f"  from {begin} to {end} s: urgent first token ms "
            f"{first_token_ms(urgent)}; output tokens/s {tokens:.0f}"
        )


SCENARIOS = {
    "patient_flood": run_patient_flood,
    "urgent_flood": run_urgent_flood,
    "fairness": run_fairness,
    "quotas": run_quotas,
    "memory": run_memory,
    "recovery": run_recovery,
    "scheduler_kill": run_scheduler_kill,
}


def main() -> None:
    """Run scenarios."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--scenario", choices=(*SCENARIOS, "all"), default="all")
    parser.add_argument(
        "--policy", choices=("carawayhitch", "least_loaded", "both"), default="both"
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--queue-limit", type=int, default=1000)
    options = parser.parse_args()
    names = SCENARIOS if options.scenario == "all" else (options.scenario,)
    policies = ("carawayhitch", "least_loaded")
    for name in names:
        for policy in policies if options.policy == "both" else (options.policy,):
            print(f"== {name}, seed {options.seed}")
            SCENARIOS[name](
                Setup(policy, options.seed, queue_limit=options.queue_limit)
            )


if __name__ == "__main__":
    main()
