"""Replay of events in virtual time between real decision functions and engines.

Entries are boards that the controllers decide on; messages between them and calls to
engines take a fixed network delay. Tokens of a stream reach an entry as one chunk for
each progress interval, so that a run of minutes takes seconds.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter
from collections.abc import Iterable
from functools import singledispatch
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any, NamedTuple

from carawayhitch import controllers
from carawayhitch.board import Board, new_board
from carawayhitch.core import actions, declarations, events, rows, settings
from experiments._baselines import choose_baseline_engine
from experiments._rows import Arrival, LoadSample, Outcome, Setup, World
from fakes import engine_model

NETWORK_SECONDS = 0.001
# Three seconds of suspicion, the default of the peer settings.
FAILURE_DETECTION_SECONDS = 3.0
SAMPLE_SECONDS = 0.5
GROUP = "quotes"
CACHE_EVENT_LOSS_INTERVAL = 7
_numbers = count()


class EventDelivery(NamedTuple):
    """An event reaches an entry."""

    entry_id: str
    event: Any


class GenerationSent(NamedTuple):
    """A call reaches an engine."""

    entry_id: str
    request_id: str
    attempt: int
    upstream_id: str
    priority: int


class DecodingStepEnded(NamedTuple):
    """A decoding step of an engine ends."""

    upstream_id: str
    result: engine_model.StepResult


class SchedulerEntryFailed(NamedTuple):
    """The entry that schedules the cell stops without a word."""


class EntryDeclaredDead(NamedTuple):
    """Membership tells the other entries that one is dead."""

    entry_id: str


class LoadSamplingDue(NamedTuple):
    """Time to note the loads."""


def new_simulation(setup: Setup) -> World:
    """Return entries and engines without work."""
    entry_ids = [f"entry-{index}" for index in range(setup.entry_count)]
    engine_ids = [f"engine-{index}" for index in range(setup.engine_count)]
    return World(
        setup=setup,
        random=Random(setup.seed),
        clock={"now": 0.0},
        pending=[],
        boards_by_id={name: _entry_board(setup, name, entry_ids) for name in entry_ids},
        engines_by_id={
            name: engine_model.new_engine(setup.limits) for name in engine_ids
        },
        active_engine_ids=set(),
        failed_entry_ids=set(),
        loads_by_engine_id={
            name: [LoadSample(-10.0, 0, 0, 0, 0)] for name in engine_ids
        },
        cache_event_times_by_engine_id={name: [] for name in engine_ids},
        outcomes_by_request_id={},
        request_ids_by_generation_id={},
        open_request_ids_by_entry_id={name: {} for name in entry_ids},
        outstanding_by_upstream_id=dict.fromkeys(engine_ids, 0),
        tokens_by_second=Counter(),
        gaps=Counter(),
        preempted_at_by_generation_id={},
        load_spreads=[],
        load_peaks=[],
        counts=Counter(),
    )


def _entry_board(setup: Setup, entry_id: str, entry_ids: Iterable[str]) -> Board:
    board = new_board(
        settings.Settings(
            node=settings.NodeSettings(entry_id, "zone-1", "region-1"),
            peers=settings.PeerSettings(()),
            store=settings.StoreSettings("http://127.0.0.1"),
            platform=settings.PlatformSettings("http://127.0.0.1"),
            scheduling=setup.scheduling,
            streams=settings.StreamSettings(stall_timeout_seconds=1e6),
            limits=settings.LimitSettings(open_requests=1_000_000),
        ),
        1,
    )
    accounts = {account.name: account for account in setup.accounts}
    board.configuration_by_name["in_force"] = declarations.Configuration(
        revision=1,
        serving_groups_by_name={GROUP: declarations.ServingGroup(GROUP, {})},
        rank_classes_by_name={rank.name: rank for rank in setup.ranks},
        accounts_by_name=accounts,
        accounts_by_token_sha256=accounts,
        bindings_by_precedence=tuple(
            declarations.Binding(rank.name, GROUP, rank.name, {}, {"work": rank.name})
            for rank in setup.ranks
        ),
        services_by_name={},
        labels_by_upstream_id={},
        orders_by_name={},
    )
    for name in entry_ids:
        board.members_by_id[name] = rows.MemberRow(
            name, 1, "alive", "127.0.0.1", 1, 1, "zone-1", "region-1"
        )
    return board


def run(setup: Setup, arrivals: Iterable[Arrival]) -> World:
    """Replay arrivals and return the world at the end of the run."""
    world = new_simulation(setup)
    listed = events.VmListReceived(
        tuple(
            events.VmListed(
                name, name, "zone-1", "region-1", "engine", {}, leaving=False
            )
            for name in world.engines_by_id
        )
    )
    for entry_id in world.boards_by_id:
        for event in (
            events.ConfigurationChanged(1),
            listed,
            events.MembershipChanged(),
            events.ProcessStarted(1),
        ):
            _push(world, 0.0, EventDelivery(entry_id, event))
    # Calls start once the settle time of the first scheduler is over.
    for arrival in arrivals:
        _push(world, arrival.at, arrival)
    _push(world, 0.0, LoadSamplingDue())
    _push(world, setup.scheduler_fails_at, SchedulerEntryFailed())
    while world.pending and world.pending[0][0] <= setup.duration:
        now, _, event = heappop(world.pending)
        world.clock["now"] = now
        apply_replay_event(event, world, now)
    return world


def _push(world: World, at: float, event: Any) -> None:
    heappush(world.pending, (at, next(_numbers), event))


@singledispatch
def apply_replay_event(event: Any, world: World, now: float) -> None:
    """Let one event of the replay happen."""
    raise TypeError(f"unknown event {event!r}")


@apply_replay_event.register
def _fail_scheduler_entry(lost: SchedulerEntryFailed, world: World, now: float) -> None:
    board = next(iter(world.boards_by_id.values()))
    (schedulers,) = board.schedulers_by_cell_id.values()
    world.failed_entry_ids.add(schedulers[0])
    _push(world, now + FAILURE_DETECTION_SECONDS, EntryDeclaredDead(schedulers[0]))


@apply_replay_event.register
def _mark_entry_dead(dead: EntryDeclaredDead, world: World, now: float) -> None:
    for entry_id, board in world.boards_by_id.items():
        member = board.members_by_id[dead.entry_id]
        board.members_by_id[dead.entry_id] = member._replace(state="dead")
        if entry_id != dead.entry_id:
            feed(world, entry_id, events.MembershipChanged())


@apply_replay_event.register
def _arrive(arrival: Arrival, world: World, now: float) -> None:
    if arrival.entry_id in world.failed_entry_ids:
        # Callers come to another entry once the load balancer has noticed.
        others = [name for name in world.boards_by_id if name != arrival.entry_id]
        arrival = arrival._replace(entry_id=world.random.choice(others))
    request_id = f"request-{len(world.outcomes_by_request_id)}"
    world.outcomes_by_request_id[request_id] = Outcome(arrival)
    if world.setup.policy != "carawayhitch":
        upstream_id = choose_baseline_engine(world, arrival, now)
        priority = next(
            rank.priority for rank in world.setup.ranks if rank.name == arrival.rank
        )
        sent = GenerationSent(arrival.entry_id, request_id, 1, upstream_id, priority)
        _push(world, now + NETWORK_SECONDS, sent)
        world.outstanding_by_upstream_id[upstream_id] += 1
        return
    target = rows.GenerationTarget(
        "/v1/completions", GROUP, True, arrival.prompt_tokens, 0, arrival.prefix_blocks
    )
    call = events.CallReceived(
        request_id,
        arrival.account,
        {"work": arrival.rank},
        target,
        fingerprint=request_id,
        body_sha256=request_id,
    )
    feed(world, arrival.entry_id, call)


@apply_replay_event.register
def _deliver(delivered: EventDelivery, world: World, now: float) -> None:
    event = delivered.event
    if delivered.entry_id in world.failed_entry_ids:
        return
    if isinstance(event, events.TimerFired) and event.name == "progress":
        _feed_chunks(world, delivered.entry_id)
    feed(world, delivered.entry_id, event)


@apply_replay_event.register
def _send_generation(sent: GenerationSent, world: World, now: float) -> None:
    outcome = world.outcomes_by_request_id[sent.request_id]
    arrival = outcome.arrival
    generation_id = f"{sent.request_id}/{sent.attempt}"
    world.outcomes_by_request_id[sent.request_id] = outcome._replace(
        upstream_id=sent.upstream_id
    )
    world.request_ids_by_generation_id[generation_id] = sent.request_id
    engine_model.add_generation(
        world.engines_by_id[sent.upstream_id],
        generation_id,
        arrival.prompt_tokens,
        arrival.output_tokens,
        sent.priority,
        arrival.prefix_blocks,
    )
    if sent.upstream_id not in world.active_engine_ids:
        world.active_engine_ids.add(sent.upstream_id)
        _step(world, sent.upstream_id, now)


def _step(world: World, upstream_id: str, now: float) -> None:
    engine = world.engines_by_id[upstream_id]
    if not engine.waiting_by_id and not engine.running_count:
        world.active_engine_ids.discard(upstream_id)
        return
    result = engine_model.step(engine)
    _push(world, now + result.seconds, DecodingStepEnded(upstream_id, result))


@apply_replay_event.register
def _record_step_result(stepped: DecodingStepEnded, world: World, now: float) -> None:
    result = stepped.result
    engine = world.engines_by_id[stepped.upstream_id]
    times = world.cache_event_times_by_engine_id[stepped.upstream_id]
    times.extend([now] * (len(engine.cache_events) - len(times)))
    entered = set(result.entered_ids)
    counted = world.setup.sample_from <= now <= world.setup.sample_until
    if counted:
        steady = len(result.produced_ids) - len(entered)
        world.gaps[round(result.seconds, 4)] += steady
        world.counts["tokens"] += len(result.produced_ids)
        world.counts["preemptions"] += len(result.preempted_ids)
    for generation_id in result.entered_ids:
        stopped_at = world.preempted_at_by_generation_id.pop(generation_id, None)
        if stopped_at is not None:
            world.gaps[round(now - stopped_at, 4)] += 1
            world.counts["stall_milliseconds"] += int(1000 * (now - stopped_at))
        else:
            _start_stream(world, stepped.upstream_id, generation_id, now)
    for generation_id in result.preempted_ids:
        world.preempted_at_by_generation_id[generation_id] = now
    for generation_id in result.finished_ids:
        _end_stream(world, stepped.upstream_id, generation_id, now)
    _step(world, stepped.upstream_id, now)


def _start_stream(
    world: World, upstream_id: str, generation_id: str, now: float
) -> None:
    request_id = world.request_ids_by_generation_id[generation_id]
    outcome = world.outcomes_by_request_id[request_id]
    world.outcomes_by_request_id[request_id] = outcome._replace(first_token_at=now)
    entry_id = outcome.arrival.entry_id
    world.open_request_ids_by_entry_id[entry_id][request_id] = 0
    if world.setup.policy == "carawayhitch":
        attempt = int(generation_id.rpartition("/")[2])
        opened = events.UpstreamOpened(
            request_id, attempt, generation_id, "text/event-stream"
        )
        feed(world, entry_id, opened)
    _feed_chunk(world, entry_id, request_id, 1)


def _end_stream(world: World, upstream_id: str, generation_id: str, now: float) -> None:
    request_id = world.request_ids_by_generation_id.pop(generation_id)
    outcome = world.outcomes_by_request_id[request_id]
    entry_id = outcome.arrival.entry_id
    _feed_chunk(world, entry_id, request_id, outcome.arrival.output_tokens)
    outcome = world.outcomes_by_request_id[request_id]
    world.outcomes_by_request_id[request_id] = outcome._replace(finished_at=now)
    world.open_request_ids_by_entry_id[entry_id].pop(request_id, None)
    world.outstanding_by_upstream_id[upstream_id] -= 1
    if world.setup.policy == "carawayhitch":
        attempt = int(generation_id.rpartition("/")[2])
        feed(world, entry_id, events.StreamEnded(request_id, attempt))


def _feed_chunks(world: World, entry_id: str) -> None:
    for request_id in list(world.open_request_ids_by_entry_id[entry_id]):
        outcome = world.outcomes_by_request_id[request_id]
        row = world.boards_by_id[entry_id].requests_by_id.get(request_id)
        if row is not None:
            engine = world.engines_by_id[outcome.upstream_id]
            generation_id = f"{request_id}/{row.attempt}"
            produced = engine_model.produced_tokens(engine, generation_id)
            _feed_chunk(world, entry_id, request_id, produced)


def _feed_chunk(world: World, entry_id: str, request_id: str, produced: int) -> None:
    outcome = world.outcomes_by_request_id[request_id]
    if produced <= outcome.delivered:
        return
    now = world.clock["now"]
    arrival = outcome.arrival
    key = (int(now), arrival.account, arrival.rank)
    world.tokens_by_second[key] += produced - outcome.delivered
    if not outcome.delivered:
        world.tokens_by_second[key] += arrival.prompt_tokens
    world.outcomes_by_request_id[request_id] = outcome._replace(delivered=produced)
    row = world.boards_by_id[entry_id].requests_by_id.get(request_id)
    if row is not None:
        chunk = events.ChunkReceived(
            request_id, row.attempt, outcome.delivered + 1, produced, b""
        )
        feed(world, entry_id, chunk)


@apply_replay_event.register
def _sample(sampled: LoadSamplingDue, world: World, now: float) -> None:
    shares: list[float] = []
    for upstream_id, engine in world.engines_by_id.items():
        counter = engine.counter
        world.loads_by_engine_id[upstream_id].append(
            LoadSample(
                now,
                counter.memory_used,
                engine.running_count,
                len(engine.waiting_by_id),
                counter.preemption_count,
            )
        )
        waiting = len(engine.waiting_by_id)
        shares.append(
            (engine.running_count + waiting) / world.setup.limits.running_limit
        )
    if world.setup.policy != "carawayhitch":
        for entry_id in world.open_request_ids_by_entry_id:
            _feed_baseline_tokens(world, entry_id)
    if world.setup.sample_from <= now <= world.setup.sample_until:
        world.load_spreads.append(max(shares) - min(shares))
        world.load_peaks.append(max(shares))
    # Reports are read at a resolution that is finer than any lag in use.
    _push(world, now + SAMPLE_SECONDS / 10, sampled)


def _feed_baseline_tokens(world: World, entry_id: str) -> None:
    for request_id in world.open_request_ids_by_entry_id[entry_id]:
        outcome = world.outcomes_by_request_id[request_id]
        engine = world.engines_by_id[outcome.upstream_id]
        produced = engine_model.produced_tokens(engine, f"{request_id}/1")
        _feed_chunk(world, entry_id, request_id, produced)


def feed(world: World, entry_id: str, event: Any) -> None:
    """Have an entry decide on an event and perform its actions."""
    now = world.clock["now"]
    if entry_id in world.failed_entry_ids:
        return
    pending = [event]
    while pending:
        emitted: list[Any] = []
        decided = controllers.decide(
            pending.pop(0), world.boards_by_id[entry_id], now, world.random
        )
        for action in decided:
            perform(action, world, entry_id, emitted)
        pending[:0] = emitted


@singledispatch
def perform(action: Any, world: World, entry_id: str, emitted: list[Any]) -> None:
    """Perform an action; those that only concern callers and logs do nothing."""


@perform.register
def _emit(
    action: actions.Emit, world: World, entry_id: str, emitted: list[Any]
) -> None:
    emitted.append(action.event)


@perform.register
def _set_timer(
    action: actions.SetTimer, world: World, entry_id: str, emitted: list[Any]
) -> None:
    _push(world, action.deadline, EventDelivery(entry_id, action.event))


@perform.register
def _send(
    action: actions.Send, world: World, entry_id: str, emitted: list[Any]
) -> None:
    world.counts["messages"] += 1
    delay = 0.0 if action.node_id == entry_id else NETWORK_SECONDS
    at = world.clock["now"] + delay
    _push(world, at, EventDelivery(action.node_id, action.message))


@perform.register
def _open(
    action: actions.OpenUpstream, world: World, entry_id: str, emitted: list[Any]
) -> None:
    sent = GenerationSent(
        entry_id, action.request_id, action.attempt, action.upstream_id, action.priority
    )
    world.outstanding_by_upstream_id[action.upstream_id] += 1
    _push(world, world.clock["now"] + NETWORK_SECONDS, sent)


@perform.register
def _refuse(
    action: actions.RefuseCall, world: World, entry_id: str, emitted: list[Any]
) -> None:
    outcome = world.outcomes_by_request_id[action.request_id]
    world.outcomes_by_request_id[action.request_id] = outcome._replace(
        refused_code=action.code.name
    )


@perform.register
def _count(
    action: actions.Count, world: World, entry_id: str, emitted: list[Any]
) -> None:
    world.counts[action.code.name] += 1


def reported_load(world: World, upstream_id: str, now: float) -> LoadSample:
    """Return the load that a poll of an engine reads now; it lags."""
    samples = world.loads_by_engine_id[upstream_id]
    index = bisect_right(
        samples, now - world.setup.load_lag_seconds, key=lambda sample: sample.at
    )
    return samples[max(0, index - 1)]


@perform.register
def _poll_load(
    action: actions.PollLoad, world: World, entry_id: str, emitted: list[Any]
) -> None:
    now = world.clock["now"]
    sample = reported_load(world, action.upstream_id, now)
    limits = world.setup.limits
    reported = events.LoadReported(
        upstream_id=action.upstream_id,
        reported_at=sample.at,
        memory_capacity=limits.memory_tokens,
        memory_used=sample.memory_used,
        running_count=sample.running_count,
        running_limit=limits.running_limit,
        waiting_count=sample.waiting_count,
        preemption_count=sample.preemption_count,
        leaving=False,
    )
    _push(world, now + NETWORK_SECONDS, EventDelivery(entry_id, reported))


@perform.register
def _poll_cache_events(
    action: actions.PollCacheEvents, world: World, entry_id: str, emitted: list[Any]
) -> None:
    now = world.clock["now"]
    times = world.cache_event_times_by_engine_id[action.upstream_id]
    limit = bisect_right(times, now - world.setup.cache_event_lag_seconds)
    found = world.engines_by_id[action.upstream_id].cache_events[action.since : limit]
    for event in found:
        if event.sequence % CACHE_EVENT_LOSS_INTERVAL:
            changed = events.CacheChanged(action.upstream_id, *event)
            _push(world, now + NETWORK_SECONDS, EventDelivery(entry_id, changed))
