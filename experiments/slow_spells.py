"""What placement can gain from the present speed of engines that slow down briefly.

Calculates, with the figures of lah-hitch-grown's sheet, how long an engine takes to the
first event of a prompt if spells of slowness hit engines independently, for several
delays after which the scheduler knows the speed. Queues, other prompts and the work of
detection are left out, so the gains are upper limits.

Run: python -m experiments.slow_spells --seed 1
"""

from __future__ import annotations

import argparse
from collections.abc import Callable
from random import Random
from typing import NamedTuple

ENGINE_COUNT = 28
# Reading 3,000 tokens in chunks of 112, each 8 ms beside a decoding step of 7 ms.
PREFILL_SECONDS = 3000 / 7000
PLACEMENT_COUNT = 20_000


class Spells(NamedTuple):
    """Slow spells: share of the engines, factor and duration in seconds."""

    share: float
    factor: float
    seconds: float


Engine = Callable[[float], bool]

CASES = (Spells(0.15, 2.5, 0.6), Spells(0.087, 7.8, 6.1))


def slow_intervals(spells: Spells, random: Random) -> Engine:
    """Return a function that tells whether an engine is slow at a time."""
    offset = random.uniform(0.0, spells.seconds)
    draws: dict[int, bool] = {}

    def is_slow(time: float) -> bool:
        index = int((time + offset) // spells.seconds)
        if index not in draws:
            draws[index] = random.random() < spells.share
        return draws[index]

    return is_slow


def first_event_seconds(is_slow: Engine, start: float, spells: Spells) -> float:
    """Return the time that the prompt takes on an engine, in steps of 5 ms."""
    step = 0.005
    time, left = start, PREFILL_SECONDS
    while left > 0:
        left -= step / spells.factor if is_slow(time) else step
        time += step
    return time - start


def estimates(kind: str, engines: list[Engine], now: float, age: float) -> list[float]:
    """Return for each engine the share of slow time that the scheduler knows of."""
    if kind == "none":
        return [0.0] * len(engines)
    if kind == "oracle":
        return [float(engine(now)) for engine in engines]
    if kind == "notice":
        # Three pauses between events at the slow rate, and a datagram.
        return [float(engine(now - 0.2)) for engine in engines]
    # Token counts of the last whole interval between two messages, which are `age` old.
    times = [now - age - 0.05 * index for index in range(20)]
    return [sum(map(engine, times)) / len(times) for engine in engines]


def measure(spells: Spells, kind: str, seed: int) -> list[float]:
    """Return the sorted times to the first event of many placements."""
    random = Random(seed)
    found = []
    for _ in range(PLACEMENT_COUNT):
        engines = [slow_intervals(spells, random) for _ in range(ENGINE_COUNT)]
        start = 100.0
        known = estimates(kind, engines, start, random.uniform(0.0, 1.0))
        least = min(known)
        # All engines that look alike are chosen alike; none attracts all prompts.
        chosen = random.choice(
            [
                engine
                for engine, share in zip(engines, known, strict=True)
                if share <= least + 0.2
            ]
        )
        found.append(first_event_seconds(chosen, start, spells))
    return sorted(found)


def main() -> None:
    """Print one row for each kind of spell and of knowledge."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    print("spell s, factor | knows | mean ms | p95 ms | p99 ms")
    for spells in CASES:
        for kind in ("none", "progress", "notice", "oracle"):
            times = measure(spells, kind, arguments.seed)
            mean = sum(times) / len(times)
            p95, p99 = (times[int(len(times) * share)] for share in (0.95, 0.99))
            figures = " | ".join(f"{1000 * value:.0f}" for value in (mean, p95, p99))
            print(f"{spells.seconds}, {spells.factor} | {kind} | {figures}")


if __name__ == "__main__":
    main()
