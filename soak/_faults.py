"""Kinds of faults and planned work, and the plan that a seed gives."""

from __future__ import annotations

from random import Random
from typing import Literal, NamedTuple

LinkMode = Literal["reset", "silent", "stalled", "one way", "slow"]
StoreMode = Literal["down", "silent", "forget", "lost answers"]
LINK_MODES: tuple[LinkMode, ...] = ("reset", "silent", "stalled", "one way", "slow")
STORE_MODES: tuple[StoreMode, ...] = ("down", "silent", "forget", "lost answers")

# Long enough for an entry to be declared dead (2.3 s), and for one that is not.
LONGEST_FAULT_SECONDS = 6.0
SHORTEST_FAULT_SECONDS = 0.2
# A fault about every 1.5 s, so that two or three overlap.
FAULTS_PER_SECOND = 0.7
PLANNED_ONLY_SHARE = 0.25
REPEAT_SHARE = 0.3


class PauseEntry(NamedTuple):
    """Freezes a process and wakes it."""

    entry: str
    seconds: float


class KillEntry(NamedTuple):
    """Kills a process and starts it again."""

    entry: str
    seconds: float


class KillAllEntries(NamedTuple):
    """Kills all entries at once and starts them again."""

    seconds: float


class StopEntry(NamedTuple):
    """Ends a process by SIGTERM, by SIGKILL after the grace, and starts it again."""

    entry: str


class ReloadEntry(NamedTuple):
    """Sends SIGHUP."""

    entry: str


class FailLink(NamedTuple):
    """Fails the link in front of a server, or of the store for one entry."""

    subject: str
    mode: LinkMode
    seconds: float


class FailStore(NamedTuple):
    """Fails the store for all."""

    mode: StoreMode
    seconds: float


class KillServer(NamedTuple):
    """Kills a server and starts it again under its id."""

    server: str
    seconds: float


class ReplaceServer(NamedTuple):
    """Empties a server and takes it away; another one takes its place."""

    server: str


class FailServer(NamedTuple):
    """Has a server answer its next calls with an error."""

    server: str
    failures: int


class ChangeConfiguration(NamedTuple):
    """Adds a route and a key, and removes those of the change before."""


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
)


class PlannedFault(NamedTuple):
    """A fault and when it begins, in seconds from the start of the callers."""

    at: float
    fault: Fault


def _draw_planned(random: Random, entries: list[str], servers: list[str]) -> Fault:
    return random.choice(
        (
            StopEntry(random.choice(entries)),
            ReloadEntry(random.choice(entries)),
            ReplaceServer(random.choice(servers)),
            ChangeConfiguration(),
        )
    )


def _draw_unplanned(random: Random, entries: list[str], servers: list[str]) -> Fault:
    # Short faults are as likely as long ones on a logarithmic scale.
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
) -> tuple[PlannedFault, ...]:
    """Return the faults of a seed within a span of seconds, by time.

    Some come in series on the same subject, and some seeds have planned work alone,
    beside which no request may be lost.
    """
    random = Random(seed)
    planned_only = random.random() < PLANNED_ONLY_SHARE
    plan: list[PlannedFault] = []
    at = random.uniform(0.0, 1.0)
    while at < seconds:
        is_planned = planned_only or random.random() < 0.4
        draw = _draw_planned if is_planned else _draw_unplanned
        fault = draw(random, entries, servers)
        plan.append(PlannedFault(at, fault))
        if random.random() < REPEAT_SHARE:
            again = min(seconds, at + random.uniform(0.1, 2.0))
            plan.append(PlannedFault(again, fault))
        at += random.expovariate(FAULTS_PER_SECOND)
    return tuple(sorted(plan, key=lambda planned: planned.at))
