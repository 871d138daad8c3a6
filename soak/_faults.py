"""Kinds of faults and planned operations, and the schedule derived from a seed."""

from __future__ import annotations

from random import Random
from typing import Literal, NamedTuple

LinkMode = Literal["reset", "silent", "stalled", "one way", "slow"]
StoreMode = Literal["down", "silent", "forget", "lost answers"]
LINK_MODES: tuple[LinkMode, ...] = ("reset", "silent", "stalled", "one way", "slow")
STORE_MODES: tuple[StoreMode, ...] = ("down", "silent", "forget", "lost answers")

# An entry is declared dead after 2.3 s; faults last shorter and longer than that.
LONGEST_FAULT_SECONDS = 6.0
SHORTEST_FAULT_SECONDS = 0.2
# One fault about every 1.5 s, so that two or three overlap.
FAULTS_PER_SECOND = 0.7
PLANNED_ONLY_SHARE = 0.25
REPEAT_SHARE = 0.3
# Longer than the bound within which a zone has to be out of use.
ZONE_DRAIN_SECONDS = (7.0, 9.0)
BURST_SECONDS = 6.0
COLD_RETURN_COUNT = 3


class PauseEntry(NamedTuple):
    """Suspends an entry with SIGSTOP and continues it later."""

    entry: str
    seconds: float


class KillEntry(NamedTuple):
    """Kills an entry and restarts it."""

    entry: str
    seconds: float


class KillAllEntries(NamedTuple):
    """Kills all entries at once and restarts them."""

    seconds: float


class StopEntry(NamedTuple):
    """Stops an entry with SIGTERM, kills it after the grace period, and restarts it."""

    entry: str


class ReloadEntry(NamedTuple):
    """Has an entry reload its settings with SIGHUP."""

    entry: str


class FailLink(NamedTuple):
    """Fails the link to a server, or the link between one entry and the store."""

    subject: str
    mode: LinkMode
    seconds: float


class FailStore(NamedTuple):
    """Fails the store for all processes."""

    mode: StoreMode
    seconds: float


class KillServer(NamedTuple):
    """Kills a server and restarts it under the same id."""

    server: str
    seconds: float


class ReplaceServer(NamedTuple):
    """Starts another server in place of one that is drained and removed."""

    server: str


class FailServer(NamedTuple):
    """Has a server respond to its next calls with status 500."""

    server: str
    failures: int


class TakeOutZone(NamedTuple):
    """Takes an availability zone out of use and back later."""

    zone: str
    seconds: float


class ReturnServers(NamedTuple):
    """Kills several servers at once; they return together, cold."""

    servers: tuple[str, ...]
    seconds: float


class AddServer(NamedTuple):
    """Starts another server of the service of a known one."""

    server: str


class BeginBurst(NamedTuple):
    """Has the clients make shorter pauses."""

    seconds: float


class ChangeConfiguration(NamedTuple):
    """Adds a route and a key, and removes those that the previous change added."""


Fault = (
    PauseEntry
    | KillEntry
    | KillAllEntries
    | StopEntry
    | ReloadEntry
    | FailLink
    | FailStore
    | KillServer
    | ReplaceServer
    | FailServer
    | ChangeConfiguration
    | TakeOutZone
    | ReturnServers
    | AddServer
    | BeginBurst
)


class ScheduledFault(NamedTuple):
    """A fault or planned operation; `at` is in seconds after the clients start."""

    at: float
    fault: Fault


def _draw_planned_operation(
    random: Random, entries: list[str], servers: list[str]
) -> Fault:
    return random.choice(
        (
            StopEntry(random.choice(entries)),
            ReloadEntry(random.choice(entries)),
            ReplaceServer(random.choice(servers)),
            ChangeConfiguration(),
        )
    )


def _draw_unplanned_fault(
    random: Random, entries: list[str], servers: list[str]
) -> Fault:
    # Log-uniform, so that each order of magnitude is equally likely.
    span = LONGEST_FAULT_SECONDS / SHORTEST_FAULT_SECONDS
    seconds = SHORTEST_FAULT_SECONDS * span ** random.random()
    entry, server = random.choice(entries), random.choice(servers)
    return random.choice(
        (
            PauseEntry(entry, seconds),
            KillEntry(entry, seconds),
            KillAllEntries(min(seconds, 2.0)),
            FailLink(
                random.choice((entry, server)), random.choice(LINK_MODES), seconds
            ),
            FailLink(
                random.choice((entry, server)), random.choice(LINK_MODES), seconds
            ),
            FailStore(random.choice(STORE_MODES), seconds),
            KillServer(server, seconds),
            FailServer(server, random.randint(1, 5)),
        )
    )


def draw_plan(
    seed: int, seconds: float, entries: list[str], servers: list[str]
) -> tuple[ScheduledFault, ...]:
    """Return the faults of a seed within a period, in order of time.

    Some are repeated on the same subject. Some seeds have planned operations only,
    during which no request may be lost.
    """
    random = Random(seed)
    planned_only = random.random() < PLANNED_ONLY_SHARE
    plan: list[ScheduledFault] = []
    at = random.uniform(0.0, 1.0)
    while at < seconds:
        is_planned = planned_only or random.random() < 0.4
        draw = _draw_planned_operation if is_planned else _draw_unplanned_fault
        fault = draw(random, entries, servers)
        plan.append(ScheduledFault(at, fault))
        if random.random() < REPEAT_SHARE:
            repeated_at = min(seconds, at + random.uniform(0.1, 2.0))
            plan.append(ScheduledFault(repeated_at, fault))
        at += random.expovariate(FAULTS_PER_SECOND)
    return tuple(sorted(plan, key=lambda scheduled: scheduled.at))


def draw_zone_drains(
    seed: int, seconds: float, zones: str
) -> tuple[ScheduledFault, ...]:
    """Return one drain of each of two zones, which may overlap.

    Separate from the other faults, so that these stay the same for a seed.
    """
    random = Random(f"{seed}/zones")
    return tuple(
        ScheduledFault(
            random.uniform(0.0, seconds / 2),
            TakeOutZone(zone, random.uniform(*ZONE_DRAIN_SECONDS)),
        )
        for zone in random.sample(zones, 2)
    )


def draw_cold_returns(
    seed: int, seconds: float, entries: list[str], servers: list[str]
) -> tuple[ScheduledFault, ...]:
    """Return a burst, and in it servers that are added or return together, cold.

    After each return another entry is killed, so that the scheduler of cold servers is
    lost. Separate from the other faults, so that these stay the same for a seed.
    """
    random = Random(f"{seed}/cold")
    burst_at = random.uniform(0.0, seconds - BURST_SECONDS)
    plan = [ScheduledFault(burst_at, BeginBurst(BURST_SECONDS))]
    order = random.sample(entries, len(entries))
    for entry in order[:COLD_RETURN_COUNT]:
        returning = random.sample(servers, random.randint(2, len(servers)))
        down_seconds = random.uniform(SHORTEST_FAULT_SECONDS, 2.0)
        down_at = burst_at + random.uniform(0.0, BURST_SECONDS)
        added_at = burst_at + random.uniform(0.0, BURST_SECONDS)
        lost_at = min(seconds, down_at + down_seconds + random.uniform(0.5, 2.0))
        plan += (
            ScheduledFault(down_at, ReturnServers(tuple(returning), down_seconds)),
            ScheduledFault(added_at, AddServer(random.choice(servers))),
            ScheduledFault(lost_at, KillEntry(entry, SHORTEST_FAULT_SECONDS)),
        )
    return tuple(plan)
