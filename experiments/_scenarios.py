"""Scenarios that compare scheduling policies and report one table each."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from math import exp
from random import Random
from typing import Any, NamedTuple

from carawayhitch import controllers
from carawayhitch.board import Board
from carawayhitch.core import declarations, events, messages, settings
from experiments import _figures as figures
from experiments._rows import Arrival, Setup, Simulation
from experiments._world import GROUP, run
from fakes.engine_model import EngineLimits

ENGINE_COUNT = 6
# Arrivals start after the settle time of the first scheduler.
START = 2.0
URGENT = declarations.RankClass(
    "urgent", priority=0, floor=0.1, maximum_wait_seconds=5.0, queue_limit=2000
)
PATIENT = declarations.RankClass(
    "patient", priority=10, floor=0.2, maximum_wait_seconds=60.0, queue_limit=2000
)


class Table(NamedTuple):
    """Results of one scenario; each line has one text per column."""

    title: str
    columns: tuple[str, ...]
    lines: list[tuple[str, ...]]


class Flow(NamedTuple):
    """A stream of calls with random arrivals.

    Parameters
    ----------
    rate : float
        Mean number of calls per second.
    prompt_tokens, median_output, spread : int, int, float
        Prompt length in tokens, and the log-normal distribution of the output length:
        median in tokens and standard deviation of the logarithm.
    output_limit : int
        Upper limit of the output length in tokens.
    entry_id : str
        Entry that receives all calls; a random one for each call if empty.
    """

    account: str
    rank: str
    rate: float
    start: float
    end: float
    prompt_tokens: int = 300
    median_output: int = 400
    spread: float = 0.8
    output_limit: int = 8000
    entry_id: str = ""


def draw_arrivals(flows: Iterable[Flow], setup: Setup) -> list[Arrival]:
    """Return the arrivals of flows, which are the same under each policy."""
    arrivals: list[Arrival] = []
    for index, flow in enumerate(flows):
        random = Random(f"{setup.seed}/{index}")
        at = flow.start
        while (at := at + random.expovariate(flow.rate)) < flow.end:
            output = flow.median_output * exp(random.gauss(0.0, flow.spread))
            entry = random.randrange(setup.entry_count)
            arrivals.append(
                Arrival(
                    at,
                    flow.entry_id or f"entry-{entry}",
                    flow.account,
                    flow.rank,
                    flow.prompt_tokens,
                    max(1, min(flow.output_limit, int(output))),
                )
            )
    return sorted(arrivals)


def new_setup(policy: str, seed: int, duration: float) -> Setup:
    """Return the default setup: deployment B, with 4 entries and 6 engines."""
    return Setup(
        policy=policy,
        entry_count=4,
        engine_count=ENGINE_COUNT,
        limits=EngineLimits(),
        ranks=(URGENT, PATIENT),
        accounts=(account("hotel"), account("inspection")),
        duration=duration,
        seed=seed,
    )


def account(name: str, weight: float = 1.0) -> declarations.ClientAccount:
    """Return a client account whose token is its name."""
    return declarations.ClientAccount(name, (name,), {}, weight, queue_limit=2000)


def capacity_tokens(setup: Setup) -> float:
    """Return the output tokens per second of all engines with every slot in use."""
    limits = setup.limits
    seconds = limits.step_seconds
    seconds += limits.step_seconds_per_running * limits.running_limit
    return setup.engine_count * limits.running_limit / seconds


def mean_output(flow: Flow) -> float:
    """Return the mean output length of a flow, ignoring its limit."""
    return flow.median_output * exp(flow.spread**2 / 2)


def scale_to_load(flow: Flow, setup: Setup, load: float) -> Flow:
    """Return the flow at the rate whose output is ``load`` times the capacity."""
    return flow._replace(rate=load * capacity_tokens(setup) / mean_output(flow))


def _format_milliseconds(seconds: float) -> str:
    return f"{1000 * seconds:.0f}"


def _lookup_flow(rate: float, start: float, end: float) -> Flow:
    return Flow("hotel", "urgent", rate, start, end, 150, 30, 0.5)


def _document_flow(start: float, end: float) -> Flow:
    return Flow("inspection", "patient", 1.0, start, end)


def patient_flood(seed: int) -> Table:
    """Measure urgent lookups beside patient work at up to five times the capacity."""
    lines: list[tuple[str, ...]] = []
    cases = (
        ("carawayhitch", 0.0, 0.06),
        ("carawayhitch", 0.7, 0.06),
        ("carawayhitch", 5.0, 0.06),
        ("carawayhitch", 5.0, 0.0),
        ("carawayhitch", 5.0, 0.15),
        ("least_outstanding", 0.7, 0.0),
        ("least_outstanding", 5.0, 0.0),
        ("round_robin", 5.0, 0.0),
    )
    for policy, load, reserve in cases:
        setup = new_setup(policy, seed, 90.0)._replace(
            scheduling=settings.SchedulingSettings(first_rank_reserve=reserve)
        )
        flows = [_lookup_flow(30.0, START, 80.0)]
        if load:
            flows.append(scale_to_load(_document_flow(START, 80.0), setup, load))
        simulation = run(setup, draw_arrivals(flows, setup))
        urgent = figures.first_token_seconds(simulation, "urgent", 20.0, 80.0)
        lines.append(
            (
                policy,
                f"{load:.1f}",
                f"{reserve:.2f}" if policy == "carawayhitch" else "-",
                _format_milliseconds(figures.quantile(urgent, 0.5)),
                _format_milliseconds(figures.quantile(urgent, 0.95)),
                _format_milliseconds(figures.quantile(urgent, 0.99)),
                f"{100 * figures.refused_share(simulation, 'urgent', 20, 80):.1f}",
                f"{100 * figures.refused_share(simulation, 'patient', 20, 80):.1f}",
                f"{figures.tokens(simulation, 20, 80) / 60:.0f}",
            )
        )
    return Table(
        "patient_flood",
        (
            "policy",
            "patient load",
            "reserve",
            "urgent p50 ms",
            "p95 ms",
            "p99 ms",
            "urgent refused %",
            "patient refused %",
            "tokens/s",
        ),
        lines,
    )


def urgent_flood(seed: int) -> Table:
    """Measure patient work beside urgent work at five times the capacity."""
    lines: list[tuple[str, ...]] = []
    for policy in ("carawayhitch", "least_outstanding", "round_robin"):
        setup = new_setup(policy, seed, 90.0)
        flood = scale_to_load(_lookup_flow(1.0, 10.0, 80.0), setup, 5.0)
        documents = scale_to_load(_document_flow(START, 80.0), setup, 0.7)
        simulation = run(setup, draw_arrivals([flood, documents], setup))
        shares = [
            figures.tokens(simulation, start, start + 10, rank="patient")
            / max(1, figures.tokens(simulation, start, start + 10))
            for start in range(20, 80, 10)
        ]
        urgent = figures.first_token_seconds(simulation, "urgent", 20.0, 80.0)
        lines.append(
            (
                policy,
                f"{PATIENT.floor:.2f}",
                f"{min(shares):.3f}",
                f"{sum(shares) / len(shares):.3f}",
                _format_milliseconds(figures.quantile(urgent, 0.95)),
                f"{100 * figures.refused_share(simulation, 'urgent', 20, 80):.1f}",
                f"{figures.tokens(simulation, 20, 80) / 60:.0f}",
            )
        )
    return Table(
        "urgent_flood",
        (
            "policy",
            "patient floor",
            "lowest share in 10 s",
            "mean share",
            "urgent p95 ms",
            "urgent refused %",
            "tokens/s",
        ),
        lines,
    )


def fairness(seed: int) -> Table:
    """Measure eight small accounts beside two at ten times their quota."""
    large = ("hotel", "inspection")
    small = tuple(f"small-{index}" for index in range(8))
    names = (*large, *small)
    lines: list[tuple[str, ...]] = []
    for policy, includes_large in (
        ("carawayhitch", False),
        ("carawayhitch", True),
        ("least_outstanding", True),
        ("round_robin", True),
    ):
        setup = new_setup(policy, seed, 130.0)._replace(
            entry_count=3, accounts=tuple(account(name) for name in names)
        )
        # The ten quotas are equal, and each small account requests 80% of its own. No
        # two entries receive calls of one account: entry-0 has the large accounts, the
        # other two have four small ones each.
        flows = [
            scale_to_load(
                Flow(name, "patient", 1.0, START, 125.0), setup, 0.08
            )._replace(entry_id=f"entry-{1 + index // 4}")
            for index, name in enumerate(small)
        ]
        if includes_large:
            flows += [
                scale_to_load(
                    Flow(name, "patient", 1.0, START, 125.0), setup, 1.0
                )._replace(entry_id="entry-0")
                for name in large
            ]
        simulation = run(setup, draw_arrivals(flows, setup))
        tokens_per_second = [
            figures.tokens(simulation, 20, 120, name) / 100 for name in names
        ]
        waits = [
            wait
            for name in small
            for wait in [
                (outcome.first_token_at or 130.0) - outcome.arrival.at
                for outcome in simulation.outcomes_by_request_id.values()
                if outcome.arrival.account == name
                and 20 <= outcome.arrival.at < 120
                and not outcome.refused_code
            ]
        ]
        lines.append(
            (
                policy,
                "yes" if includes_large else "no",
                " ".join(f"{value:.0f}" for value in tokens_per_second[:2]),
                f"{min(tokens_per_second[2:]):.0f}",
                f"{sum(tokens_per_second[2:]):.0f}",
                _format_milliseconds(figures.quantile(waits, 0.95)),
                f"{sum(tokens_per_second):.0f}",
            )
        )
    return Table(
        "fairness",
        (
            "policy",
            "large accounts",
            "tokens/s of large",
            "least small",
            "all small",
            "small first token p95 ms",
            "tokens/s",
        ),
        lines,
    )


def quotas(seed: int) -> Table:
    """Measure shares of ten overloading accounts with quota weights of 1 to 4."""
    lines: list[tuple[str, ...]] = []
    weights = {f"account-{index}": 1.0 + index % 4 for index in range(10)}
    for policy in ("carawayhitch", "least_outstanding"):
        setup = new_setup(policy, seed, 130.0)._replace(
            entry_count=3,
            accounts=tuple(account(name, weight) for name, weight in weights.items()),
        )
        flows = [
            scale_to_load(
                Flow(name, "patient", 1.0, START, 125.0, 300, 200 + 60 * index),
                setup,
                0.5,
            )
            for index, name in enumerate(weights)
        ]
        simulation = run(setup, draw_arrivals(flows, setup))
        shares = [
            figures.tokens(simulation, 30, 120, name) / weight
            for name, weight in weights.items()
        ]
        lines.append(
            (
                policy,
                f"{figures.jain_index(shares):.4f}",
                f"{min(shares) / max(shares):.2f}",
                f"{figures.tokens(simulation, 30, 120) / 90:.0f}",
            )
        )
    return Table(
        "quotas",
        ("policy", "Jain's index", "least/most per weight", "tokens/s"),
        lines,
    )


def memory(seed: int) -> Table:
    """Measure preemptions under heavy-tailed output lengths unknown in advance.

    The memory of an engine fills while it decodes.
    """
    lines: list[tuple[str, ...]] = []
    cases = [
        ("carawayhitch", target, 1.0) for target in (0.7, 0.8, 0.85, 0.9, 0.95, 1.0)
    ]
    cases += [("carawayhitch", 0.9, 0.0), ("carawayhitch", 0.9, 2.0)]
    cases += [("least_outstanding", 0.0, 0.0), ("round_robin", 0.0, 0.0)]
    for policy, target, margin in cases:
        setup = new_setup(policy, seed, 200.0)._replace(
            limits=EngineLimits(memory_tokens=30_000),
            scheduling=settings.SchedulingSettings(
                memory_target=target or 0.9, memory_margin_deviations=margin
            ),
            sample_from=40.0,
            sample_until=190.0,
        )
        flow = Flow("inspection", "patient", 1.0, START, 190.0, 300, 250, 1.2)
        # Memory rather than slots limits the capacity here; the flow requests about 1.5
        # times as much as memory allows.
        flow = scale_to_load(flow._replace(output_limit=12_000), setup, 0.85)
        simulation = run(setup, draw_arrivals([flow], setup))
        finished = [
            outcome.arrival.output_tokens
            for outcome in simulation.outcomes_by_request_id.values()
            if 40 <= outcome.finished_at < 190
        ]
        lines.append(
            (
                policy,
                f"{target:.2f}" if target else "-",
                f"{margin:.1f}" if target else "-",
                f"{simulation.counts['tokens'] / 150:.0f}",
                f"{len(finished) / 150:.2f}",
                str(simulation.counts["preemptions"]),
                f"{simulation.counts['stall_milliseconds'] / 1000:.0f}",
                _format_milliseconds(
                    figures.quantile_of_counts(simulation.inter_token_gap_counts, 0.95)
                ),
                _format_milliseconds(
                    figures.quantile_of_counts(simulation.inter_token_gap_counts, 0.99)
                ),
                _format_milliseconds(
                    figures.quantile_of_counts(
                        simulation.inter_token_gap_counts, 0.9999
                    )
                ),
                _format_milliseconds(
                    figures.quantile(
                        figures.first_token_seconds(simulation, "patient", 40, 180), 0.5
                    )
                ),
            )
        )
    return Table(
        "memory",
        (
            "policy",
            "memory_target",
            "margin",
            "output tokens/s",
            "finished/s",
            "preemptions",
            "stall s",
            "inter-token p95 ms",
            "p99 ms",
            "p99.99 ms",
            "first token p50 ms",
        ),
        lines,
    )


def lag(seed: int) -> Table:
    """Measure the load spread over engines with several entries and late reports."""
    lines: list[tuple[str, ...]] = []
    for entry_count in (3, 9, 18):
        for policy in ("carawayhitch", "least_reported", "round_robin"):
            setup = new_setup(policy, seed, 60.0)._replace(
                entry_count=entry_count,
                load_lag_seconds=2.0,
                sample_from=20.0,
                sample_until=55.0,
            )
            flow = scale_to_load(_document_flow(START, 58.0), setup, 0.6)
            simulation = run(setup, draw_arrivals([flow], setup))
            first = figures.first_token_seconds(simulation, "patient", 20.0, 55.0)
            spreads = simulation.load_spreads
            lines.append(
                (
                    policy,
                    str(entry_count),
                    f"{sum(spreads) / len(spreads):.2f}",
                    f"{figures.quantile(spreads, 0.95):.2f}",
                    f"{max(simulation.load_peaks):.2f}",
                    _format_milliseconds(figures.quantile(first, 0.95)),
                )
            )
    return Table(
        "lag",
        (
            "policy",
            "entries",
            "mean spread (share of slots)",
            "p95 spread",
            "highest load",
            "first token p95 ms",
        ),
        lines,
    )


def prefix_cache(seed: int) -> Table:
    """Measure cache hits of shared prefixes with delayed and missing cache events."""
    lines: list[tuple[str, ...]] = []
    for policy, event_lag, bound, documents in (
        ("carawayhitch", 0.0, 0.1, 120),
        ("carawayhitch", 5.0, 0.1, 120),
        ("carawayhitch", 5.0, 0.0, 120),
        ("carawayhitch", 5.0, 0.05, 120),
        ("carawayhitch", 5.0, 0.2, 120),
        ("carawayhitch", 5.0, 1.0, 120),
        ("least_outstanding", 0.0, 0.0, 120),
        ("round_robin", 0.0, 0.0, 120),
        ("carawayhitch", 0.0, 0.1, 2000),
        ("carawayhitch", 5.0, 0.1, 2000),
        ("carawayhitch", 1000.0, 0.1, 2000),
        ("least_outstanding", 0.0, 0.0, 2000),
    ):
        setup = new_setup(policy, seed, 70.0)._replace(
            cache_event_lag_seconds=event_lag,
            scheduling=settings.SchedulingSettings(affinity_bound=bound),
            sample_from=20.0,
            sample_until=65.0,
        )
        flow = scale_to_load(
            _document_flow(START, 65.0)._replace(prompt_tokens=700), setup, 0.6
        )
        random = Random(seed)
        arrivals = []
        for arrival in draw_arrivals([flow], setup):
            # Each document has a prefix of 8 blocks, and their popularity follows a
            # Pareto distribution. An engine caches 256 blocks, so it cannot hold all
            # documents.
            popularity = 0.6 if documents == 120 else 0.3
            document = min(documents, int(random.paretovariate(popularity))) - 1
            blocks = tuple(f"document-{document}/{index}" for index in range(8))
            arrivals.append(arrival._replace(prefix_blocks=blocks))
        simulation = run(setup, arrivals)
        counters = [engine.counter for engine in simulation.engines_by_id.values()]
        hits = sum(counter.cache_hit_tokens for counter in counters)
        prefilled = sum(counter.prefilled_tokens for counter in counters)
        lines.append(
            (
                policy,
                f"{event_lag:.0f}",
                f"{bound:.2f}" if policy == "carawayhitch" else "-",
                str(documents),
                f"{100 * hits / (hits + prefilled):.1f}",
                f"{max(simulation.load_peaks):.2f}",
                f"{figures.quantile(simulation.load_spreads, 0.95):.2f}",
                str(simulation.counts["CACHE_EVENT_GAP"]),
            )
        )
    return Table(
        "prefix_cache",
        (
            "policy",
            "event lag s",
            "affinity_bound",
            "documents",
            "prompt tokens hit %",
            "highest load",
            "p95 spread",
            "gaps counted",
        ),
        lines,
    )


def overload_end(seed: int) -> Table:
    """Measure the time to recover from an overload of 30 s."""
    lines: list[tuple[str, ...]] = []
    for policy in ("carawayhitch", "least_outstanding", "round_robin"):
        setup = new_setup(policy, seed, 240.0)
        flows = [
            _lookup_flow(30.0, START, 230.0),
            scale_to_load(_document_flow(START, 230.0), setup, 0.6),
            scale_to_load(_document_flow(30.0, 60.0), setup, 5.0),
        ]
        simulation = run(setup, draw_arrivals(flows, setup))
        lines.append(
            (
                policy,
                _recovery_seconds(simulation, "urgent", 1.0),
                _recovery_seconds(simulation, "patient", 30.0),
                _recovery_seconds(simulation, "patient", 2.0),
                f"{100 * figures.refused_share(simulation, 'urgent', 30, 230):.1f}",
                f"{100 * figures.refused_share(simulation, 'patient', 30, 60):.1f}",
                f"{100 * figures.refused_share(simulation, 'patient', 90, 230):.1f}",
            )
        )
    return Table(
        "overload_end",
        (
            "policy",
            "urgent within 1 s again after s",
            "patient within 30 s",
            "patient within 2 s",
            "urgent refused %",
            "patient refused % in overload",
            "patient refused % from 30 s after",
        ),
        lines,
    )


def _recovery_seconds(simulation: Simulation, rank: str, limit: float) -> str:
    """Return the seconds from the end of the overload to the last late interval.

    An interval of 5 s is late if the p95 time to first token exceeds ``limit`` or
    more than 1% of its calls are refused.
    """
    late_starts = [
        start
        for start in range(30, 230, 5)
        if figures.quantile(
            figures.first_token_seconds(simulation, rank, start, start + 5), 0.95
        )
        > limit
        or figures.refused_share(simulation, rank, start, start + 5) > 0.01
    ]
    if not late_starts:
        return "never late"
    seconds = max(0, max(late_starts) + 5 - 60)
    return f"over {seconds}" if max(late_starts) >= 225 else str(seconds)


def scheduler_loss(seed: int) -> Table:
    """Measure urgent calls when the scheduler fails while engines are nearly full."""
    lines: list[tuple[str, ...]] = []
    for fails_at in (float("inf"), 60.0):
        setup = new_setup("carawayhitch", seed, 110.0)._replace(
            limits=EngineLimits(memory_tokens=30_000),
            scheduler_fails_at=fails_at,
            sample_from=60.0,
            sample_until=100.0,
        )
        flows = [
            _lookup_flow(30.0, START, 100.0),
            scale_to_load(_document_flow(START, 100.0), setup, 0.9),
        ]
        simulation = run(setup, draw_arrivals(flows, setup))
        lost = simulation.failed_entry_ids
        first_token_times = [
            (outcome.first_token_at or 110.0) - outcome.arrival.at
            for outcome in simulation.outcomes_by_request_id.values()
            if outcome.arrival.rank == "urgent"
            and 60 <= outcome.arrival.at < 100
            and outcome.arrival.entry_id not in lost
            and not outcome.refused_code
        ]
        lines.append(
            (
                "yes" if lost else "no",
                str(len(first_token_times)),
                _format_milliseconds(figures.quantile(first_token_times, 0.5)),
                _format_milliseconds(figures.quantile(first_token_times, 0.95)),
                _format_milliseconds(max(first_token_times)),
                f"{100 * figures.refused_share(simulation, 'urgent', 60, 100):.1f}",
                str(simulation.counts["preemptions"]),
                f"{simulation.counts['tokens'] / 40:.0f}",
                str(simulation.counts["RETRY_ASK"]),
            )
        )
    return Table(
        "scheduler_loss",
        (
            "scheduler lost",
            "urgent calls in 40 s",
            "urgent p50 ms",
            "p95 ms",
            "highest ms",
            "urgent refused %",
            "preemptions",
            "output tokens/s",
            "asks repeated",
        ),
        lines,
    )


def ask_time(seed: int) -> Table:
    """Measure the processing time of one decision with about 5,000 asks waiting."""
    setup = new_setup("carawayhitch", seed, 0.0)._replace(
        engine_count=12,
        entry_count=1,
        ranks=(
            URGENT._replace(queue_limit=100_000),
            PATIENT._replace(queue_limit=100_000, maximum_wait_seconds=1e6),
        ),
        accounts=tuple(
            account(f"account-{index}")._replace(queue_limit=100_000)
            for index in range(10)
        ),
    )
    simulation = run(setup, [])
    board = simulation.boards_by_id["entry-0"]
    random = Random(seed)
    (cell_id,) = board.cells_by_id
    board.settle_deadlines_by_cell_id[cell_id] = 0.0
    for name in simulation.engines_by_id:
        reported = events.LoadReported(name, 0.1, 60_000, 0, 0, 64, 0, 0, False)
        controllers.decide(reported, board, 0.1, random)
    now = 1.0
    asks: list[float] = []
    for number in range(5768):
        now += 0.0005
        rank = "urgent" if number % 5 == 0 else "patient"
        ask = messages.AdmissionAsk(
            "entry-0",
            f"request-{number}",
            1,
            cell_id,
            GROUP,
            f"account-{number % 10}",
            rank,
            rank,
            f"fingerprint-{number}",
            400,
            4000,
            tuple(f"document-{number % 7}/{index}" for index in range(6)),
            (),
            1e9,
        )
        asks.append(_decision_seconds(ask, board, now, random))
    waiting = len(board.asks_by_request_id)
    finish_seconds: list[float] = []
    for grant in list(board.grants_by_request_id.values())[:500]:
        now += 0.01
        length = random.randrange(50, 900)
        end = messages.Finished(
            "entry-0", grant.request_id, 1, cell_id, length, True, False
        )
        finish_seconds.append(_decision_seconds(end, board, now, random))
    lines = [
        (
            name,
            str(waiting),
            *(
                f"{1e6 * value:.0f}"
                for value in (
                    sum(times) / len(times),
                    figures.quantile(times, 0.99),
                    max(times),
                )
            ),
        )
        for name, times in (
            ("ask that is granted", asks[:700]),
            ("ask that waits", asks[-2000:]),
            ("finish and next grant", finish_seconds),
        )
    ]
    return Table(
        "ask_time",
        ("event", "waiting at the end", "mean us", "p99 us", "max us"),
        lines,
    )


def _decision_seconds(event: Any, board: Board, now: float, random: Random) -> float:
    started = time.perf_counter()
    controllers.decide(event, board, now, random)
    return time.perf_counter() - started


scenarios_by_name: dict[str, Callable[[int], Table]] = {
    "patient_flood": patient_flood,
    "urgent_flood": urgent_flood,
    "fairness": fairness,
    "quotas": quotas,
    "memory": memory,
    "lag": lag,
    "prefix_cache": prefix_cache,
    "overload_end": overload_end,
    "scheduler_loss": scheduler_loss,
    "ask_time": ask_time,
}
