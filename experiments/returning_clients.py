"""What becomes of calls that wait or are refused while a burst meets fewer engines.

Replays one cell in virtual time against the real decision functions of its scheduler:
two kinds of streams with the figures of a deployment's sheet, a burst, clients that
come back once after the Retry-After of a refusal (some at once and more often), and
engines that leave in turns and return. Engines read prompts one after another and then
decode at a fixed rate.

Run: python -m experiments.returning_clients --seeds 4
"""

from __future__ import annotations

import argparse
from collections import Counter, defaultdict
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any, NamedTuple

from carawayhitch import controllers
from carawayhitch.board import Board, new_board
from carawayhitch.core import (
    actions,
    declarations,
    events,
    messages,
    result_codes,
    rows,
    settings,
)

CELL = "models/region-1/0"
GROUP = "models"
ENTRY, SCHEDULER = "entry-2", "entry-1"
PREFILL_TOKENS_PER_SECOND = 7000.0
TOKEN_SECONDS = 0.0095
SLOTS, MEMORY_TOKENS = 24, 26_947
NETWORK_SECONDS = 0.002
PROGRESS_SECONDS = 1.0
LOAD_SECONDS = 4.0
# Clients honour Retry-After up to this share of the time that they have left.
HONOURED_SHARE = 1 / 3
PATIENCE_SECONDS = 9.6
EXPIRED_RETRY_SECONDS = 5.0


class Kind(NamedTuple):
    """Kind of call: rate for each engine, sizes, and the times of its clients."""

    name: str
    rate: float
    prompt_tokens: int
    output_tokens: int
    goal: float
    deadline: float


class Load(NamedTuple):
    """One deployment's load; times in seconds."""

    kinds: tuple[Kind, ...]
    engine_count: int = 10
    account_count: int = 24
    factor: float = 3.0
    burst_from: float = 6.0
    burst_until: float = 16.0
    ends_at: float = 34.0
    eager_share: float = 0.3
    eager_retries: int = 3
    leaving_share: float = 0.17
    dark_share: float = 0.17


LOADS = {
    "lah": Load(
        (
            Kind("patient", 13.7 / 28, 3000, 744, 1.8, 39.0),
            Kind("urgent", 15.3 / 28, 2200, 9, 1.5, 6.0),
        )
    ),
    "forja": Load(
        (
            Kind("patient", 9.08 / 22, 3000, 748, 4.0, 39.0),
            Kind("urgent", 17.7 / 22, 2200, 8, 1.5, 6.0),
        )
    ),
}


class Call(NamedTuple):
    """One client's call, over all of its attempts."""

    number: int
    kind: Kind
    account: str
    began_at: float
    retries_left: int
    is_eager: bool
    prompt_tokens: int
    output_tokens: int


class World(NamedTuple):
    """State of one run."""

    load: Load
    board: Board
    random: Random
    pending: list[tuple[float, int, Any, tuple[Any, ...]]]
    serials: Any
    calls_by_request_id: dict[str, Call]
    asked_at_by_request_id: dict[str, float]
    free_at_by_engine_id: dict[str, float]
    running_by_request_id: dict[str, tuple[str, float]]
    outcomes: Counter[tuple[str, str]]
    sums: dict[tuple[str, str], float]


def new_world(load: Load, seed: int, is_on: bool = False) -> World:
    """Return a scheduler's board with idle engines and nothing pending."""
    node = settings.NodeSettings(SCHEDULER, "zone-1", "region-1")
    made = settings.Settings(
        node,
        settings.PeerSettings(()),
        settings.StoreSettings("http://127.0.0.1"),
        settings.PlatformSettings("http://127.0.0.1"),
        overload=settings.OverloadSettings(is_on),
        scheduling=settings.SchedulingSettings(
            prefill_tokens_per_second=PREFILL_TOKENS_PER_SECOND,
            load_interval_seconds=LOAD_SECONDS,
        ),
    )
    board = new_board(made, 1)
    capacity = declarations.EngineCapacity(slots=SLOTS, memory_tokens=MEMORY_TOKENS)
    group = declarations.ServingGroup(GROUP, {}, engine=capacity)
    ranks = (
        declarations.RankClass("urgent", 0),
        declarations.RankClass("patient", 1),
    )
    board.configuration_by_name["in_force"] = declarations.Configuration(
        revision=1,
        serving_groups_by_name={GROUP: group},
        rank_classes_by_name={rank.name: rank for rank in ranks},
        accounts_by_name={},
        accounts_by_token_sha256={},
        bindings_by_precedence=(),
        services_by_name={},
        labels_by_upstream_id={},
        orders_by_name={},
    )
    engine_ids = tuple(f"engine-{index}" for index in range(load.engine_count))
    for name in engine_ids:
        board.upstreams_by_id[name] = rows.UpstreamRow(
            name,
            f"{name}:1",
            "zone-1",
            "region-1",
            "engine",
            {},
            running_limit=SLOTS,
            memory_capacity=MEMORY_TOKENS,
        )
    board.cells_by_id[CELL] = rows.CellRow(CELL, GROUP, "region-1", engine_ids)
    board.schedulers_by_cell_id[CELL] = (SCHEDULER,)
    board.settle_deadlines_by_cell_id[CELL] = 0.0
    return World(
        load,
        board,
        Random(seed),
        [],
        count(),
        {},
        {},
        dict.fromkeys(engine_ids, 0.0),
        {},
        Counter(),
        defaultdict(float),
    )


def schedule(world: World, at: float, step: Any, *arguments: Any) -> None:
    """Call a step of the replay at a time."""
    heappush(world.pending, (at, next(world.serials), step, arguments))


def feed(world: World, now: float, event: Any) -> None:
    """Let the scheduler decide on an event, and carry out what it returns."""
    for action in controllers.decide(event, world.board, now, world.random):
        if isinstance(action, actions.SetTimer):
            schedule(world, action.deadline, feed, action.event)
        elif isinstance(action, actions.Emit):
            feed(world, now, action.event)
        elif isinstance(action, actions.Send):
            message = action.message
            if isinstance(message, messages.AdmissionGrant):
                schedule(world, now + NETWORK_SECONDS, start_generation, message)
            elif isinstance(message, messages.AdmissionRefusal):
                schedule(world, now + NETWORK_SECONDS, end_refused, message)


def ask(world: World, now: float, call: Call) -> None:
    """Send an attempt of a call as an entry does."""
    request_id = f"call-{call.number}-{next(world.serials)}"
    world.calls_by_request_id[request_id] = call
    world.asked_at_by_request_id[request_id] = now
    left = call.began_at + call.kind.deadline - now
    feed(
        world,
        now,
        messages.AdmissionAsk(
            sender_id=ENTRY,
            request_id=request_id,
            attempt=1,
            cell_id=CELL,
            group=GROUP,
            account=call.account,
            rank=call.kind.name,
            binding=call.kind.name,
            fingerprint=f"body of {call.number}",
            prompt_tokens=call.prompt_tokens,
            maximum_tokens=0,
            prefix_blocks=(),
            excluded_upstream_ids=(),
            deadline=now + min(left, PATIENCE_SECONDS),
            goal_deadline=now + min(left, call.kind.goal),
        ),
    )
    expires_at = now + min(left, PATIENCE_SECONDS)
    schedule(world, expires_at, expire_wait, request_id)


def expire_wait(world: World, now: float, request_id: str) -> None:
    """Answer a call that still waits at its deadline, as its entry does."""
    if request_id not in world.board.asks_by_request_id:
        return
    feed(world, now, messages.AskWithdrawn(ENTRY, request_id, 1, CELL))
    refusal = messages.AdmissionRefusal(
        ENTRY, request_id, 1, CELL, result_codes.WAIT_EXPIRED, EXPIRED_RETRY_SECONDS
    )
    end_refused(world, now, refusal)


def end_refused(world: World, now: float, refusal: messages.AdmissionRefusal) -> None:
    """Let the client of a refused attempt come back, if it does."""
    call = world.calls_by_request_id.pop(refusal.request_id, None)
    if call is None:
        return
    waited = now - world.asked_at_by_request_id.pop(refusal.request_id)
    kind = call.kind.name
    world.outcomes[kind, refusal.code.name] += 1
    world.sums[kind, "waited in vain s"] += waited
    left = call.began_at + call.kind.deadline - now
    if not call.retries_left or left <= 0.05:
        world.outcomes[kind, "never"] += 1
        world.sums[kind, "told after s"] += now - call.began_at
        return
    delay = 0.05 if call.is_eager else min(refusal.retry_after, left * HONOURED_SHARE)
    again = call._replace(retries_left=call.retries_left - 1)
    schedule(world, now + delay, ask, again)


def start_generation(world: World, now: float, grant: messages.AdmissionGrant) -> None:
    """Read the prompt behind the earlier ones of the engine."""
    call = world.calls_by_request_id[grant.request_id]
    engine_id = grant.upstream_id
    began_at = max(now, world.free_at_by_engine_id[engine_id])
    first_at = began_at + call.prompt_tokens / PREFILL_TOKENS_PER_SECOND
    world.free_at_by_engine_id[engine_id] = first_at
    world.running_by_request_id[grant.request_id] = (engine_id, first_at)
    schedule(world, first_at, begin_answer, grant.request_id)
    schedule(
        world, first_at + call.output_tokens * TOKEN_SECONDS, finish, grant.request_id
    )


def begin_answer(world: World, now: float, request_id: str) -> None:
    """Count the first token against the goal and the deadline of the client."""
    call = world.calls_by_request_id[request_id]
    elapsed = now - call.began_at
    in_time = elapsed <= call.kind.goal
    ends = elapsed + call.output_tokens * TOKEN_SECONDS <= call.kind.deadline
    outcome = "in goal" if in_time else "late" if ends else "never"
    world.outcomes[call.kind.name, outcome] += 1
    world.sums[call.kind.name, f"{outcome} first s"] += elapsed
    report(world, now, [request_id])


def report(world: World, now: float, request_ids: list[str]) -> None:
    """Report token counts to the scheduler."""
    counts = tuple(
        messages.RunningCount(
            name,
            1,
            1 + int((now - world.running_by_request_id[name][1]) / TOKEN_SECONDS),
        )
        for name in request_ids
    )
    feed(world, now, messages.Progress(ENTRY, CELL, (), (), counts))


def report_all(world: World, now: float) -> None:
    """Renew every ask and running call, as entries do each second."""
    begun = [
        name
        for name, (_, first_at) in world.running_by_request_id.items()
        if first_at <= now
    ]
    waiting = tuple(world.board.asks_by_request_id)
    feed(world, now, messages.Progress(ENTRY, CELL, (), waiting))
    report(world, now, begun)
    schedule(world, now + PROGRESS_SECONDS, report_all)


def finish(world: World, now: float, request_id: str) -> None:
    """Release the engine of an answer that is complete."""
    call = world.calls_by_request_id.pop(request_id)
    del world.running_by_request_id[request_id]
    finished = messages.Finished(
        ENTRY, request_id, 1, CELL, call.output_tokens, True, False
    )
    feed(world, now, finished)


def report_loads(world: World, now: float) -> None:
    """Send the load report of each engine."""
    for engine_id in world.free_at_by_engine_id:
        names = [
            name
            for name, (used_id, _) in world.running_by_request_id.items()
            if used_id == engine_id
        ]
        used = 0
        for name in names:
            call = world.calls_by_request_id[name]
            produced = (now - world.running_by_request_id[name][1]) / TOKEN_SECONDS
            used += call.prompt_tokens + max(0, int(produced))
        loaded = events.LoadReported(
            engine_id, now, MEMORY_TOKENS, used, len(names), SLOTS, 0, 0, False
        )
        feed(world, now, loaded)
    schedule(world, now + LOAD_SECONDS, report_loads)


def set_leaving(world: World, now: float, share: float, seconds: float) -> None:
    """Take a share of the engines out for a time; what runs there goes on."""
    engine_ids = [
        name for name, row in world.board.upstreams_by_id.items() if not row.leaving
    ]
    taken = world.random.sample(engine_ids, round(world.load.engine_count * share))
    for name in taken:
        row = world.board.upstreams_by_id[name]
        world.board.upstreams_by_id[name] = row._replace(leaving=True)
    schedule(world, now + seconds, take_back, taken)


def take_back(world: World, now: float, engine_ids: list[str]) -> None:
    """Return engines that were out."""
    for name in engine_ids:
        row = world.board.upstreams_by_id[name]
        world.board.upstreams_by_id[name] = row._replace(leaving=False)
    loaded_id = engine_ids[0] if engine_ids else ""
    if loaded_id:
        feed(world, now, events.ZoneDrainsChanged((), ("",)))


def schedule_calls(world: World) -> None:
    """Draw the arrivals of the whole run from the seed."""
    load, random = world.load, world.random
    weights = [1 / (1 + index) for index in range(load.account_count)]
    accounts = [f"account-{index:02}" for index in range(load.account_count)]
    numbers = count()
    for kind in load.kinds:
        at = 1.0
        while at < load.ends_at:
            burst = load.burst_from <= at < load.burst_until
            rate = kind.rate * load.engine_count * (load.factor if burst else 1.0)
            at += random.expovariate(rate)
            is_eager = burst and random.random() < load.eager_share
            call = Call(
                next(numbers),
                kind,
                random.choices(accounts, weights)[0],
                at,
                1 + load.eager_retries * is_eager,
                is_eager,
                int(kind.prompt_tokens * random.uniform(0.6, 1.4)),
                max(1, int(kind.output_tokens * random.lognormvariate(-0.3, 0.77))),
            )
            schedule(world, at, ask, call)


def run(load: Load, seed: int, is_on: bool = False) -> World:
    """Replay one load and return the state at its end."""
    world = new_world(load, seed, is_on)
    feed(world, 0.0, events.ProcessStarted(1))
    schedule(world, 0.0, report_loads)
    schedule(world, 0.5, report_all)
    schedule_calls(world)
    for start in (7.0, 10.3, 13.6, 16.9):
        schedule(world, start, set_leaving, load.leaving_share, 5.8)
    schedule(world, 8.0, set_leaving, load.dark_share, 6.0)
    while world.pending and world.pending[0][0] < load.ends_at + 45.0:
        now, _, step, arguments = heappop(world.pending)
        step(world, now, *arguments)
    return world


def summarise(worlds: list[World]) -> list[str]:
    """Return one line for each kind of call, summed over runs."""
    lines = []
    for kind in worlds[0].load.kinds:
        names = ("in goal", "late", "never", "WAIT_EXPIRED", "DEADLINE_UNREACHABLE")
        counts = [
            sum(world.outcomes[kind.name, name] for world in worlds) for name in names
        ]
        vain, told, late = (
            sum(world.sums[kind.name, name] for world in worlds)
            for name in ("waited in vain s", "told after s", "late first s")
        )
        figures = " | ".join(map(str, counts))
        told_mean, late_mean = told / max(1, counts[2]), late / max(1, counts[1])
        lines.append(
            f"{kind.name} | {figures} | {vain:.0f} | {told_mean:.1f} | {late_mean:.1f}"
        )
    return lines


def main() -> None:
    """Print a table of outcomes by kind of call."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=4, help="runs seeds 1 to this one")
    arguments = parser.parse_args()
    print(
        "load, burst | enabled | kind | in goal | late | never | expired | refused"
        " | waited in vain s | told after s | late first token s"
    )
    for name, load in LOADS.items():
        for factor in (1.0, 2.5, 4.0):
            for is_on in (False, True):
                changed = load._replace(factor=factor)
                seeds = range(1, arguments.seeds + 1)
                worlds = [run(changed, seed, is_on) for seed in seeds]
                for line in summarise(worlds):
                    print(f"{name}, {factor} | {is_on} | {line}", flush=True)


if __name__ == "__main__":
    main()
