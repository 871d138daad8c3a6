"""Overload scenarios with real processes: three entries, four engines, and a baseline.

Each scenario runs either the entries of carawayhitch or baseline entries that forward
every call immediately to the least loaded engine. Token counts are prompt plus output
tokens as received by callers, unless they are called output tokens.
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


class ScenarioSetup(NamedTuple):
    """Parameters of one run.

    Parameters
    ----------
    weights : tuple of float
        Quota weights of the accounts.
    queue_limit : int
        Maximum number of asks waiting in the patient rank.
    """

    policy: str
    seed: int
    weights: tuple[float, ...] = (1.0,) * 5
    memory_tokens: int = MEMORY_TOKENS
    queue_limit: int = 1000


def capacity_tokens_per_second() -> float:
    """Return the output tokens/s of all engines together at their running limit."""
    step = STEP_SECONDS + STEP_SECONDS_PER_RUNNING * RUNNING_LIMIT
    return len(ENGINES) * RUNNING_LIMIT / step


def start(setup: ScenarioSetup) -> Fleet:
    """Start the engines and the entries of a policy; the caller must stop the fleet."""
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
    store_declarations(fleet, setup)
    for entry in ENTRIES:
        fleet.start_entry(entry)
    return fleet


def store_declarations(fleet: Fleet, setup: ScenarioSetup) -> None:
    """Store the rank classes, serving group, bindings and client accounts."""
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


def entry_urls(fleet: Fleet, *entries: str) -> tuple[str, ...]:
    """Return the URLs of the named entries, or of all entries if none is named."""
    return tuple(fleet.url(entry) for entry in entries or ENTRIES)


def lookup_class(
    fleet: Fleet, rate: float, end: float, start: float = 0.0
) -> CallClass:
    """Return a class of short calls of the urgent rank."""
    return CallClass(
        "urgent",
        "small-1",
        LOOKUP,
        entry_urls(fleet),
        rate,
        start,
        end,
        prompt_tokens=PROMPT_TOKENS,
        median_tokens=8.0,
        spread=0.5,
        maximum_tokens=100,
    )


def document_class(
    fleet: Fleet,
    name: str,
    share: float,
    end: float,
    start: float = 0.0,
    account: str = "small-2",
    entries: tuple[str, ...] = (),
) -> CallClass:
    """Return a class of patient calls of heavy-tailed lengths, a fifth unstreamed.

    Parameters
    ----------
    share : float
        Offered output tokens/s as a multiple of the capacity.
    """
    unit_rate_class = CallClass(
        name,
        account,
        "",
        entry_urls(fleet, *entries),
        1.0,
        start,
        end,
        prompt_tokens=PROMPT_TOKENS,
        median_tokens=40.0,
        spread=1.0,
        maximum_tokens=600,
        streamed_share=0.8,
    )
    return unit_rate_class._replace(
        rate=share * capacity_tokens_per_second() / mean_tokens(unit_rate_class)
    )


def select_records(
    records: Sequence[CallRecord], name: str, start: float = 0.0, end: float = 1e9
) -> list[CallRecord]:
    """Return the records of a class whose calls arrived within an interval."""
    return [
        record
        for record in records
        if record.call.call_class.name == name and start <= record.call.at < end
    ]


def count_received_tokens(
    records: Sequence[CallRecord], start: float, end: float, output_only: bool = False
) -> int:
    """Return the tokens that callers received within an interval.

    The tokens of an unstreamed answer count at the time when it is complete.
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


def format_first_token_ms(records: Sequence[CallRecord]) -> str:
    """Return p50, p95 and p99 of the time to first token.

    Calls cancelled at the end of the run before their first token count with the time
    waited until then. Refused calls are left out.
    """
    times = [
        record.first_token_seconds
        for record in records
        if record.call.streamed and (record.token_times or record.code == "UNFINISHED")
    ]
    return " ".join(f"{value:.0f}" for value in percentiles(times))


def format_gaps_ms(records: Sequence[CallRecord]) -> str:
    """Return p50, p95, p99 and the maximum of the time between tokens."""
    gaps = [gap for record in records for gap in record.gaps]
    highest = max(gaps, default=float("nan")) * 1000
    return " ".join(f"{v:.0f}" for v in (*percentiles(gaps), highest))


def count_lost_calls(records: Sequence[CallRecord]) -> int:
    """Return the number of calls that ended without a result code."""
    return sum(record.code in LOST_CODES for record in records)


def send_delay_p99_ms(records: Sequence[CallRecord]) -> float:
    """Return the p99 of the delay between due time and sending of a call.

    The unit is that of ``percentiles``: milliseconds.
    """
    return percentiles([record.started_at - record.call.at for record in records])[2]


def print_common_results(
    setup: ScenarioSetup, label: str, records: Sequence[CallRecord]
) -> None:
    """Print the results that are common to all scenarios."""
    load_1 = os.getloadavg()[0]
    print(
        f"{setup.policy} {label}: {len(records)} calls, lost without a result code "
        f"{count_lost_calls(records)}, "
        f"send delay p99 {send_delay_p99_ms(records):.0f} ms, "
        f"machine load {load_1:.1f}",
        flush=True,
    )
    for name in dict.fromkeys(record.call.call_class.name for record in records):
        class_records = select_records(records, name)
        print(
            f"  {name}: first token p50 p95 p99 ms "
            f"{format_first_token_ms(class_records)}; "
            f"gaps p50 p95 p99 max ms {format_gaps_ms(class_records)}; "
            f"{codes(class_records)}",
            flush=True,
        )


def run_patient_flood(setup: ScenarioSetup) -> None:
    """Run lookups beside documents at 0, 0.7 and 5 times the capacity."""
    for share in (0.0, 0.7, 5.0):
        with start(setup) as fleet:
            classes = [lookup_class(fleet, 10.0, 20.0)]
            if share:
                classes.append(document_class(fleet, "patient", share, 20.0))
            records = load(classes, setup.seed, 12.0)
        print_common_results(setup, f"patient load {share}", records)
        records_after_start = select_records(records, "urgent", 4.0)
        print(
            f"  urgent from 4 s: first token ms "
            f"{format_first_token_ms(records_after_start)}"
        )
        print(
            f"  output tokens/s "
            f"{count_received_tokens(records, 4.0, 20.0, True) / 16:.0f}"
        )


def run_urgent_flood(setup: ScenarioSetup) -> None:
    """Run lookups at 5 times the capacity beside documents at 0.7 times.

    Lookups are longer than in the other scenarios: at 8 tokens this load needs 820
    calls/s, at which the load generator fell 1.3 s behind its schedule.
    """
    with start(setup) as fleet:
        flood = lookup_class(fleet, 1.0, 25.0)._replace(median_tokens=24.0)
        rate = 5.0 * capacity_tokens_per_second() / mean_tokens(flood)
        classes = [
            flood._replace(rate=rate),
            document_class(fleet, "patient", 0.7, 25.0),
        ]
        records = load(classes, setup.seed, 6.0)
    print_common_results(setup, "urgent flood", records)
    patient = select_records(records, "patient")
    shares = []
    for begin in range(5, 16):
        total = count_received_tokens(records, begin, begin + 10)
        shares.append(count_received_tokens(patient, begin, begin + 10) / max(total, 1))
    print(
        f"  patient share in 10 s windows: minimum {min(shares):.3f}, "
        f"floor {PATIENT_FLOOR}"
    )
    print(f"  patient share from 5 to 25 s: {sum(shares) / len(shares):.3f}")


def run_fairness(setup: ScenarioSetup) -> None:
    """Run four small accounts at 80% of quota, with and without one at 10 quotas."""
    quota = 1.0 / len(ACCOUNTS)
    served_without_large: dict[str, int] = {}
    for large_share in (0.0, 10 * quota):
        with start(setup) as fleet:
            classes = [
                document_class(
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
                    document_class(
                        fleet,
                        "large",
                        large_share,
                        25.0,
                        account="large",
                        entries=entries,
                    )
                )
            records = load(classes, setup.seed, 12.0)
        print_common_results(
            setup, f"large account at {large_share / quota:.0f} quotas", records
        )
        for name in ACCOUNTS[:4]:
            served = count_received_tokens(
                select_records(records, name, 0.0, 25.0), 0.0, 40.0
            )
            baseline = served_without_large.setdefault(name, served)
            print(
                f"  {name}: {served} tokens, "
                f"{served / baseline:.3f} of the tokens without it"
            )
        small = [r for r in records if r.call.call_class.name != "large"]
        print(f"  small accounts: first token ms {format_first_token_ms(small)}")


def run_quotas(setup: ScenarioSetup) -> None:
    """Run five accounts with weights 1 to 4, each offering far more than its share."""
    weights = (1.0, 1.0, 2.0, 2.0, 4.0)
    with start(setup._replace(weights=weights)) as fleet:
        classes = [
            document_class(
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
    print_common_results(setup, "quotas", records)
    served = [
        count_received_tokens(select_records(records, name), 5.0, 35.0) / weight
        for name, weight in zip(ACCOUNTS, weights, strict=True)
    ]
    print(f"  tokens per unit of weight {[round(value) for value in served]}")
    print(f"  Jain's index {jain_index(served):.4f}")


def run_memory(setup: ScenarioSetup) -> None:
    """Run heavy-tailed documents at 1.5 times capacity, on engines with less memory."""
    with start(setup._replace(memory_tokens=900)) as fleet:
        records = load([document_class(fleet, "patient", 1.5, 25.0)], setup.seed, 12.0)
        preemptions = sum(
            int(read_engine_state(fleet, engine)["preemptions"]) for engine in ENGINES
        )
    print_common_results(setup, "memory", records)
    print(f"  preemptions {preemptions}")
    print(
        f"  output tokens/s {count_received_tokens(records, 5.0, 25.0, True) / 20:.0f}"
    )


def read_engine_state(fleet: Fleet, engine: str) -> dict[str, int]:
    """Return the counters of an engine stand-in."""
    return json.loads(call("GET", fleet.url(engine) + "/fake/state")[1])


def run_recovery(setup: ScenarioSetup) -> None:
    """Print completed calls in 5 s intervals around a flood from 5 to 15 s."""
    with start(setup) as fleet:
        classes = [
            lookup_class(fleet, 10.0, 45.0),
            document_class(fleet, "patient", 0.5, 45.0),
            document_class(fleet, "flood", 5.0, 15.0, 5.0, account="large"),
        ]
        records = load(classes, setup.seed, 15.0)
    print_common_results(setup, "recovery, flood from 5 to 15 s", records)
    for begin in range(0, 45, 5):
        patient = select_records(records, "patient", begin, begin + 5)
        urgent = select_records(records, "urgent", begin, begin + 5)
        complete = sum(record.code == "COMPLETE" for record in patient)
        print(
            f"  from {begin} s: patient complete {complete}/{len(patient)}, first "
            f"token ms {format_first_token_ms(patient)}; "
            f"urgent {format_first_token_ms(urgent)}"
        )


def run_scheduler_kill(setup: ScenarioSetup) -> None:
    """Kill the scheduling entry 10 s into a patient flood.

    With the baseline, the entry of the same name is killed.
    """
    killed = order_by_rendezvous("quotes/r1/0", ENTRIES)[0]
    surviving_entries = tuple(entry for entry in ENTRIES if entry != killed)
    with start(setup) as fleet:
        classes = [
            lookup_class(fleet, 10.0, 30.0)._replace(
                urls=entry_urls(fleet, *surviving_entries)
            ),
            document_class(fleet, "patient", 4.0, 30.0, entries=surviving_entries),
            document_class(
                fleet, "at killed entry", 1.0, 10.0, account="large"
            )._replace(urls=entry_urls(fleet, killed, *surviving_entries)),
        ]
        kill_timer = threading.Timer(10.0, fleet.kill, (killed,))
        kill_timer.start()
        try:
            records = load(classes, setup.seed, 12.0)
        finally:
            kill_timer.cancel()
            kill_timer.join()
        killed_url = fleet.url(killed)
    print_common_results(setup, f"scheduler {killed} killed at 10 s", records)
    surviving_records = [record for record in records if record.call.url != killed_url]
    killed_records = [record for record in records if record.call.url == killed_url]
    print(f"  calls at other entries lost: {count_lost_calls(surviving_records)}")
    print(
        f"  calls at the killed entry: {codes(killed_records)}, resumed "
        f"{sum(record.resume_count > 0 for record in killed_records)}, "
        f"of these complete "
        f"{sum(r.resume_count > 0 and r.code == 'COMPLETE' for r in killed_records)}"
    )
    for begin, end in ((4, 10), (10, 14), (14, 30)):
        urgent = select_records(records, "urgent", begin, end)
        tokens = count_received_tokens(records, begin, end, True) / (end - begin)
        print(
            f"  from {begin} to {end} s: urgent first token ms "
            f"{format_first_token_ms(urgent)}; output tokens/s {tokens:.0f}"
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
    """Run the chosen scenarios with the chosen policies."""
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
                ScenarioSetup(policy, options.seed, queue_limit=options.queue_limit)
            )


if __name__ == "__main__":
    main()
