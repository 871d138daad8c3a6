"""Baseline policies: each entry sends a call to an engine without queueing it."""

from __future__ import annotations

from collections.abc import Callable

from experiments._rows import Arrival, Simulation


def _round_robin(simulation: Simulation, arrival: Arrival, now: float) -> str:
    names = list(simulation.engines_by_id)
    key = f"next of {arrival.entry_id}"
    simulation.counts[key] += 1
    offset = list(simulation.boards_by_id).index(arrival.entry_id)
    return names[(simulation.counts[key] + offset) % len(names)]


def _least_outstanding(simulation: Simulation, arrival: Arrival, now: float) -> str:
    """Choose the engine with the fewest open requests over all entries.

    The counts are exact and not delayed, unlike load reports.
    """
    outstanding = simulation.outstanding_by_upstream_id
    return min(
        outstanding, key=lambda name: (outstanding[name], simulation.random.random())
    )


def _least_reported(simulation: Simulation, arrival: Arrival, now: float) -> str:
    """Choose by load reports alone, as entries without coordination do."""
    lag = simulation.setup.load_lag_seconds

    def load(name: str) -> tuple[int, float]:
        samples = simulation.loads_by_engine_id[name]
        index = len(samples) - 1
        while index > 0 and samples[index].at > now - lag:
            index -= 1
        sample = samples[index]
        return (sample.running_count + sample.waiting_count, simulation.random.random())

    return min(simulation.engines_by_id, key=load)


baselines_by_name: dict[str, Callable[[Simulation, Arrival, float], str]] = {
    "round_robin": _round_robin,
    "least_outstanding": _least_outstanding,
    "least_reported": _least_reported,
}


def choose_baseline_engine(simulation: Simulation, arrival: Arrival, now: float) -> str:
    """Return the engine that the baseline policy of the run selects."""
    return baselines_by_name[simulation.setup.policy](simulation, arrival, now)
