"""Baselines: every entry sends its calls to an engine at once."""

from __future__ import annotations

from collections.abc import Callable

from experiments._rows import Arrival, World


def _round_robin(world: World, arrival: Arrival, now: float) -> str:
    names = list(world.engines_by_id)
    key = f"next of {arrival.entry_id}"
    world.counts[key] += 1
    offset = list(world.boards_by_id).index(arrival.entry_id)
    return names[(world.counts[key] + offset) % len(names)]


def _least_outstanding(world: World, arrival: Arrival, now: float) -> str:
    """Choose by the true number of open requests of all entries together."""
    outstanding = world.outstanding_by_upstream_id
    return min(outstanding, key=lambda name: (outstanding[name], world.random.random()))


def _least_reported(world: World, arrival: Arrival, now: float) -> str:
    """Choose by the load reports alone, as entries that do not coordinate would."""
    lag = world.setup.load_lag_seconds

    def load(name: str) -> tuple[int, float]:
        samples = world.loads_by_engine_id[name]
        index = len(samples) - 1
        while index > 0 and samples[index].at > now - lag:
            index -= 1
        sample = samples[index]
        return (sample.running_count + sample.waiting_count, world.random.random())

    return min(world.engines_by_id, key=load)


baselines_by_name: dict[str, Callable[[World, Arrival, float], str]] = {
    "round_robin": _round_robin,
    "least_outstanding": _least_outstanding,
    "least_reported": _least_reported,
}


def choose_baseline_engine(world: World, arrival: Arrival, now: float) -> str:
    """Return the engine that the baseline of the run chooses."""
    return baselines_by_name[world.setup.policy](world, arrival, now)
